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
     * Starts to compare which machines this leader and its peers reach, if this leader is isolated, and either the
     * pause since the last resignation has passed or agents' leases are about to expire.
     */
    void evaluate(long now) {
        if (failureDetector.isIsolated(now)
                && (membership.isResignationAllowed() || failureDetector.agentLeasesAboutToExpire(now))) {
            resignIfPeerReachesMore();
        }
    }

    /**
     * Probes machines directly and through the peers, and resigns if one peer alone reaches more than this leader
     * directly, and nearly all that this leader reaches by any route. Also resigns if it is unknown which machines the
     * peers reach, unless this leader reaches nearly all machines by some route.
     */
    private void resignIfPeerReachesMore() {
        if (evaluationInProgress) {
            return;
        }
        evaluationInProgress = true;
        membership.evaluateCandidacy(reachability -> {
            evaluationInProgress = false;
            boolean peersMayReachMore =
                    failureDetector.isPeerReachabilityUnknown(eventLoop.now()) && !reachability.reachesNearlyAll();
            if (holdsLeaderLease.getAsBoolean() && (peersMayReachMore || reachability.peerLeadsBetter())) {
                LOG.info("leader.resigned token={} {} {}", token, failureDetector.summary(), reachability);
                membership.resign();
            }
        });
    }
}
