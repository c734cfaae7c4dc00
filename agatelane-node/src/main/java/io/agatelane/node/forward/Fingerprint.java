package io.agatelane.node.forward;

import io.agatelane.core.fleet.FleetAccount;
import io.agatelane.core.hash.Rendezvous;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Recognises a request that comes again, under whatever id and at whatever router. */
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
