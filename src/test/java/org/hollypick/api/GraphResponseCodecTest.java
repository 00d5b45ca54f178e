package org.hollypick.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.hollypick.control.graphs.GraphResponse;
import org.hollypick.control.graphs.GraphResponse.Acceptance;
import org.hollypick.core.graph.GraphRejection;
import org.hollypick.core.graph.NodeState;
import org.hollypick.io.ServerResponse;
import org.junit.jupiter.api.Test;

/** Checks the HTTP status codes and the state names in responses to graph requests. */
class GraphResponseCodecTest {
    private static ServerResponse rejected(GraphRejection rejection) {
        return GraphResponseCodec.write(new GraphResponse.Rejected(rejection));
    }

    @Test
    void rejectionsHaveTheStatusOfTheirReason() {
        assertEquals(422, rejected(GraphRejection.invalid("x")).status());
        assertEquals(409, rejected(GraphRejection.conflict("x")).status());
        assertEquals(404, rejected(GraphRejection.notFound("x")).status());
        assertEquals(503, rejected(GraphRejection.retryLater("x")).status());
        assertEquals(
                "x", rejected(GraphRejection.conflict("x")).body().path("error").asText());
    }

    @Test
    void acceptedRequestsNameTheTaskOfEachNode() {
        ServerResponse response = GraphResponseCodec.write(
                new GraphResponse.Accepted(Acceptance.CREATED, "req-1", Map.of("a", "req-1/0")));
        assertEquals(201, response.status());
        assertEquals(
                "{\"graph\":\"req-1\",\"tasks\":{\"a\":\"req-1/0\"}}",
                response.body().toString());
        assertEquals(202, accepted(Acceptance.CREATED_PARTIALLY).status());
        assertEquals(200, accepted(Acceptance.ALREADY_KNOWN).status());
    }

    private static ServerResponse accepted(Acceptance acceptance) {
        return GraphResponseCodec.write(new GraphResponse.Accepted(acceptance, "req-1", Map.of()));
    }

    @Test
    void statesHaveTheirWireNames() {
        assertEquals(
                List.of("waiting", "ready", "handed", "done", "failed", "cancelled"),
                Arrays.stream(NodeState.values())
                        .map(GraphResponseCodec::stateName)
                        .toList());
    }
}
