package io.agatelane.node.api;

/** A registration that can be ended. */
@FunctionalInterface
public interface Subscription {
    /** Ends the registration. Calls after the first have no effect. */
    void cancel();
}
