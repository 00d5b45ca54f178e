package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.hollypick.records.JobCodec;

/**
 * A user's request about graphs, parsed from the method, path, query and body.
 *
 * @param graphId the id in the path or, for a submission, in the body; not necessarily valid
 * @param nodeId the node id in the path; null if the path contains none
 * @param firstNode index of the first node on the requested page
 * @param body null if there is none
 */
record GraphRequest(Endpoint endpoint, String graphId, String nodeId, int firstNode, JsonNode body) {
    private static final String POST = "POST";
    private static final String NODES = "nodes";
    private static final String RESULT = "result";
    private static final String CANCEL = "withdraw";
    private static final String FIRST_NODE_PARAMETER = "from=";
    private static final String INDEX_PATTERN = "[0-9]{1,6}";

    /** The operation that a request selects, or the error in its method, path or id. */
    enum Endpoint {
        /** POST /graphs. */
        SUBMIT,
        /** GET /graphs/GRAPH. */
        SHOW,
        /** POST /graphs/GRAPH/withdraw. */
        CANCEL_GRAPH,
        /** POST /graphs/GRAPH/nodes. */
        APPEND_CHILDREN,
        /** POST /graphs/GRAPH/nodes/NODE/result. */
        RECORD_RESULT,
        /** GET /graphs/GRAPH/nodes/NODE/result. */
        READ_RESULT,
        /** POST /graphs/GRAPH/nodes/NODE/withdraw. */
        CANCEL_NODE,
        /** One of these paths with another method. */
        METHOD_NOT_ALLOWED,
        /** The path contains an id that isn't a valid graph id. */
        NO_SUCH_GRAPH,
        /** The path contains no graph id, and the body no valid one. */
        MISSING_GRAPH_ID,
        /** Any other path. */
        UNKNOWN_PATH
    }

    /**
     * Parses a request.
     *
     * @param target path and query
     * @param body null if there is none
     */
    static GraphRequest parse(String method, String target, JsonNode body) {
        String[] pathAndQuery = target.split("\\?", 2);
        List<String> segments = List.of(pathAndQuery[0].split("/"));
        boolean post = method.equals(POST);
        boolean namesGraph = segments.size() > 2;
        String graphId = namesGraph ? segments.get(2) : graphIdInBody(body);
        String nodeId = segments.size() == 6 ? segments.get(4) : null;
        Endpoint endpoint;
        if (JobCodec.isId(graphId)) {
            endpoint = endpoint(post, segments);
        } else {
            endpoint = namesGraph ? Endpoint.NO_SUCH_GRAPH : Endpoint.MISSING_GRAPH_ID;
        }
        boolean hasPage = endpoint == Endpoint.SHOW && pathAndQuery.length > 1;
        int firstNode = hasPage ? firstNode(pathAndQuery[1]) : 0;
        return new GraphRequest(endpoint, graphId, nodeId, firstNode, body);
    }

    private static String graphIdInBody(JsonNode body) {
        return body == null ? "" : body.path(GraphRequestCodec.GRAPH_ID).asText("");
    }

    private static Endpoint endpoint(boolean post, List<String> segments) {
        return switch (segments.size()) {
            case 2 -> post ? Endpoint.SUBMIT : Endpoint.METHOD_NOT_ALLOWED;
            case 3 -> post ? Endpoint.METHOD_NOT_ALLOWED : Endpoint.SHOW;
            case 4 -> post ? graphEndpoint(segments.get(3)) : Endpoint.UNKNOWN_PATH;
            case 6 -> segments.get(3).equals(NODES) ? nodeEndpoint(post, segments.get(5)) : Endpoint.UNKNOWN_PATH;
            default -> Endpoint.UNKNOWN_PATH;
        };
    }

    private static Endpoint graphEndpoint(String action) {
        return switch (action) {
            case CANCEL -> Endpoint.CANCEL_GRAPH;
            case NODES -> Endpoint.APPEND_CHILDREN;
            default -> Endpoint.UNKNOWN_PATH;
        };
    }

    private static Endpoint nodeEndpoint(boolean post, String action) {
        return switch (action) {
            case RESULT -> post ? Endpoint.RECORD_RESULT : Endpoint.READ_RESULT;
            case CANCEL -> post ? Endpoint.CANCEL_NODE : Endpoint.METHOD_NOT_ALLOWED;
            default -> Endpoint.UNKNOWN_PATH;
        };
    }

    private static int firstNode(String query) {
        String index = query.startsWith(FIRST_NODE_PARAMETER) ? query.substring(FIRST_NODE_PARAMETER.length()) : "";
        return index.matches(INDEX_PATTERN) ? Integer.parseInt(index) : 0;
    }
}
