package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.GraphConstants;
import org.hollypick.control.LeaderTerm;
import org.hollypick.control.graphs.LiveGraph;
import org.hollypick.control.graphs.NodeAttempt;
import org.hollypick.core.MachineType;
import org.hollypick.core.graph.GraphOptions;
import org.hollypick.core.graph.NodeSpec;
import org.hollypick.core.graph.NodeState;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.GraphRecordCodec;
import org.hollypick.records.JobCodec;

/**
 * What users and running tasks ask about graphs, on any node: the leader answers, the others pass the call on to it
 * once.
 */
public final class GraphApi {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final StoreReplica replica;
    private final Membership membership;
    private final UserApi jobs;
    private final Supplier<LeaderTerm> term;
    private final Supplier<Map<String, MachineType>> types;

    public GraphApi(
            EventLoop eventLoop,
            Settings settings,
            StoreReplica replica,
            Membership membership,
            UserApi jobs,
            Supplier<LeaderTerm> term,
            Supplier<Map<String, MachineType>> types) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.replica = replica;
        this.membership = membership;
        this.jobs = jobs;
        this.term = term;
        this.types = types;
    }

    /** A call from outside; {@code path} begins with {@code /graphs}. */
    public void handle(String method, String path, byte[] bytes, Consumer<ServerResponse> answer) {
        JsonNode body = Codec.read(bytes, false);
        if (method.equals("POST") && (body == null || !body.isObject())) {
            answer.accept(ServerResponse.error(400, "not a CBOR map"));
            return;
        }
        if (term.get() != null && term.get().holdsLeaderLease()) {
            owned(method, path, body, answer);
            return;
        }
        String leaderAddress = settings.meshAddr(membership.namedLeader());
        if (leaderAddress == null) {
            answer.accept(ServerResponse.retryLater("no leader"));
            return;
        }
        ObjectNode passed = Codec.object().put("method", method).put("path", path);
        passed.put(PeerCodec.REVISION, replica.revision()).set("body", body);
        Request call =
                new Request(leaderAddress, "POST", "/graph", passed, GraphConstants.GRAPH_FORWARD_TIMEOUT_MS, true);
        eventLoop.send(call, r -> answer.accept(told(method, r)));
    }

    /**
     * The leader's answer. To a question that changes nothing, one that a newer one has overtaken on its way isn't
     * given.
     */
    private ServerResponse told(String method, Response r) {
        int status = r.ok() ? r.body().path("status").asInt() : 503;
        JsonNode revision = r.body().path(PeerCodec.REVISION);
        boolean older = revision.isNumber() && !replica.mayAnswerFrom(Codec.u64(revision));
        if (status == 0 || status == 503 || (older && method.equals("GET"))) {
            return ServerResponse.retryLater("leader");
        }
        replica.answeredFrom(Codec.u64(revision));
        return ServerResponse.of(status, r.body().path("body"));
    }

    /** A call that another controller passes on. */
    public void passed(JsonNode call, Consumer<ServerResponse> answer) {
        if (call == null || term.get() == null || !term.get().holdsLeaderLease()) {
            answer.accept(ServerResponse.retryLater("not the leader"));
            return;
        }
        replica.answeredFrom(Codec.u64(call.path(PeerCodec.REVISION)));
        owned(
                call.path("method").asText(),
                call.path("path").asText(),
                call.path("body").isObject() ? call.path("body") : null,
                a -> answer.accept(passedBack(a)));
    }

    private ServerResponse passedBack(ServerResponse a) {
        ObjectNode body =
                Codec.object().put(PeerCodec.REVISION, replica.revision()).put("status", a.status());
        return ServerResponse.of(200, body.set("body", a.body()));
    }

    private void owned(String method, String path, JsonNode body, Consumer<ServerResponse> answer) {
        String[] query = path.split("\\?", 2);
        List<String> parts = List.of(query[0].split("/"));
        boolean post = method.equals("POST");
        String id = parts.size() > 2
                ? parts.get(2)
                : body == null ? "" : body.path("name_id").asText("");
        if (!JobCodec.isId(id)) {
            answer.accept(
                    parts.size() > 2
                            ? ServerResponse.error(404, "no such graph")
                            : ServerResponse.error(400, "name_id"));
            return;
        }
        switch (parts.size()) {
            case 2 -> submit(post, id, body, answer);
            case 3 -> show(post, id, from(query), answer);
            case 4 -> {
                if (post && parts.get(3).equals("withdraw")) {
                    jobs.cancel(id, answer);
                } else if (post && parts.get(3).equals("nodes")) {
                    children(id, body, answer);
                } else {
                    answer.accept(ServerResponse.error(404, "no such path"));
                }
            }
            case 6 -> node(post, id, parts, body, answer);
            default -> answer.accept(ServerResponse.error(404, "no such path"));
        }
    }

    private static int from(String[] query) {
        if (query.length > 1
                && query[1].startsWith("from=")
                && query[1].substring(5).matches("[0-9]{1,6}")) {
            return Integer.parseInt(query[1].substring(5));
        }
        return 0;
    }

    private void submit(boolean post, String id, JsonNode body, Consumer<ServerResponse> answer) {
        if (!post) {
            answer.accept(ServerResponse.error(405, "method not allowed"));
            return;
        }
        StoreReplica.Entry entry = replica.get(StoreKeys.job(id));
        if (entry != null && GraphRecordCodec.isEnded(entry.data())) {
            show(false, id, 0, answer); // a late retry
            return;
        }
        if (entry != null && !GraphRecordCodec.isGraph(entry.data())) {
            answer.accept(ServerResponse.error(409, "the id is a job's"));
            return;
        }
        if (types.get() == null) {
            answer.accept(ServerResponse.retryLater("starting"));
            return;
        }
        GraphOptions head;
        List<NodeSpec> nodes;
        try {
            head = GraphCodec.head(id, body);
            nodes = GraphCodec.nodes(body, JobCodec.write(head.base()));
        } catch (GraphCodec.Malformed x) {
            answer.accept(ServerResponse.error(400, x.getMessage()));
            return;
        }
        if (refused(nodes, answer)) {
            return;
        }
        boolean last = !body.path("more").asBoolean();
        term.get().graphs().requests().submit(id, head, nodes, last, o -> answer.accept(GraphCodec.response(o)));
    }

    private boolean refused(List<NodeSpec> nodes, Consumer<ServerResponse> answer) {
        for (NodeSpec n : nodes) {
            Optional<String> rejection = new Admission(settings, types).rejectionReason(n.task());
            if (rejection.isPresent()) {
                answer.accept(ServerResponse.error(422, "node " + n.id() + ": " + rejection.get()));
                return true;
            }
        }
        return false;
    }

    private void show(boolean post, String id, int from, Consumer<ServerResponse> answer) {
        if (post) {
            answer.accept(ServerResponse.error(405, "method not allowed"));
            return;
        }
        jobs.status(id, a -> {
            StoreReplica.Entry entry = replica.get(StoreKeys.job(id));
            if (a.status() == 200
                    && entry != null
                    && !GraphRecordCodec.isGraph(entry.data())
                    && !GraphRecordCodec.isEnded(entry.data())) {
                answer.accept(ServerResponse.error(404, "no graph, but a job"));
                return;
            }
            LiveGraph live = term.get() != null && term.get().holdsLeaderLease()
                    ? term.get().graphs().find(id).orElse(null)
                    : null;
            if (a.status() != 200) {
                answer.accept(a);
            } else if (live != null && live.hasUndurableChanges()) {
                answer.accept(unrecorded());
            } else if (live != null) {
                ObjectNode b = GraphCodec.describe(live, id, from);
                b.put("status", a.body().path("status").asText());
                ended(id, b);
                answer.accept(ServerResponse.of(200, b));
            } else {
                ObjectNode b = a.body().deepCopy();
                ended(id, b);
                answer.accept(ServerResponse.of(200, b.put("graph", id)));
            }
        });
    }

    /** What a graph's own record says once it is over. */
    private void ended(String id, ObjectNode b) {
        StoreReplica.Entry entry = replica.get(StoreKeys.job(id));
        if (entry != null && GraphRecordCodec.isEnded(entry.data())) {
            for (String field : GraphRecordCodec.END_SUMMARY_FIELDS) {
                if (!b.has(field)) {
                    b.set(field, entry.data().path(field));
                }
            }
        }
    }

    private void children(String id, JsonNode body, Consumer<ServerResponse> answer) {
        LiveGraph live = term.get().graphs().find(id).orElse(null);
        if (live == null || live.job().isEmpty()) {
            missing(id, answer);
            return;
        }
        if (!body.path("parent").isTextual() || !body.path("try").isIntegralNumber()) {
            answer.accept(ServerResponse.error(400, "parent, try"));
            return;
        }
        List<NodeSpec> nodes;
        try {
            nodes = GraphCodec.nodes(body, JobCodec.write(live.job().get().spec));
        } catch (GraphCodec.Malformed x) {
            answer.accept(ServerResponse.error(400, x.getMessage()));
            return;
        }
        if (types.get() == null) {
            answer.accept(ServerResponse.retryLater("starting"));
        } else if (!refused(nodes, answer)) {
            String next = body.path("then").isTextual() ? body.path("then").asText() : null;
            term.get()
                    .graphs()
                    .requests()
                    .appendChildren(
                            new NodeAttempt(id, body.path("parent").asText(), Codec.u64(body.path("try"))),
                            nodes,
                            next,
                            o -> answer.accept(GraphCodec.response(o)));
        }
    }

    /** A graph that isn't known here as live: over, or never submitted, which only a fresh view tells. */
    private void missing(String id, Consumer<ServerResponse> answer) {
        jobs.status(
                id,
                a -> answer.accept(
                        a.status() == 200 ? ServerResponse.error(409, "the graph is over, or its id a job's") : a));
    }

    private void node(boolean post, String id, List<String> parts, JsonNode body, Consumer<ServerResponse> answer) {
        String node = parts.get(4);
        String what = parts.get(5);
        LiveGraph live = term.get().graphs().find(id).orElse(null);
        if (!parts.get(3).equals("nodes") || (!what.equals("result") && !what.equals("withdraw"))) {
            answer.accept(ServerResponse.error(404, "no such path"));
        } else if (live == null || (post && live.job().isEmpty())) {
            missing(id, answer);
        } else if (post && what.equals("withdraw")) {
            term.get().graphs().requests().cancelNode(id, node, o -> answer.accept(GraphCodec.response(o)));
        } else if (post) {
            keep(id, node, body, answer);
        } else if (what.equals("result")) {
            result(live, node, answer);
        } else {
            answer.accept(ServerResponse.error(405, "method not allowed"));
        }
    }

    private void keep(String id, String node, JsonNode body, Consumer<ServerResponse> answer) {
        if (!body.path("try").isIntegralNumber()) {
            answer.accept(ServerResponse.error(400, "try"));
            return;
        }
        try {
            term.get()
                    .graphs()
                    .requests()
                    .recordResult(
                            new NodeAttempt(id, node, Codec.u64(body.path("try"))),
                            GraphCodec.result(body),
                            o -> answer.accept(GraphCodec.response(o)));
        } catch (GraphCodec.Malformed x) {
            answer.accept(ServerResponse.error(400, x.getMessage()));
        }
    }

    /** A cancelled node, or a result, that a successor might not find isn't told. */
    private static ServerResponse unrecorded() {
        return ServerResponse.retryLater("what a node ended with is being recorded");
    }

    private static void result(LiveGraph live, String node, Consumer<ServerResponse> answer) {
        int i = live.graph().indexOf(node);
        if (live.hasUndurableChanges()) {
            answer.accept(unrecorded());
            return;
        }
        if (i < 0) {
            answer.accept(ServerResponse.error(404, "no such node"));
            return;
        }
        NodeState state = live.graph().state(i);
        if (state != NodeState.DONE) {
            boolean never = state == NodeState.FAILED || state == NodeState.CANCELLED;
            answer.accept(
                    never
                            ? ServerResponse.error(
                                    409,
                                    state.name().toLowerCase(Locale.ROOT) + ": "
                                            + live.graph().terminationReason(i))
                            : ServerResponse.retryLater("not done yet"));
            return;
        }
        JsonNode result = live.result(i).orElse(null);
        answer.accept(
                result == null
                        ? ServerResponse.error(404, "the node is done and gave no result")
                        : ServerResponse.of(200, result));
    }
}
