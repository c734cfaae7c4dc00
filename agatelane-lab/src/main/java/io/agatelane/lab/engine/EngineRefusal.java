package io.agatelane.lab.engine;

/** Thrown when the engine refuses a request before any part of it ran. */
final class EngineRefusal extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Reason reason;

    EngineRefusal(Reason reason) {
        super(reason.code());
        this.reason = reason;
    }

    Reason reason() {
        return reason;
    }

    /** Reason of a refusal, with its error type and HTTP status. */
    enum Reason {
        INCARNATION_MISMATCH("incarnation_mismatch", 409),
        WEIGHTS_MISMATCH("weights_mismatch", 409),
        MODEL_NOT_FOUND("model_not_found", 404),
        LOADING_WEIGHTS("loading_weights", 503),
        OVERLOADED("overloaded", 503);

        private final String code;
        private final int status;

        Reason(String code, int status) {
            this.code = code;
            this.status = status;
        }

        String code() {
            return code;
        }

        int status() {
            return status;
        }
    }
}
