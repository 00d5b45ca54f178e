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
 * Renews agents' leases on a controller that is in the same network partition as the agents, separated from the
 * key-value store and the leader. The leader grants permission in advance, for a limited time. A leader that is itself
 * partitioned may renew leases for the same time after its leader lease. The only commands sent in a partition kill
 * tasks of cancelled jobs (docs/safety.md). Confined to the event loop.
 */
public final class PartitionedLeaseRenewal {
    private static final Logger LOG = LoggerFactory.getLogger(PartitionedLeaseRenewal.class);

    /** Information about jobs, and about this controller's own term if it leads. */
    public interface TermInformation {
        /** Returns whether a job is cancelled or its cancellation was requested, so that its tasks must be killed. */
        boolean isCancelled(String jobId);

        /**
         * Returns whether this controller leads and all its peers have requested renewal grants in its term, which
         * peers of older versions never do.
         */
        boolean allPeersRequestedGrants();

        /**
         * Records that this controller, which the leader record still names, renewed leases without a valid leader
         * lease.
         */
        void leasesRenewedWithoutLeaderLease(long now);

        /** Returns the newest fencing token that agents may have seen from this controller's term; 0 without a term. */
        long newestCommandToken();
    }

    private final EventLoop eventLoop;
    private final Settings settings;
    private final StoreReplica replica;
    private final Membership membership;
    private final TermInformation term;
    /** The validity of a grant in milliseconds; 0 if the settings leave no time for grants. */
    private final long grantMs;

    private long grantedToken;
    private long grantedUntil;
    /** The newest token that agents may have seen from the leader whose token is {@link #lastGrantToken}. */
    private long leaderCommandToken;

    private long leaderRespondedAt;
    /**
     * The number of the newest response, and the fencing token of the leader that sent it: leaders number their own
     * responses.
     */
    private long lastGrantNumber;

    private long lastGrantToken;
    /**
     * The number of heartbeats answered here, and how many of these were reported in requests that the leader answered.
     */
    private long renewals;

    private long acknowledgedRenewals;
    private boolean loggedAsActive;

    /** Creates an inactive instance; {@link #start} begins to request grants. */
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

    /** Requests grants from the leader periodically, if the settings allow any. */
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
        leaderCommandToken = grant.newestCommandToken();
        acknowledgedRenewals = Math.max(acknowledgedRenewals, reportedRenewals);
        if (grant.granted()) {
            grantedToken = token;
            grantedUntil = sentAt + ClockBounds.atLeast(grantMs);
        }
    }

    /** Returns the time until which this controller may renew leases under the leader record in its replica. */
    private long grantedUntil() {
        long ownToken = membership.fencingToken();
        if (ownToken == 0) {
            return grantedToken == membership.leaderRecordRevision() ? grantedUntil : WorkerLeases.NEVER;
        }
        // A successor that runs an older version would consider leases renewed in a partition expired.
        return term.allPeersRequestedGrants()
                ? membership.leaderLeaseValidUntil(ownToken) + ClockBounds.atLeast(grantMs)
                : WorkerLeases.NEVER;
    }

    private boolean holdsGrant() {
        return eventLoop.now() < grantedUntil();
    }

    /**
     * Returns whether this controller must answer heartbeats itself: the key-value store is unreachable, the leader is
     * unreachable or this controller is named as leader, and the grant is valid.
     */
    public boolean isActive() {
        boolean leaderLost = membership.fencingToken() != 0
                || eventLoop.now() - leaderRespondedAt > LeaseConstants.LEADER_UNREACHABLE_AFTER_MS;
        boolean active = grantMs > 0 && leaderLost && !membership.reachesStore() && holdsGrant();
        if (active != loggedAsActive) {
            loggedAsActive = active;
            String event = active ? "lease_renewal.started token={}" : "lease_renewal.stopped token={}";
            LOG.info(event, membership.leaderRecordRevision());
        }
        return active;
    }

    /**
     * Returns the response to a heartbeat that no leader answers. The response is sent only while the grant is valid.
     *
     * @return null if the agent has received the fencing token of a newer leader, since it would reject the response
     */
    public ServerResponse respond(Heartbeat heartbeat) {
        long leaderToken = membership.leaderRecordRevision();
        boolean seenNewerToken = Long.compareUnsigned(heartbeat.token(), leaderToken) > 0;
        if (seenNewerToken && Long.compareUnsigned(heartbeat.token(), newestCommandToken(leaderToken)) > 0) {
            return null;
        }
        long token = seenNewerToken ? heartbeat.token() : leaderToken;
        renewals++;
        if (membership.fencingToken() != 0) {
            term.leasesRenewedWithoutLeaderLease(eventLoop.now());
        }
        return ServerResponse.of(200, AgentCodec.encodeCommands(token, killCancelled(heartbeat)))
                .onlyWhile(this::holdsGrant);
    }

    /** The newest token that agents may have seen from the leader whose record this controller's replica shows. */
    private long newestCommandToken(long leaderToken) {
        if (membership.fencingToken() != 0) {
            return term.newestCommandToken();
        }
        return lastGrantToken == leaderToken ? leaderCommandToken : leaderToken;
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
