package org.hollypick.control;

import java.util.ArrayList;
import java.util.Collection;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.PeerMessageCodec;
import org.hollypick.cluster.PeerMessages.RenewalGrantRequest;
import org.hollypick.cluster.PeerMessages.RenewalGrantResponse;
import org.hollypick.control.graphs.GraphService;
import org.hollypick.control.jobs.JobTermination;
import org.hollypick.core.Job;
import org.hollypick.core.Scheduler;
import org.hollypick.core.WorkerLeases;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.io.EventLoop;
import org.hollypick.io.ServerResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of leadership under one fencing token. Changes machines, instances and records only while
 * {@link #holdsLeaderLease} is true. An ended term never starts again: each term is a new instance. Confined to the
 * event loop.
 */
public final class LeaderTerm {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);

    private final EventLoop eventLoop;
    private final Membership membership;
    private final TermComponents components;
    private final RecordChangeHandler recordChangeHandler;
    private final ReconcileLoop reconcileLoop;
    private boolean ended;

    /**
     * Creates a term that has not started.
     *
     * @param token the fencing token: the revision of the leader record that names this controller
     */
    public LeaderTerm(long token, ControllerContext context) {
        this.eventLoop = context.eventLoop();
        this.membership = context.membership();
        this.components = new TermComponents(token, context, new ComponentCallbacks());
        this.reconcileLoop = new ReconcileLoop(context, components, this::holdsLeaderLease);
        this.recordChangeHandler = new RecordChangeHandler(context, components, reconcileLoop::requestReconcile);
    }

    /**
     * Forwards calls of the components to the reconcile loop and the record change handler, which are created after the
     * components.
     */
    private final class ComponentCallbacks implements TermComponents.Callbacks {
        @Override
        public boolean holdsLeaderLease() {
            return LeaderTerm.this.holdsLeaderLease();
        }

        @Override
        public void requestReconcile() {
            reconcileLoop.requestReconcile();
        }

        @Override
        public void jobStatesChanged() {
            recordChangeHandler.applyDependencyChanges();
        }
    }

    /**
     * Loads the durable records and starts the reconcile loop. No write of an earlier leader is missing: the replica
     * holds every change up to the revision of the leader record, and later writes of earlier leaders are rejected.
     */
    public void start() {
        recordChangeHandler.loadAll();
        components.loadJobState();
        Scheduler scheduler = components.scheduler;
        for (Job job : new ArrayList<>(scheduler.jobs())) {
            scheduler.completionsRestored(job);
            if (job.isFinished()) {
                scheduler.outbox().addNewCompletions(job);
            }
        }
        LOG.info(
                "leader_term.started token={} jobs={} machines={}",
                token(),
                scheduler.jobs().size(),
                scheduler.machines().size());
        reconcileLoop.start();
    }

    /** Ends the term, after this controller's fencing token changed: nothing is reconciled any more. */
    public void end() {
        LOG.info("leader_term.ended token={}", token());
        ended = true;
        reconcileLoop.stop();
    }

    /** The term's fencing token. */
    public long token() {
        return components.token;
    }

    /** The scheduler, with the jobs, machines and assignments of this term. */
    public Scheduler scheduler() {
        return components.scheduler;
    }

    /** The component that cancels jobs and writes their terminal records. */
    public JobTermination jobTermination() {
        return components.jobTermination;
    }

    /**
     * The service for task graphs.
     *
     * @return null if task graphs are disabled in the operator settings
     */
    public GraphService graphs() {
        return components.graphs;
    }

    /** Whether this controller may act as this term's leader now. */
    public boolean holdsLeaderLease() {
        return !ended && membership.holdsLeaderLease(token());
    }

    /**
     * Responds to an agent's heartbeat. A response that renews the agent's lease is sent only while the leader lease is
     * held.
     *
     * @param relay the controller that received the heartbeat from the agent
     */
    public ServerResponse heartbeatReceived(Heartbeat heartbeat, String relay) {
        return components.agentManager.heartbeatReceived(heartbeat, relay);
    }

    /**
     * Responds to a peer that requests a grant to renew agents' leases while a network partition separates it from this
     * leader. The grant is given only once all peers have requested grants in this term, and the peer's replica shows
     * all cancellations.
     */
    public ServerResponse grantPartitionedRenewal(RenewalGrantRequest request) {
        long now = eventLoop.now();
        WorkerLeases leases = components.scheduler.leases();
        leases.grantRequested(request.controller(), request.lastGrantNumber(), request.renewedLeases(), now);
        boolean granted = leases.allPeersRequestedGrants()
                && components.jobTermination.replicaShowsAllCancellations(request.appliedRevision());
        long number = leases.responseSent(request.controller(), granted, now);
        RenewalGrantResponse response = new RenewalGrantResponse(
                token(), number, granted, scheduler().commandTokens().announced());
        return ServerResponse.of(200, PeerMessageCodec.write(response)).onlyWhile(this::holdsLeaderLease);
    }

    /** Applies the changes of the records under {@code keys} in the replica. */
    public void recordsChanged(Collection<String> keys) {
        recordChangeHandler.recordsChanged(keys);
    }
}
