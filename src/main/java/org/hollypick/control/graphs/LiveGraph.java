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
 * A graph that this term knows: its nodes, the job that schedules them, their results, and the log that makes changes
 * durable. A change takes effect in memory at once as far as it prevents something; what it allows waits until the
 * change is durable. Confined to the event loop.
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
    /** Nodes that were released before the job was there. */
    private final IntArrayList releasedBeforeJob = new IntArrayList();
    /** Null until the graph's own record is durable, and if the graph ended before this term. */
    private Job job;

    private boolean sealRequested;
    private boolean ended;
    /** Terminations and results that are known here and not durable yet: a successor may not find them. */
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

    /** The graph's id, which is its job's. */
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

    /** When this term came to know the graph, by the event loop's clock. */
    long knownSinceMillis() {
        return knownSinceMillis;
    }

    // ---- job ----

    /** The job that schedules the nodes; empty until the graph's own record is durable. */
    public Optional<Job> job() {
        return Optional.ofNullable(job);
    }

    /** The graph's own record is durable, and this job schedules its nodes. */
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

    /** Whether all nodes have reached a final state and all of that is durable. */
    boolean isDurablyFinished() {
        return job.isFinished() && log.isDurable();
    }

    boolean isEnded() {
        return ended;
    }

    /** The graph's end is durable; nothing changes any more. */
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

    /** Adds nodes of the client that {@link Graph#validate} accepts. */
    void appendNodes(List<NodeSpec> nodes) {
        graph.append(nodes, null, null);
        nodeLogWriter.appendNewNodes(null, null);
    }

    /**
     * Adds nodes of a running node that {@link Graph#validate} accepts.
     *
     * @param continuationId the node that the parent delegates its result to, or null
     * @return whether anything changed
     */
    boolean appendChildren(String parentId, List<NodeSpec> nodes, String continuationId) {
        int countBefore = graph.count();
        boolean delegates = continuationId != null && !graph.hasContinuation(graph.indexOf(parentId));
        graph.append(nodes, parentId, continuationId);
        int parent = graph.indexOf(parentId);
        if (!graph.mayStart(parent)) { // it delegated its result to a node that can't be done
            scheduler.cancelTask(job, parent);
        }
        nodeLogWriter.appendNewNodes(parentId, delegates ? continuationId : null);
        return graph.count() > countBefore || delegates;
    }

    /** Whether the client may add no further nodes, be that durable or not. */
    boolean isSealRequested() {
        return sealRequested;
    }

    /** Seals the graph once that is durable. */
    void requestSeal() {
        sealRequested = true;
        log.append(GraphLogCodec.graphSealed(), graph::seal);
    }

    /** Accepts no further nodes of the client, without sealing the graph. */
    void rejectFurtherNodes() {
        sealRequested = true;
    }

    // ---- results and terminations ----

    /** The result that stands for the node: its own, or that of the last of its continuations. */
    public Optional<JsonNode> result(int node) {
        return results.get(graph.resultNode(node));
    }

    /** The result that the node's own task gave. */
    Optional<JsonNode> ownResult(int node) {
        return results.get(node);
    }

    int totalResultBytes() {
        return results.totalBytes();
    }

    /** Keeps a node's result. */
    void recordResult(int node, JsonNode result) {
        results.put(node, result);
        appendChange(GraphLogCodec.resultRecorded(node, result), () -> {});
    }

    /** Fails or cancels a node at once, so that its task doesn't start, and what follows from it. */
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

    /** Whether something that users could be told about its nodes isn't durable yet. */
    public boolean hasUncommittedChanges() {
        return uncommittedChanges > 0 && !ended;
    }

    // ---- log ----

    /** Calls {@code onDurable} once all changes so far are durable: at once, if they are. */
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
