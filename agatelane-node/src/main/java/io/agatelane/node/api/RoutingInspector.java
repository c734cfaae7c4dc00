package io.agatelane.node.api;

import io.agatelane.wire.operator.ExplainRequest;
import io.agatelane.wire.operator.ExplainResponse;
import io.agatelane.wire.operator.UpstreamStatus;
import java.util.List;

/** Read-only views of the routing state for operators. */
public interface RoutingInspector {
    /** Returns the state of each upstream in name order. */
    List<UpstreamStatus> upstreams();

    /**
     * Returns the routing decision for a request without sending the request.
     *
     * @throws io.agatelane.core.failure.AgatelaneException when the request is malformed or names unknown objects
     */
    ExplainResponse explain(ExplainRequest request);
}
