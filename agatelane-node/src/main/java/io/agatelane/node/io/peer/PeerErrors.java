package io.agatelane.node.io.peer;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.wire.peer.PeerError;
import io.agatelane.wire.peer.PeerFrame;

/** Converts failures to and from {@link PeerError}, their form between routers. */
final class PeerErrors {
    private PeerErrors() {}

    static AgatelaneException unreachable(String vmName, String detail) {
        return new AgatelaneException(FailureType.PEER_UNREACHABLE, detail).withLocation(vmName);
    }

    static AgatelaneException noHandler(PeerFrame.BodyCase kind) {
        return new AgatelaneException(FailureType.NOT_FOUND, "no handler for " + kind);
    }

    static PeerFrame toFrame(Throwable throwable) {
        AgatelaneException failure = AgatelaneException.from(throwable);
        PeerError error = PeerError.newBuilder()
                .setCode(failure.type().name())
                .setDetail(String.valueOf(failure.getMessage()))
                .build();
        return PeerFrame.newBuilder().setError(error).build();
    }

    // A newer router may send a type that this one does not know; it becomes INTERNAL.
    static AgatelaneException fromError(String vmName, PeerError error) {
        FailureType type = FailureType.INTERNAL;
        for (FailureType known : FailureType.values()) {
            if (known.name().equals(error.getCode())) {
                type = known;
            }
        }
        return new AgatelaneException(type, error.getDetail()).withLocation(vmName);
    }
}
