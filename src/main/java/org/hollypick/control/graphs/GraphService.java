package org.hollypick.control.graphs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.constants.GraphConstants;
import org.hollypick.core.Job;
import org.hollypick.core.graph.GraphOptions;
import org.hollypick.core.graph.NodeState;
import org.hollypick.records.GraphRecordCodec;
import org.hollypick.records.JobCodec;
import org.hollypick.records.JobRecordCodec;
import org.hollypick.records.TerminalStatus;
import org.hollypick.store.CompareAndSwap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages the graphs of one leader's term from their creation to their end. Nodes and results of an ended graph can be
 * read until {@link GraphRetention} has deleted its log. Confined to the event loop.
 */
public final class GraphService {
    private static final Logger LOG = LoggerFactory.getLogger(GraphService.class);

    private final GraphContext context;
    private final GraphFactory factory;
    private final GraphLogReader logReader;
    private final GraphRetention retention;
    private final GraphRequestHandler requestHandler;
    private final Map<String, LiveGraph> graphs = new LinkedHashMap<>();
    private long nextLogRecordNumber;

    /**
     * Creates the service without graphs.
     *
     * @param retentionMillis how long nodes and results of an ended graph are kept
     */
    public GraphService(GraphContext context, GraphFactory factory, long retentionMillis) {
        this.context = context;
        this.factory = factory;
        this.logReader = new GraphLogReader(context.replica());
        this.retention = new GraphRetention(context, logReader, retentionMillis, graphs::remove);
        this.requestHandler = new GraphRequestHandler(context, this);
    }

    /** Returns the handler of requests that change graphs. */
    public GraphRequestHandler requestHandler() {
        return requestHandler;
    }

    // ---- lookup ----

    /**
     * Finds a live graph, or an ended one, which is loaded if necessary. Empty if there is no such graph, or if its log
     * was deleted after the retention time.
     */
    public Optional<LiveGraph> find(String graphId) {
        LiveGraph known = graphs.get(graphId);
        StoreReplica.Entry graphRecord = context.replica().get(StoreKeys.job(graphId));
        if (known == null && graphRecord != null && GraphRecordCodec.isEnded(graphRecord.data())) {
            return loadEnded(graphId);
        }
        return Optional.ofNullable(known);
    }

    /** Finds a graph that was live in this term, or an ended one that {@link #find} has loaded. */
    Optional<LiveGraph> findLoaded(String graphId) {
        return Optional.ofNullable(graphs.get(graphId));
    }

    // ---- creation ----

    LiveGraph newGraph(String graphId, GraphOptions options) {
        return new LiveGraph(graphId, options, context, factory, () -> nextLogRecordNumber++);
    }

    /** Writes a new graph's own record and reports whether it was committed. The graph gets its job only then. */
    void createRecord(LiveGraph created, Consumer<Boolean> onOutcome) {
        graphs.put(created.id(), created);
        String key = StoreKeys.job(created.id());
        CompareAndSwap changes = new CompareAndSwap()
                .expectAbsent(key)
                .expectRevision(StoreKeys.LEADER_RECORD, context.fencingToken())
                .put(key, GraphRecordCodec.live(created.options(), context.fencingToken()));
        context.store().commit(changes, result -> {
            if (result.committed()) {
                LOG.info("graph.accepted graph={} token={}", created.id(), context.fencingToken());
                attachJob(created, result.revision(), context.fencingToken());
            } else {
                creationFailed(created);
            }
            onOutcome.accept(result.committed());
        });
    }

    /**
     * Removes a graph whose record wasn't written or whose write has an unknown outcome. If the replica has the graph's
     * record nevertheless, the graph is loaded from there, so that a repeated request finds it; if the record appears
     * later, {@link #recordObserved} is called then.
     */
    private void creationFailed(LiveGraph created) {
        graphs.remove(created.id(), created);
        StoreReplica.Entry entry = context.replica().get(StoreKeys.job(created.id()));
        if (entry != null && !JobRecordCodec.isTerminal(entry.data()) && GraphRecordCodec.isGraph(entry.data())) {
            recordObserved(created.id(), entry.data(), entry.revision());
        }
    }

    private void attachJob(LiveGraph live, long revision, long createdUnderToken) {
        live.attachJob(context.scheduler().addJob(live.options().jobSpec(), live.graph(), revision, createdUnderToken));
    }

    // ---- loading ----

    /** Finds the ended graphs of earlier terms, when the term starts. */
    public void loadEndedGraphs() {
        retention.load();
    }

    /**
     * Loads a live graph whose record is in the replica, unless the graph is loaded already. The replica then also has
     * all log records of the graph that earlier leaders wrote.
     *
     * @param revision the record's revision
     */
    public void recordObserved(String graphId, JsonNode record, long revision) {
        if (graphs.containsKey(graphId)) {
            return;
        }
        try {
            LiveGraph loaded = newGraph(graphId, GraphRecordCodec.options(record));
            loaded.replayLog(logReader);
            graphs.put(graphId, loaded);
            LOG.info(
                    "graph.loaded graph={} nodes={} sealed={} token={}",
                    graphId,
                    loaded.graph().count(),
                    loaded.graph().isSealed(),
                    context.fencingToken());
            attachJob(loaded, revision, GraphRecordCodec.createdUnderToken(record));
        } catch (JobCodec.InvalidException e) {
            LOG.error("graph.load_failed graph={} reason={}", graphId, e.getMessage());
        }
    }

    /** Loads a graph that ended before this term. */
    private Optional<LiveGraph> loadEnded(String graphId) {
        if (logReader.keys(graphId).isEmpty()) {
            return Optional.empty();
        }
        try {
            LiveGraph loaded = newGraph(
                    graphId, new GraphOptions(null, 0, false)); // placeholder: no task of an ended graph starts
            loaded.replayLog(logReader);
            loaded.markEnded();
            retention.graphEndedEarlier(graphId);
            graphs.put(graphId, loaded);
            return Optional.of(loaded);
        } catch (JobCodec.InvalidException e) {
            LOG.error("graph.load_failed graph={} reason={}", graphId, e.getMessage());
            return Optional.empty();
        }
    }

    // ---- termination ----

    /** Marks a graph as ended, once its end is durable, and starts its retention time. */
    public void markEnded(String graphId) {
        LiveGraph live = graphs.get(graphId);
        if (live != null && !live.isEnded()) {
            live.markEnded();
            retention.graphEnded(graphId);
        }
    }

    /** Returns the record that replaces the graph's own when its job ends; empty if the job isn't a graph's. */
    public Optional<ObjectNode> terminalRecord(Job job, TerminalStatus status) {
        LiveGraph live = graphs.get(job.spec.id());
        if (live == null || live.job().orElse(null) != job) {
            return Optional.empty();
        }
        return Optional.of(GraphRecordCodec.ended(status, live.graph(), endReason(live, status)));
    }

    private static String endReason(LiveGraph live, TerminalStatus status) {
        if (!live.graph().isSealed()) {
            return "not sealed in time, or cancelled before";
        }
        if (live.graph().count(NodeState.FAILED) > 0) {
            return "nodes failed";
        }
        return status == TerminalStatus.CANCELLED ? "cancelled" : "";
    }

    // ---- reconcile loop ----

    /**
     * Runs one cycle of the reconcile loop: fails nodes that have no retries left, cancels graphs that weren't sealed
     * in time, completes finished graphs, writes the logs, and deletes logs whose retention time has expired.
     */
    public void reconcile() {
        long now = context.eventLoop().now();
        for (LiveGraph live : new ArrayList<>(graphs.values())) {
            if (!live.isEnded() && live.job().isPresent()) {
                reconcile(live, live.job().get(), now);
            }
        }
        retention.deleteExpired(now);
    }

    private void reconcile(LiveGraph live, Job job, long now) {
        failExhaustedNodes(live, job);
        cancelIfSealTimedOut(live, job, now);
        if (live.isDurablyFinished()) {
            context.scheduler().outbox().addNewCompletions(job);
        }
        live.flushLog(context.requestReconcile());
    }

    private void failExhaustedNodes(LiveGraph live, Job job) {
        String reason = "failed " + (live.options().retries() + 1) + " times";
        for (int node : live.graph().takeExhaustedNodes()) {
            live.terminateNode(node, NodeState.FAILED, reason, () -> {
                if (live.options().cancelsOnNodeFailure() && !live.isEnded()) {
                    cancel(job);
                }
            });
        }
    }

    private void cancelIfSealTimedOut(LiveGraph live, Job job, long now) {
        if (!live.graph().isSealed()
                && !live.isSealRequested()
                && now - live.knownSinceMillis() > GraphConstants.GRAPH_SEAL_TIMEOUT_MS) {
            live.rejectFurtherNodes();
            LOG.info("graph.seal_timed_out graph={} token={}", live.id(), context.fencingToken());
            cancel(job);
        }
    }

    private void cancel(Job job) {
        context.jobTermination().cancel(job, durable -> {});
    }
}
