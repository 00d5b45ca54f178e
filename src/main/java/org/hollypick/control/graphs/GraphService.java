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
 * The graphs of one leader's term from their creation to their end. Their nodes and results can be asked for until the
 * {@link GraphRetention} has deleted them. Confined to the event loop.
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
     * No graphs yet.
     *
     * @param retentionMillis for how long nodes and results of an ended graph are kept
     */
    public GraphService(GraphContext context, GraphFactory factory, long retentionMillis) {
        this.context = context;
        this.factory = factory;
        this.logReader = new GraphLogReader(context.replica());
        this.retention = new GraphRetention(context, logReader, retentionMillis, graphs::remove);
        this.requestHandler = new GraphRequestHandler(context, this);
    }

    /** Handles requests that change graphs. */
    public GraphRequestHandler requestHandler() {
        return requestHandler;
    }

    // ---- lookup ----

    /**
     * Any graph whose nodes are known, whether it is live or has ended; empty if there is none, or its nodes were
     * deleted after their retention time.
     */
    public Optional<LiveGraph> find(String graphId) {
        LiveGraph known = graphs.get(graphId);
        StoreReplica.Entry graphRecord = context.replica().get(StoreKeys.job(graphId));
        if (known == null && graphRecord != null && GraphRecordCodec.isEnded(graphRecord.data())) {
            return loadEnded(graphId);
        }
        return Optional.ofNullable(known);
    }

    /** A graph that was live in this term, or was asked for since it ended. */
    Optional<LiveGraph> findLoaded(String graphId) {
        return Optional.ofNullable(graphs.get(graphId));
    }

    // ---- creation ----

    LiveGraph newGraph(String graphId, GraphOptions options) {
        return new LiveGraph(graphId, options, context, factory, () -> nextLogRecordNumber++);
    }

    /** Writes the own record of a new graph, and tells whether that succeeded; only then the graph has a job. */
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

    /** The record may be there, or appear later: then the replica shows it, and a repeated request finds it. */
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

    /** Finds the ended graphs that earlier terms left, when the term starts. */
    public void loadEndedGraphs() {
        retention.load();
    }

    /**
     * The replica shows the record of a live graph, and so all that earlier leaders recorded of the graph.
     *
     * @param revision of the record
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
            LiveGraph loaded = newGraph(graphId, new GraphOptions(null, 0, false)); // no task is started any more
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

    // ---- end ----

    /** The graph's end is durable. */
    public void markEnded(String graphId) {
        LiveGraph live = graphs.get(graphId);
        if (live != null && !live.isEnded()) {
            live.markEnded();
            retention.graphEnded(graphId);
        }
    }

    /** The record that the end of a graph's job leaves; empty if the job is no graph. */
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

    /** One round of the reconcile loop: ends what has to end, writes the logs, deletes what was kept long enough. */
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
        cancelIfNeverSealed(live, job, now);
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

    private void cancelIfNeverSealed(LiveGraph live, Job job, long now) {
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
