package io.agatelane.node.io.service;

import io.agatelane.core.model.Operation;
import io.agatelane.core.model.Service;
import java.util.Map;

/**
 * A caller's call of a plain service, matched to its service and operation.
 *
 * @param target path below the service's prefix, with the query string
 * @param headers headers that are forwarded to the service
 * @param idempotencyKey empty when the caller sent none
 */
record ServiceRequest(
        String requestId,
        String clientAccount,
        Service service,
        Operation operation,
        String target,
        Map<String, String> headers,
        String idempotencyKey,
        RequestBody body) {}
