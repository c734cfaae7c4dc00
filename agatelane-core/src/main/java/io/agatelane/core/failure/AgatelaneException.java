package io.agatelane.core.failure;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

/**
 * Failure with a type, a location and, where it helps the caller, a time after which to retry. The {@code with} methods
 * return copies.
 */
public class AgatelaneException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private static final long NO_RETRY_AFTER = -1;

    private final FailureType type;
    private final Executed executed;
    private final String location;
    private final long retryAfterMillis;

    public AgatelaneException(FailureType type, String detail) {
        this(type, type.executed(), detail, "", NO_RETRY_AFTER, null);
    }

    public AgatelaneException(FailureType type, String detail, Throwable cause) {
        this(type, type.executed(), detail, "", NO_RETRY_AFTER, cause);
    }

    private AgatelaneException(
            FailureType type,
            Executed executed,
            String detail,
            String location,
            long retryAfterMillis,
            Throwable cause) {
        super(detail, cause);
        this.type = Objects.requireNonNull(type);
        this.executed = Objects.requireNonNull(executed);
        this.location = Objects.requireNonNull(location);
        this.retryAfterMillis = retryAfterMillis;
    }

    /** Returns a copy with the location of the failure: a JSON pointer, a key or an upstream. */
    public AgatelaneException withLocation(String newLocation) {
        return new AgatelaneException(type, executed, getMessage(), newLocation, retryAfterMillis, getCause());
    }

    /** Returns a copy that asks the caller to retry after the given time. */
    public AgatelaneException withRetryAfterMillis(long millis) {
        return new AgatelaneException(type, executed, getMessage(), location, millis, getCause());
    }

    /** Returns a copy that states whether the call may have run, in place of the type's default. */
    public AgatelaneException withExecuted(Executed newExecuted) {
        return new AgatelaneException(type, newExecuted, getMessage(), location, retryAfterMillis, getCause());
    }

    public FailureType type() {
        return type;
    }

    public Executed executed() {
        return executed;
    }

    /** Returns the location of the failure; empty when unknown. */
    public String location() {
        return location;
    }

    public OptionalLong retryAfterMillis() {
        return retryAfterMillis < 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterMillis);
    }

    /** Unwraps the typed failure in a throwable, or wraps the throwable as {@link FailureType#INTERNAL}. */
    public static AgatelaneException from(Throwable throwable) {
        Throwable current = throwable;
        while ((current instanceof CompletionException || current instanceof ExecutionException)
                && current.getCause() != null) {
            current = current.getCause();
        }
        if (current instanceof AgatelaneException) {
            return (AgatelaneException) current;
        }
        return new AgatelaneException(FailureType.INTERNAL, String.valueOf(current), current);
    }
}
