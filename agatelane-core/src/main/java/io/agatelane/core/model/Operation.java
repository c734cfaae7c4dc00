package io.agatelane.core.model;

/**
 * A call that callers may make to a plain service.
 *
 * @param path path below the service's prefix; a trailing {@code *} matches any suffix
 * @param repeatable false when the call may run at most once
 */
public record Operation(String method, String path, boolean repeatable) {
    /** Whether this operation covers a call with the given method and path. */
    public boolean matches(String callMethod, String callPath) {
        if (!method.equals(callMethod)) {
            return false;
        }
        if (path.endsWith("*")) {
            return callPath.startsWith(path.substring(0, path.length() - 1));
        }
        return path.equals(callPath);
    }
}
