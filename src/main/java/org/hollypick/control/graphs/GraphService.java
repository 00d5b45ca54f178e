package org.hollypick.control.graphs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.config.constants.GraphConstants;
import org.hollypick.control.jobs.JobTermination;
import org.hollypick.core.Job;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.graph.Graph;
import org.hollypick.core.graph.NodeSpec;
import org.hollypick.core.graph.Refusal;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.records.GraphRecords;
import org.hollypick.records.JobCodec;
import org.hollypick.records.Records;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Task graphs in one term. What a call changes is taken in at once, and blocks what it has to block; what it allows,
 * and the answer, wait until it is durable. Each graph has a log ({@link GraphLog}).
 */
public final class GraphService {
    private static final Logger LOG = LoggerFactory.getLogger(GraphService.class);

    /** How a call ended: {@code status} for the user, and what it tells. */
    public record Outcome(int status, ObjectNode body) {
        static Outcome refused(Refusal r) {
            return refused(r.status(), r.why());
        }

        static Outcome refused(int status, String why) {
            return new Outcome(status, Codec.object().put("error", why));
        }
    }

    /** Takes a graph apart into what the core knows and what is recorded; tests put faulty ones in its place. */
    public interface Maker {
        Graph make(int retries, IntConsumer release);
    }

    /** One graph that this term knows. */
    public final class Live implements GraphRecords.Reader {
        private final String id;
        private final GraphRecords.Head head;
        private final Graph graph;
        private final Map<Integer, JsonNode> results = new HashMap<>();
        private int resultBytes;
        private final GraphLog log;
        private final IntArrayList releasedEarly = new IntArrayList();
        private final long since = runtime.now();
        private Job job;
        private int loggedNodes;
        private int loggedSpecs;
        private boolean sealing;
        /** Ends of nodes and results that are known here and not durable yet: a successor may not find them. */
        private int unrecorded;

        private long overAt;

        Live(String id, GraphRecords.Head head) {
            this.id = id;
            this.head = head;
            this.graph = maker.make(head.retries(), this::released);
            this.log = new GraphLog(runtime, settings, state, id, scheduler.token(), () -> written++);
        }

        private void released(int node) {
            if (job == null) {
                releasedEarly.add(node);
            } else {
                scheduler.release(job, node);
            }
        }

        private void started(Job started) {
            job = started;
            releasedEarly.forEach((IntConsumer) node -> scheduler.release(job, node));
        }

        @Override
        public void result(int node, JsonNode result) {
            results.put(node, result);
            resultBytes += Records.bytes(result);
        }

        private boolean over() {
            return overAt > 0;
        }

        /** Whether something that could be told of its nodes isn't durable yet. */
        public boolean unrecorded() {
            return unrecorded > 0 && !over();
        }

        private void record(ObjectNode op, Runnable durable) {
            unrecorded++;
            log.add(op, () -> {
                unrecorded--;
                durable.run();
            });
        }

        public Graph graph() {
            return graph;
        }

        public Job job() {
            return job;
        }

        /** The result that stands for the node; null without one. */
        public JsonNode resultOf(int node) {
            return results.get(graph.speaker(node));
        }

        /** Nodes that were added since the last time become entries, as many to one as fit a record. */
        private void logNodes(String parent, String next) {
            int to = graph.count();
            if (loggedNodes == to && next != null) {
                log.add(GraphRecords.nodes(graph, to, to, loggedSpecs, parent, next), () -> {});
            }
            while (loggedNodes < to) {
                int end = Math.min(to, loggedNodes + GraphConstants.GRAPH_LOG_ENTRY_NODES);
                ObjectNode op = entry(loggedNodes, end, parent, next);
                while (end - loggedNodes > 1 && !log.fits(op)) {
                    end = loggedNodes + (end - loggedNodes) / 2;
                    op = entry(loggedNodes, end, parent, next);
                }
                int durable = end;
                log.add(op, () -> graph.durable(durable));
                for (int i = loggedNodes; i < end; i++) {
                    loggedSpecs = Math.max(loggedSpecs, graph.specNumber(i) + 1);
                }
                loggedNodes = end;
            }
        }

        /** The continuation is named with the entry that holds it, or with the last one. */
        private ObjectNode entry(int from, int to, String parent, String next) {
            boolean last = to == graph.count();
            return GraphRecords.nodes(graph, from, to, loggedSpecs, parent, last ? next : null);
        }

        /** Ends nodes in memory at once, so that they don't start; whoever asked hears when that is durable. */
        private void end(int node, Graph.State as, String why, Runnable durable) {
            Graph.Ended ended = graph.end(node, as, why);
            for (int i : ended.all()) {
                scheduler.cancelTask(job, i);
            }
            record(GraphRecords.ended(ended.roots(), as, why), durable);
        }
    }

    private final EventLoop runtime;
    private final Settings settings;
    private final StoreReplica replica;
    private final KeyValueStoreClient state;
    private final Scheduler scheduler;
    private final JobTermination jobTermination;
    private final Runnable pump;
    private final Maker maker;
    private final long keepMs;
    private final int room;
    private final Map<String, Live> graphs = new LinkedHashMap<>();
    /** Graphs that are over and whose nodes aren't forgotten, and since when. */
    private final Map<String, Long> endedAt = new LinkedHashMap<>();

    private long written;
    private boolean dropping;

    public GraphService(
            EventLoop runtime,
            Settings settings,
            StoreReplica replica,
            KeyValueStoreClient state,
            Scheduler scheduler,
            JobTermination jobTermination,
            Runnable pump,
            Maker maker,
            long keepMs) {
        this.runtime = runtime;
        this.settings = settings;
        this.replica = replica;
        this.state = state;
        this.scheduler = scheduler;
        this.jobTermination = jobTermination;
        this.pump = pump;
        this.maker = maker;
        this.keepMs = keepMs;
        this.room = Records.room(settings);
    }

    // ---- from the records ----

    /** A graph's record is there and it isn't over: all that earlier leaders recorded of it is in the view. */
    public void appear(String id, JsonNode record, long stamp) {
        if (graphs.containsKey(id)) {
            return;
        }
        try {
            Live g = replay(id, GraphRecords.head(record));
            graphs.put(id, g);
            LOG.info(
                    "graph graph={} nodes={} sealed={} token={}",
                    id,
                    g.graph.count(),
                    g.graph.sealed(),
                    scheduler.token());
            g.started(scheduler.addJob(g.head.base(), g.graph, stamp, Codec.u64(record.path("under"))));
        } catch (JobCodec.Invalid e) {
            LOG.error("graph can't be read graph={} reason={}", id, e.getMessage());
        }
    }

    private Live replay(String id, GraphRecords.Head head) throws JobCodec.Invalid {
        Live g = new Live(id, head);
        for (String key : logOf(id)) {
            for (JsonNode op : GraphRecords.unpack(replica.get(key).data())) {
                GraphRecords.replay(op, g.graph, g);
            }
        }
        g.loggedNodes = g.graph.count();
        g.loggedSpecs = g.graph.specs().size();
        g.sealing = g.graph.sealed();
        return g;
    }

    /** The graph's records in the order in which they were written. */
    private List<String> logOf(String id) {
        List<String> keys = new ArrayList<>();
        replica.entries().keySet().forEach(key -> {
            if (key.startsWith(StoreKeys.graphLog(id))) {
                keys.add(key);
            }
        });
        keys.sort((a, b) -> replica.revision(a) != replica.revision(b)
                ? Long.compareUnsigned(replica.revision(a), replica.revision(b))
                : Long.compare(StoreKeys.graphLogNumber(a), StoreKeys.graphLogNumber(b)));
        return keys;
    }

    /** The graph's end is durable. */
    public void over(String id) {
        Live g = graphs.get(id);
        if (g != null && !g.over()) {
            g.overAt = runtime.now();
            endedAt.put(id, g.overAt);
        }
    }

    // ---- calls ----

    /** Any graph that can still be told about; null if there is none, or its nodes are forgotten. */
    public Live find(String id) {
        Live g = graphs.get(id);
        StoreReplica.Entry e = replica.get(StoreKeys.job(id));
        if (g == null && e != null && GraphRecords.isEnded(e.data())) {
            return ended(id);
        }
        return g;
    }

    /** One that ended before this term. */
    private Live ended(String id) {
        if (logOf(id).isEmpty()) {
            return null;
        }
        try {
            Live g = replay(id, new GraphRecords.Head(null, 0, false)); // nothing is tried again any more
            g.overAt = endedAt.computeIfAbsent(id, k -> runtime.now());
            graphs.put(id, g);
            return g;
        } catch (JobCodec.Invalid e) {
            LOG.error("graph can't be read graph={} reason={}", id, e.getMessage());
            return null;
        }
    }

    /**
     * The first call of a graph, or a repeated one. {@code last}: nothing follows, so it is sealed. A further part of
     * one that isn't sealed comes the same way.
     */
    public void submit(
            String id, GraphRecords.Head head, List<NodeSpec> nodes, boolean last, Consumer<Outcome> answer) {
        Live g = graphs.get(id);
        if (crowded(g, answer)) {
            return;
        }
        if (g != null) {
            part(g, nodes, last, answer);
            return;
        }
        Live made = new Live(id, head);
        Refusal refusal = check(made, nodes, null, null);
        if (refusal != null) {
            answer.accept(Outcome.refused(refusal));
            return;
        }
        graphs.put(id, made);
        ObjectNode record = GraphRecords.live(head, scheduler.token());
        CompareAndSwap txn = new CompareAndSwap()
                .expectAbsent(StoreKeys.job(id))
                .expectRevision(StoreKeys.LEADER_RECORD, scheduler.token())
                .put(StoreKeys.job(id), record);
        state.commit(txn, r -> {
            if (!r.ok()) {
                // It may be there, or come: then the view shows it, and a repeated call finds it.
                graphs.remove(id, made);
                StoreReplica.Entry e = replica.get(StoreKeys.job(id));
                if (e != null && !Records.isOver(e.data()) && GraphRecords.isGraph(e.data())) {
                    appear(id, e.data(), e.revision());
                }
                answer.accept(Outcome.refused(503, "state service"));
                return;
            }
            LOG.info("graph graph={} token={}", id, scheduler.token());
            made.started(
                    scheduler.addJob(head.base(), made.graph, Codec.u64(r.body().path("epoch")), scheduler.token()));
            part(made, nodes, last, answer);
        });
    }

    private void part(Live g, List<NodeSpec> nodes, boolean last, Consumer<Outcome> answer) {
        if (g.over()) {
            answer.accept(Outcome.refused(409, "the graph is over"));
            return;
        }
        if (g.job == null) {
            answer.accept(Outcome.refused(503, "its first call is being recorded"));
            return;
        }
        Refusal refusal = check(g, nodes, null, null);
        boolean news = nodes.stream().anyMatch(n -> g.graph.find(n.id()) < 0);
        if (refusal == null && news && g.sealing) {
            refusal = new Refusal(409, "the graph is sealed");
        }
        if (refusal != null) {
            answer.accept(Outcome.refused(refusal));
            return;
        }
        g.graph.add(nodes, null, null);
        g.logNodes(null, null);
        boolean seals = last && !g.sealing;
        if (seals) {
            g.sealing = true;
            g.log.add(GraphRecords.sealed(), g.graph::seal);
        }
        tell(g, news || seals ? last ? 201 : 202 : 200, nodes, answer);
    }

    /**
     * Children of a running node. They are the same nodes when the same ids come again, from whatever attempt; from an
     * attempt that isn't the running one they are refused. {@code next}: the one that the parent hands its result on
     * to, or null.
     */
    public void children(
            String id, String parent, long attempt, List<NodeSpec> nodes, String next, Consumer<Outcome> answer) {
        Live g = running(id, parent, attempt, answer);
        if (g == null) {
            return;
        }
        Refusal refusal = check(g, nodes, parent, next);
        if (refusal != null) {
            answer.accept(Outcome.refused(refusal));
            return;
        }
        int before = g.graph.count();
        boolean names = next != null && g.graph.then(g.graph.find(parent)) < 0;
        g.graph.add(nodes, parent, next);
        if (!g.graph.mayStart(g.graph.find(parent))) {
            scheduler.cancelTask(g.job, g.graph.find(parent)); // it handed on to what can't be done
        }
        g.logNodes(parent, names ? next : null);
        tell(g, g.graph.count() > before || names ? 201 : 200, nodes, answer);
    }

    /** What can't be recorded soon is refused at once, before anything of it is taken in. */
    private boolean crowded(Live g, Consumer<Outcome> answer) {
        boolean crowded = state.shouldShedWrite() || (g != null && g.log.size() > GraphConstants.GRAPH_WRITE_BACKLOG);
        if (crowded) {
            answer.accept(Outcome.refused(503, "busy"));
        }
        return crowded;
    }

    /** A node's entry has to fit a record, whatever it awaits. */
    private Refusal check(Live g, List<NodeSpec> nodes, String parent, String next) {
        int most = room / GraphConstants.GRAPH_DEPENDENCY_BYTES;
        for (NodeSpec n : nodes) {
            if (n.awaits().size() > most) {
                return new Refusal(
                        422,
                        "node " + n.id() + " awaits more than " + most + " nodes: join them through further nodes");
            }
        }
        return g.graph.check(nodes, parent, next);
    }

    /** The graph, if that attempt of the node runs, as far as is known; else the refusal is told. */
    private Live running(String id, String node, long attempt, Consumer<Outcome> answer) {
        Live g = graphs.get(id);
        if (crowded(g, answer)) {
            return null;
        }
        if (g == null || g.over() || g.job == null) {
            answer.accept(
                    g != null && g.job == null && !g.over()
                            ? Outcome.refused(503, "its first call is being recorded")
                            : g == null
                                    ? Outcome.refused(404, "no such graph")
                                    : Outcome.refused(409, "the graph is over"));
            return null;
        }
        int i = g.graph.find(node);
        if (i < 0) {
            answer.accept(Outcome.refused(422, "unknown node " + node));
            return null;
        }
        Assignment assignment = g.job.assignments.get(i);
        boolean runs = assignment != null
                && assignment.attempt == attempt
                && assignment.mayExist()
                && !assignment.stopRequested
                && g.graph.state(i) == Graph.State.READY;
        if (!runs) {
            // After a takeover the machine that runs it may not have reported yet.
            answer.accept(
                    assignment == null && !scheduler.reconciliationComplete() && g.graph.state(i) == Graph.State.READY
                            ? Outcome.refused(503, "not every machine has reported yet")
                            : Outcome.refused(
                                    409, "attempt " + Long.toUnsignedString(attempt) + " of " + node + " is over"));
            return null;
        }
        return g;
    }

    /** A running node's result: a small value, or a reference. The first one that is recorded stands. */
    public void result(String id, String node, long attempt, JsonNode result, Consumer<Outcome> answer) {
        Live g = running(id, node, attempt, answer);
        if (g == null) {
            return;
        }
        int most = Math.min(GraphConstants.GRAPH_RESULT_BYTES, room / 2);
        if (Records.bytes(result) > most) {
            answer.accept(Outcome.refused(
                    422, "a result of more than " + most + " bytes: store it elsewhere, and give a reference"));
            return;
        }
        int i = g.graph.find(node);
        JsonNode known = g.results.get(i);
        if (known != null && !known.equals(result)) {
            answer.accept(Outcome.refused(409, "another result is known"));
            return;
        }
        if (known == null && g.resultBytes + Records.bytes(result) > GraphConstants.GRAPH_ALL_RESULTS_BYTES) {
            answer.accept(Outcome.refused(
                    422,
                    "the graph's results are larger than " + GraphConstants.GRAPH_ALL_RESULTS_BYTES
                            + " bytes together"));
            return;
        }
        if (known == null) {
            g.result(i, result);
            g.record(GraphRecords.result(i, result), () -> {});
        }
        tell(g, known == null ? 201 : 200, List.of(), answer);
    }

    /** Cancels a node and what needs it. */
    public void withdraw(String id, String node, Consumer<Outcome> answer) {
        Live g = graphs.get(id);
        int i = g == null ? -1 : g.graph.find(node);
        if (i < 0 || g.job == null) {
            answer.accept(Outcome.refused(404, "no such node"));
            return;
        }
        if (g.over()) {
            answer.accept(Outcome.refused(409, "the graph is over"));
            return;
        }
        if (!g.graph.ended(i)) {
            g.end(i, Graph.State.CANCELLED, "cancelled by its user", () -> {});
        }
        Graph.State became = g.graph.state(i);
        tell(
                g,
                200,
                List.of(),
                o -> answer.accept(
                        o.status() == 200
                                ? new Outcome(
                                        200,
                                        Codec.object()
                                                .put("node", node)
                                                .put("state", became.name().toLowerCase(Locale.ROOT)))
                                : o));
    }

    /** Answers once all that was taken in so far is durable; gives up after a while. */
    private void tell(Live g, int status, List<NodeSpec> nodes, Consumer<Outcome> answer) {
        boolean[] told = {false};
        Runnable done = () -> {
            if (!told[0]) {
                told[0] = true;
                ObjectNode body = Codec.object().put("graph", g.id);
                ObjectNode tasks = body.putObject("tasks");
                nodes.forEach(n -> tasks.put(n.id(), g.id + "/" + g.graph.find(n.id())));
                answer.accept(new Outcome(status, body));
            }
        };
        g.log.then(done);
        if (told[0]) {
            return;
        }
        runtime.after(GraphConstants.GRAPH_RESPONSE_TIMEOUT_MS, () -> {
            if (!told[0]) {
                told[0] = true;
                answer.accept(Outcome.refused(503, "state service"));
            }
        });
        pump.run();
    }

    // ---- the loop ----

    public void flush() {
        long now = runtime.now();
        for (Live g : new ArrayList<>(graphs.values())) {
            if (g.over() || g.job == null) {
                continue;
            }
            for (int i : g.graph.takeFailing()) {
                String why = "failed " + (g.head.retries() + 1) + " times";
                g.end(i, Graph.State.FAILED, why, () -> {
                    if (g.head.endOnFailure() && !g.over()) {
                        jobTermination.cancel(g.job, durable -> {});
                    }
                });
            }
            if (!g.graph.sealed() && !g.sealing && now - g.since > GraphConstants.GRAPH_SEAL_TIMEOUT_MS) {
                g.sealing = true; // nothing is added to it any more
                LOG.info("graph not sealed in time graph={} token={}", g.id, scheduler.token());
                jobTermination.cancel(g.job, durable -> {});
            }
            if (g.job.finished() && g.log.isEmpty()) {
                scheduler.outbox().addNewCompletions(g.job);
            }
            g.log.flush(g.job.arrivalRevision, pump);
        }
        forget(now);
    }

    /**
     * Nodes and results of graphs that ended long ago go, some at a time; so do those of graphs that ended in earlier
     * terms.
     */
    private void forget(long now) {
        if (dropping || !state.hasSpareWriteCapacity()) {
            return;
        }
        for (Map.Entry<String, Long> ended : endedAt.entrySet()) {
            if (now - ended.getValue() > keepMs) {
                List<String> keys = logOf(ended.getKey());
                if (keys.isEmpty()) {
                    graphs.remove(ended.getKey());
                    endedAt.remove(ended.getKey());
                    return;
                }
                CompareAndSwap txn = new CompareAndSwap().expectRevision(StoreKeys.LEADER_RECORD, scheduler.token());
                keys.subList(Math.max(0, keys.size() - settings.txnOps()), keys.size())
                        .forEach(txn::delete);
                dropping = true;
                state.commit(txn, r -> runtime.after(ElectionConstants.SESSION_RETRY_MS, () -> dropping = false));
                return;
            }
        }
    }

    /** What earlier terms left of graphs that are over, when the term starts: it is kept as if they had ended now. */
    public void loadEnded() {
        replica.entries().forEach((key, e) -> {
            if (key.startsWith(StoreKeys.GRAPH_LOG)) {
                String id = GraphRecords.graphOf(e.data());
                StoreReplica.Entry root = replica.get(StoreKeys.job(id));
                if (root != null && Records.isOver(root.data())) {
                    endedAt.putIfAbsent(id, runtime.now());
                }
            }
        });
    }

    /** The record that a graph's end leaves; null if the job is no graph. */
    public ObjectNode endOf(Job job, String status) {
        Live g = graphs.get(job.spec.id());
        if (g == null || g.job != job) {
            return null;
        }
        String why = !g.graph.sealed()
                ? "not sealed in time, or cancelled before"
                : g.graph.count(Graph.State.FAILED) > 0
                        ? "nodes failed"
                        : status.equals(Records.ABORTED) ? "cancelled" : "";
        return GraphRecords.over(status, g.graph, why);
    }
}
