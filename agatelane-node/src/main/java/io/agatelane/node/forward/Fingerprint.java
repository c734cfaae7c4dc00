package io.agatelane.node.forward;

import io.agatelane.core.fleet.FleetAccount;
import io.agatelane.core.hash.Rendezvous;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Computes a hash by which all routers recognize a repeated request, whatever its request id. */
final class Fingerprint {
    private Fingerprint() {}

    static long of(String method, String pathAndQuery, Optional<FleetAccount> account, byte[] body) {
        String head = method
                + ' '
                + pathAndQuery
                + ' '
                + account.map(FleetAccount::name).orElse("");
        // The body is hashed byte by byte: as Latin-1 text each byte is one character.
        return Rendezvous.weight(Rendezvous.hash(head), Rendezvous.hash(new String(body, StandardCharsets.ISO_8859_1)));
    }
}
