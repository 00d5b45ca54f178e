package org.hollypick.cluster;

import java.util.ArrayList;
import java.util.List;
import org.hollypick.agent.AgentCodec;
import org.hollypick.cluster.PeerMessages.RenewalGrantRequest;
import org.hollypick.cluster.PeerMessages.RenewalGrantResponse;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.config.constants.LeaseConstants;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.core.ClockBounds;
import org.hollypick.core.WorkerLeases;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.TaskStatus;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.io.ServerResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Renews agents' leases on a controller that a network partition separates, together with them, from the key-value
 * store and the leader. The leader grants the right to do so in advance, for a limited time; a leader that is separated
 * itself has it for a limited time after its leader lease. The only commands sent meanwhile kill tasks of cancelled
 * jobs (docs/safety.md). Confined to the event loop.
 */
public final class PartitionedLeaseRenewal {
    private static final Logger LOG = LoggerFactory.getLogger(PartitionedLeaseRenewal.class);

    /** What this controller knows of its jobs and of its own term, if it leads. */
    public interface TermInformation {
        /** Whether that job is cancelled, or may be: its tasks are to be killed. */
        boolean isCancelled(String jobId);

        /** Whether this controller leads, and all its peers run a version that requests renewal grants. */
        boolean allPeersRequestedGrants();

        /** This controller, still named as leader, renewed leases without a valid leader lease. */
        void leasesRenewedWithoutLeaderLease(long now);
    }

    private final EventLoop eventLoop;
    private final Settings settings;
    private final StoreReplica replica;
    private final Membership membership;
    private final TermInformation term;
    /** For how long a grant holds, in milliseconds; 0 if the settings leave no time for it. */
    private final long grantMs;

    private long grantedToken;
    private long grantedUntil;
    private long leaderRespondedAt;
    /** The number of the leader's newest response, and the fencing token of that leader: each counts its own. */
    private long lastGrantNumber;

    private long lastGrantToken;
    /** How many heartbeats were answered here, and how many of these the leader knows of. */
    private long renewals;

    private long acknowledgedRenewals;
    private boolean loggedAsActive;

    /** Creates an inactive renewal; {@link #start} begins to request grants. */
    public PartitionedLeaseRenewal(
            EventLoop eventLoop, Settings settings, StoreReplica replica, Membership membership, TermInformation term) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.replica = replica;
        this.membership = membership;
        this.term = term;
        this.grantMs = WorkerLeases.renewalGrantMs(settings);
        this.leaderRespondedAt = eventLoop.now();
    }

    /** Requests grants from the leader, again and again, if the settings allow any. */
    public void start() {
        if (grantMs > 0) {
            requestGrant();
        }
    }

    private void requestGrant() {
        long token = membership.leaderRecordRevision();
        String leaderAddress = settings.meshAddr(membership.namedLeader());
        if (leaderAddress != null && replica.isLoaded()) {
            long sentAt = eventLoop.now();
            long reportedRenewals = renewals;
            RenewalGrantRequest request = new RenewalGrantRequest(
                    settings.node(),
                    token,
                    replica.appliedRevision(),
                    lastGrantToken == token ? lastGrantNumber : WorkerLeases.NO_GRANT_NUMBER,
                    reportedRenewals > acknowledgedRenewals);
            eventLoop.send(
                    new Request(
                            leaderAddress,
                            "POST",
                            PeerMessageCodec.RENEWAL_GRANT_PATH,
                            PeerMessageCodec.write(request),
                            NetworkConstants.PEER_TIMEOUT_MS,
                            true),
                    response -> grantReceived(response, token, sentAt, reportedRenewals));
        }
        eventLoop.after(LeaseConstants.RENEWAL_GRANT_INTERVAL_MS, this::requestGrant);
    }

    private void grantReceived(Response response, long token, long sentAt, long reportedRenewals) {
        if (!response.ok()) {
            return;
        }
        RenewalGrantResponse grant = PeerMessageCodec.readRenewalGrantResponse(response.body());
        if (grant.token() != token) {
            return;
        }
        leaderRespondedAt = eventLoop.now();
        lastGrantNumber = grant.number();
        lastGrantToken = token;
        acknowledgedRenewals = Math.max(acknowledgedRenewals, reportedRenewals);
        if (grant.granted()) {
            grantedToken = token;
            grantedUntil = sentAt + ClockBounds.atLeast(grantMs);
        }
    }

    /** Until when this controller may renew leases under the leader record that it knows. */
    private long grantedUntil() {
        long ownToken = membership.fencingToken();
        if (ownToken == 0) {
            return grantedToken == membership.leaderRecordRevision() ? grantedUntil : WorkerLeases.NEVER;
        }
        // A successor of a version that does not know of these renewals would take the leases for expired ones.
        return term.allPeersRequestedGrants()
                ? membership.leaderLeaseValidUntil(ownToken) + ClockBounds.atLeast(grantMs)
                : WorkerLeases.NEVER;
    }

    private boolean holdsGrant() {
        return eventLoop.now() < grantedUntil();
    }

    /**
     * Whether heartbeats are to be answered here: the leader and the key-value store are both out of reach, and the
     * grant holds.
     */
    public boolean isActive() {
        boolean leaderLost =
                membership.fencingToken() != 0 || eventLoop.now() - leaderRespondedAt > LeaseConstants.LEADER_LOST_MS;
        boolean active = grantMs > 0 && leaderLost && !membership.reachesStore() && holdsGrant();
        if (active != loggedAsActive) {
            loggedAsActive = active;
            String event = active ? "lease_renewal.started token={}" : "lease_renewal.stopped token={}";
            LOG.info(event, membership.leaderRecordRevision());
        }
        return active;
    }

    /**
     * The response to a heartbeat that nobody else answers, to be sent only while the grant holds.
     *
     * @return null if the agent has seen a newer fencing token, since it would have to drop the response
     */
    public ServerResponse respond(Heartbeat heartbeat) {
        long token = membership.leaderRecordRevision();
        if (Long.compareUnsigned(heartbeat.token(), token) > 0) {
            return null;
        }
        renewals++;
        if (membership.fencingToken() != 0) {
            term.leasesRenewedWithoutLeaderLease(eventLoop.now());
        }
        return ServerResponse.of(200, AgentCodec.encodeCommands(token, killCancelled(heartbeat)))
                .onlyWhile(this::holdsGrant);
    }

    private List<Command> killCancelled(Heartbeat heartbeat) {
        List<Command> commands = new ArrayList<>();
        for (TaskStatus status : heartbeat.tasks()) {
            if (commands.size() < FailureDetectionConstants.MAX_COMMANDS_PER_MESSAGE
                    && status.state() != Assignment.State.EXITED
                    && isOfCancelledJob(status.task())) {
                commands.add(new Command(Command.Verb.KILL, status.task(), status.attempt(), 0));
            }
        }
        return commands;
    }

    private boolean isOfCancelledJob(String task) {
        int jobIdLength = task.lastIndexOf('/');
        return jobIdLength > 0 && term.isCancelled(task.substring(0, jobIdLength));
    }
}
