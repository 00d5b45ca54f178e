package org.hollypick.control.graphs;

import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.hollypick.core.Job;
import org.hollypick.core.Scheduler;
import org.hollypick.core.graph.Graph;
import org.hollypick.core.graph.GraphOptions;
import org.hollypick.core.graph.NodeSpec;
import org.hollypick.core.graph.NodeState;
import org.hollypick.records.GraphLogCodec;
import org.hollypick.records.GraphLogEntry;
import org.hollypick.records.JobCodec;

/**
 * A graph that this term created or loaded: its nodes, the job that schedules them, their results, and the log that
 * makes changes durable. The effects of a change that prevent something, such as the start of a cancelled node, apply
 * in memory at once; those that permit something apply once the change is durable. Confined to the event loop.
 */
public final class LiveGraph {
    private final String id;
    private final GraphOptions options;
    private final Scheduler scheduler;
    private final Graph graph;
    private final NodeResults results = new NodeResults();
    private final GraphLog log;
    private final NodeLogWriter nodeLogWriter;
    private final long knownSinceMillis;
    /** Nodes that were released before the job was attached. */
    private final IntArrayList releasedBeforeJob = new IntArrayList();
    /** Null until the graph's own record is durable, and for a graph that ended before this term. */
    private Job job;

    private boolean sealRequested;
    private boolean ended;
    /** Number of terminations and results that aren't durable yet; a new leader may not find them. */
    private int uncommittedChanges;

    LiveGraph(String id, GraphOptions options, GraphContext context, GraphFactory factory, LongSupplier recordNumbers) {
        this.id = id;
        this.options = options;
        this.scheduler = context.scheduler();
        this.graph = factory.create(options.retries(), this::nodeReleased);
        this.log = new GraphLog(context, id, recordNumbers);
        this.nodeLogWriter = new NodeLogWriter(graph, log);
        this.knownSinceMillis = context.eventLoop().now();
    }

    /** The graph's id, which is also the id of its job. */
    public String id() {
        return id;
    }

    GraphOptions options() {
        return options;
    }

    /** The graph's nodes. */
    public Graph graph() {
        return graph;
    }

    /** When this term created or loaded the graph, on the event loop's clock. */
    long knownSinceMillis() {
        return knownSinceMillis;
    }

    // ---- job ----

    /** The job that schedules the nodes; empty until the graph's own record is durable. */
    public Optional<Job> job() {
        return Optional.ofNullable(job);
    }

    /** Sets the job that schedules the nodes, once the graph's own record is durable. */
    void attachJob(Job attached) {
        job = attached;
        for (int node : releasedBeforeJob.toIntArray()) {
            scheduler.releaseTask(job, node);
        }
    }

    private void nodeReleased(int node) {
        if (job == null) {
            releasedBeforeJob.add(node);
        } else {
            scheduler.releaseTask(job, node);
        }
    }

    /** Whether all nodes have reached a final state and the whole log is durable. */
    boolean isDurablyFinished() {
        return job.isFinished() && log.isDurable();
    }

    boolean isEnded() {
        return ended;
    }

    /** Marks the graph as ended, once its end is durable; it doesn't change afterwards. */
    void markEnded() {
        ended = true;
    }

    // ---- growth ----

    /** Restores the graph from its stored log. */
    void replayLog(GraphLogReader reader) throws JobCodec.InvalidException {
        for (String key : reader.keys(id)) {
            for (GraphLogEntry entry : reader.entries(key)) {
                GraphLogCodec.replay(entry, graph, results::put);
            }
        }
        nodeLogWriter.skipToEnd();
        sealRequested = graph.isSealed();
    }

    /** Adds nodes of the client that {@link Graph#validate} has accepted. */
    void appendNodes(List<NodeSpec> nodes) {
        graph.append(nodes, null, null);
        nodeLogWriter.appendNewNodes(null, null);
    }

    /**
     * Adds children of a running node that {@link Graph#validate} has accepted.
     *
     * @param continuationId the node that the parent delegates its result to, or null
     * @return whether the graph changed
     */
    boolean appendChildren(String parentId, List<NodeSpec> nodes, String continuationId) {
        int countBefore = graph.count();
        boolean delegates = continuationId != null && !graph.hasContinuation(graph.indexOf(parentId));
        graph.append(nodes, parentId, continuationId);
        int parent = graph.indexOf(parentId);
        if (!graph.mayStart(parent)) { // cancelled: its continuation failed or was cancelled
            scheduler.cancelTask(job, parent);
        }
        nodeLogWriter.appendNewNodes(parentId, delegates ? continuationId : null);
        return graph.count() > countBefore || delegates;
    }

    /** Whether the client may add no further nodes, even if the graph isn't durably sealed yet. */
    boolean isSealRequested() {
        return sealRequested;
    }

    /** Rejects further nodes of the client from now on, and seals the graph once the log entry is durable. */
    void requestSeal() {
        sealRequested = true;
        log.append(GraphLogCodec.graphSealed(), graph::seal);
    }

    /** Rejects further nodes of the client, without sealing the graph. */
    void rejectFurtherNodes() {
        sealRequested = true;
    }

    // ---- results and terminations ----

    /** The node's result: that of its own task, or of the last node in its chain of continuations. */
    public Optional<JsonNode> result(int node) {
        return results.get(graph.resultNode(node));
    }

    /** The result of the node's own task. */
    Optional<JsonNode> ownResult(int node) {
        return results.get(node);
    }

    int totalResultBytes() {
        return results.totalBytes();
    }

    /** Records the result of a node's own task. */
    void recordResult(int node, JsonNode result) {
        results.put(node, result);
        appendChange(GraphLogCodec.resultRecorded(node, result), () -> {});
    }

    /**
     * Fails or cancels a node, and cancels its continuations and all nodes that can't complete without one of them. The
     * tasks of these nodes don't start from now on, and running ones are stopped.
     *
     * @param onDurable called once the termination is durable
     */
    void terminateNode(int node, NodeState state, String reason, Runnable onDurable) {
        Graph.Termination termination = graph.terminate(node, state, reason);
        for (int terminated : termination.nodes()) {
            scheduler.cancelTask(job, terminated);
        }
        appendChange(GraphLogCodec.nodesTerminated(termination.roots(), state, reason), onDurable);
    }

    private void appendChange(GraphLogEntry entry, Runnable onDurable) {
        uncommittedChanges++;
        log.append(entry, () -> {
            uncommittedChanges--;
            onDurable.run();
        });
    }

    /** Whether terminations or results that a response to a user would contain aren't durable yet. */
    public boolean hasUncommittedChanges() {
        return uncommittedChanges > 0 && !ended;
    }

    // ---- log ----

    /** Calls {@code onDurable} once all changes so far are durable: immediately if they already are. */
    void whenDurable(Runnable onDurable) {
        log.whenDurable(onDurable);
    }

    int pendingLogEntries() {
        return log.pendingEntries();
    }

    void flushLog(Runnable onWritten) {
        log.flush(job.arrivalRevision, onWritten);
    }
}
