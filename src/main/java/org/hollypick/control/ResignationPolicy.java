package org.hollypick.control;

import java.util.function.BooleanSupplier;
import org.hollypick.cluster.Membership;
import org.hollypick.control.machines.FailureDetector;
import org.hollypick.io.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether a leader that can't reach its machines resigns in favour of another controller. Confined to the event
 * loop.
 */
final class ResignationPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(ResignationPolicy.class);

    private final long token;
    private final EventLoop eventLoop;
    private final Membership membership;
    private final FailureDetector failureDetector;
    private final BooleanSupplier holdsLeaderLease;
    private boolean evaluationInProgress;

    ResignationPolicy(
            long token,
            EventLoop eventLoop,
            Membership membership,
            FailureDetector failureDetector,
            BooleanSupplier holdsLeaderLease) {
        this.token = token;
        this.eventLoop = eventLoop;
        this.membership = membership;
        this.failureDetector = failureDetector;
        this.holdsLeaderLease = holdsLeaderLease;
    }

    /**
     * Starts to compare the peers' reachability with this controller's, if the machines are out of reach and resigning
     * is allowed again, or the agents' leases can't wait for that.
     */
    void evaluate(long now) {
        if (failureDetector.isIsolated(now)
                && (membership.isResignationAllowed() || failureDetector.agentLeasesAboutToExpire(now))) {
            resignIfPeerReachesMore();
        }
    }

    /**
     * Resigns if a peer alone reaches the machines that this leader reaches only with the help of all; or if those that
     * can't be asked may do better, unless this leader reaches nearly all machines in some way.
     */
    private void resignIfPeerReachesMore() {
        if (evaluationInProgress) {
            return;
        }
        evaluationInProgress = true;
        membership.evaluateCandidacy(reachability -> {
            evaluationInProgress = false;
            boolean peersMayDoBetter =
                    failureDetector.isPeerReachabilityUnknown(eventLoop.now()) && !reachability.reachesNearlyAll();
            if (holdsLeaderLease.getAsBoolean() && (peersMayDoBetter || reachability.peerLeadsBetter())) {
                LOG.info("leader.resigned token={} {} {}", token, failureDetector.summary(), reachability);
                membership.resign();
            }
        });
    }
}
