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
 * One term of leadership, under one fencing token. It acts on machines, instances and records only while
 * {@link #holdsLeaderLease}. A term that ended never starts again: the controller makes another. Confined to the event
 * loop.
 */
public final class LeaderTerm {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);

    private final EventLoop eventLoop;
    private final Membership membership;
    private final TermComponents components;
    private final RecordChangeHandler recordChangeHandler;
    private final ReconcileLoop reconcileLoop;
    private boolean ended;

    /** {@code token}: the revision of the leader record that names this controller. */
    public LeaderTerm(long token, ControllerContext context) {
        this.eventLoop = context.eventLoop();
        this.membership = context.membership();
        this.components = new TermComponents(token, context, new ComponentCallbacks());
        this.reconcileLoop = new ReconcileLoop(context, components, this::holdsLeaderLease);
        this.recordChangeHandler = new RecordChangeHandler(context, components, reconcileLoop::requestReconcile);
    }

    /** Lets the term's parts call back into it: they are made before the loop and the handler that they call. */
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
     * Loads the durable records and starts to reconcile. The replica holds every change up to the leader record's
     * revision, and earlier leaders can't write after it.
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

    /** The leader record names another controller or incarnation: this term acts no more. */
    public void end() {
        LOG.info("leader_term.ended token={}", token());
        ended = true;
        reconcileLoop.stop();
    }

    /** The term's fencing token. */
    public long token() {
        return components.token;
    }

    /** The jobs, machines and assignments as this leader knows them. */
    public Scheduler scheduler() {
        return components.scheduler;
    }

    /** Cancels jobs and writes their terminal records. */
    public JobTermination jobTermination() {
        return components.jobTermination;
    }

    /**
     * The service for task graphs.
     *
     * @return null unless the operators switched them on
     */
    public GraphService graphs() {
        return components.graphs;
    }

    /** Whether this controller may act as this term's leader now. */
    public boolean holdsLeaderLease() {
        return !ended && membership.holdsLeaderLease(token());
    }

    /** Answers an agent's heartbeat, which arrived through the controller {@code via}, while the leader lease holds. */
    public ServerResponse heartbeatReceived(Heartbeat heartbeat, String via) {
        return components.agentManager.heartbeatReceived(heartbeat, via);
    }

    /** Answers a peer that requests the right to renew agents' leases while it is partitioned from this leader. */
    public ServerResponse grantPartitionedRenewal(RenewalGrantRequest request) {
        long now = eventLoop.now();
        WorkerLeases leases = components.scheduler.leases();
        leases.grantRequested(request.controller(), request.lastGrantNumber(), request.renewedLeases(), now);
        boolean granted = leases.allPeersRequestedGrants()
                && components.jobTermination.replicaShowsAllCancellations(request.appliedRevision());
        long number = leases.responseSent(request.controller(), granted, now);
        RenewalGrantResponse response = new RenewalGrantResponse(token(), number, granted);
        return ServerResponse.of(200, PeerMessageCodec.write(response)).onlyWhile(this::holdsLeaderLease);
    }

    /** The records under {@code keys} changed in the replica. */
    public void recordsChanged(Collection<String> keys) {
        recordChangeHandler.recordsChanged(keys);
    }
}
