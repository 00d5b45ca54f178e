package org.hollypick;

import java.util.List;
import java.util.Map;
import org.hollypick.agent.AgentCodec;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.PartitionedLeaseRenewal;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.control.ControllerContext;
import org.hollypick.control.LeaderTerm;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.MachineType;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.io.EventLoop;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.JobRecordCodec;
import org.hollypick.records.TerminalStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts a {@link LeaderTerm} when this controller becomes leader, and ends the term when the fencing token changes.
 * Also keeps the machine types up to date, which a term needs to start. Confined to the event loop.
 */
final class TermSupervisor implements PartitionedLeaseRenewal.TermInformation {
    private static final Logger LOG = LoggerFactory.getLogger(TermSupervisor.class);

    /** Milliseconds until a failed request for the machine types is retried. */
    private static final long MACHINE_TYPE_RETRY_MS = 1_000;
    /**
     * The most bits that a fencing token may have: an attempt number appends {@link JobConstants#ATTEMPT_COUNTER_BITS}
     * bits to the token and must fit into a positive {@code long}.
     */
    private static final int TOKEN_BITS = 63 - JobConstants.ATTEMPT_COUNTER_BITS;

    private final ControllerContext context;
    private final EventLoop eventLoop;
    private final StoreReplica replica;
    private final Membership membership;
    private final JobDependencies dependencies;
    private final Map<String, MachineType> machineTypes;
    /** The current term; null while this controller does not lead. */
    private LeaderTerm term;

    TermSupervisor(ControllerContext context) {
        this.context = context;
        this.eventLoop = context.eventLoop();
        this.replica = context.replica();
        this.membership = context.membership();
        this.dependencies = context.dependencies();
        this.machineTypes = context.machineTypes();
    }

    /** Requests the machine types, immediately and then periodically. */
    void start() {
        context.cloud().listMachineTypes(listed -> {
            if (listed.isEmpty()) {
                eventLoop.after(MACHINE_TYPE_RETRY_MS, this::start);
                return;
            }
            machineTypes.putAll(listed.get());
            leadershipChanged();
            eventLoop.after(ReconcileConstants.MACHINE_TYPE_REFRESH_INTERVAL_MS, this::start);
        });
    }

    /** The current term; null while this controller does not lead. */
    LeaderTerm currentTerm() {
        return term;
    }

    /** The machine types by name; null until the cloud has listed them. */
    Map<String, MachineType> machineTypes() {
        return machineTypes.isEmpty() ? null : machineTypes;
    }

    /** Called when the replica has applied changes of {@code keys}. */
    void recordsChanged(List<String> keys) {
        leadershipChanged();
        if (term != null) {
            term.recordsChanged(keys);
        } else {
            dependencies.takeChangedJobs(); // discarded: a new term loads all jobs
        }
    }

    /**
     * Ends the current term if its fencing token has changed, starts a term if this controller has become leader, and
     * campaigns for leadership if no controller can lead.
     */
    void leadershipChanged() {
        if (!replica.isLoaded()) {
            return;
        }
        long token = membership.fencingToken();
        if (term != null && term.token() != token) {
            endTerm();
        }
        if (term == null && token != 0 && !machineTypes.isEmpty() && membership.hasValidSession()) {
            if (token >>> TOKEN_BITS != 0) {
                LOG.error("term.rejected cause=token_too_large token={}", Long.toUnsignedString(token));
                return;
            }
            startTerm(token);
        }
        membership.campaignIfVacant();
    }

    private void startTerm(long token) {
        context.store().setLeader(true);
        term = new LeaderTerm(token, context);
        term.start();
    }

    private void endTerm() {
        term.end();
        term = null;
        context.store().setLeader(false);
    }

    /** Whether this controller leads and may act as leader now. */
    boolean holdsLeaderLease() {
        return term != null && term.holdsLeaderLease();
    }

    /**
     * Handles a heartbeat that this controller received and returns the response.
     *
     * @param controller the controller that received the heartbeat from the agent
     * @return the response; null if this controller may not act as leader
     */
    ServerResponse respondAsLeader(byte[] heartbeat, String controller) {
        return holdsLeaderLease() ? respond(heartbeat, controller) : null;
    }

    /**
     * Handles a heartbeat in the current term and returns the response. The caller ensures that there is a current term
     * and that the response is sent only while the leader lease is valid.
     *
     * @param controller the controller that received the heartbeat from the agent
     */
    ServerResponse respond(byte[] heartbeat, String controller) {
        Heartbeat decoded = AgentCodec.decodeHeartbeat(heartbeat);
        return decoded == null
                ? ServerResponse.error(400, "not a report")
                : term.heartbeatReceived(decoded, controller);
    }

    @Override
    public boolean isCancelled(String jobId) {
        return dependencies.isCancelled(jobId)
                || (term != null && term.jobTermination().isCancellationRequested(jobId))
                || isRecordedAsCancelled(jobId);
    }

    private boolean isRecordedAsCancelled(String jobId) {
        StoreReplica.Entry entry = replica.get(StoreKeys.job(jobId));
        return entry != null
                && JobRecordCodec.isTerminal(entry.data())
                && JobRecordCodec.status(entry.data()) == TerminalStatus.CANCELLED;
    }

    @Override
    public boolean allPeersRequestedGrants() {
        return term != null && term.scheduler().leases().allPeersRequestedGrants();
    }

    @Override
    public long newestCommandToken() {
        return term == null ? 0 : term.scheduler().commandTokens().announced();
    }

    @Override
    public void leasesRenewedWithoutLeaderLease(long now) {
        if (term != null) {
            term.scheduler().leases().renewedWithoutLeaderLease(now);
        }
    }
}
