package org.hollypick.relay;

import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hollypick.agent.AgentCodec;
import org.hollypick.cluster.Leader;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.PartitionedLeaseRenewal;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.config.constants.RelayConstants;
import org.hollypick.core.ClockBounds;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.io.ServerResponse;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Relays agents' heartbeats to the leader in batches, and the leader's responses back to the agents. The relay adds no
 * decision of its own to a response that it passes on: for an agent it is only a longer path to the leader
 * (docs/safety.md, "Relayed heartbeats"). While there is no leader, heartbeats are queued for a short time, so that
 * agents needn't search for the next leader. Confined to the event loop.
 */
public final class HeartbeatRelay {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatRelay.class);
    private static final int HTTP_NOT_FOUND = 404;

    private final EventLoop eventLoop;
    private final Settings settings;
    private final Membership membership;
    private final PartitionedLeaseRenewal leaseRenewal;
    private final LeaderComplaint leaderComplaint;
    private final Function<byte[], ServerResponse> leaderHandler;
    private final HeartbeatQueue queue = new HeartbeatQueue();
    private int batchesInFlight;
    private boolean flushScheduled;
    private long sendNotBeforeMillis;
    private int consecutiveFailures;
    /** Member revisions of leaders whose responses must no longer be relayed. */
    private final LongOpenHashSet discardedMemberRevisions = new LongOpenHashSet();
    /** The fencing token of a leader whose older version doesn't support batches; 0 if there was none. */
    private long batchUnsupportedToken;

    /**
     * Creates a relay with an empty queue.
     *
     * @param leaderHandler handles a heartbeat on this controller while it is the leader; returns null while it is not
     */
    public HeartbeatRelay(
            EventLoop eventLoop,
            Settings settings,
            Membership membership,
            KeyValueStoreClient store,
            PartitionedLeaseRenewal leaseRenewal,
            Function<byte[], ServerResponse> leaderHandler) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.membership = membership;
        this.leaseRenewal = leaseRenewal;
        this.leaderHandler = leaderHandler;
        this.leaderComplaint = new LeaderComplaint(eventLoop, settings, membership, store);
    }

    /** Handles an agent's heartbeat, here or by relaying it; the response is given before the agent's timeout. */
    public void heartbeatReceived(byte[] heartbeat, Consumer<ServerResponse> responder) {
        ServerResponse local = respondLocally(heartbeat);
        if (local != null) {
            responder.accept(local);
        } else if (heartbeat.length > RelayConstants.MAX_RELAY_BATCH_BYTES || leaderLacksBatchSupport()) {
            responder.accept(redirectToLeader());
        } else if (queue.lacksCapacityFor(heartbeat)) {
            responder.accept(ServerResponse.retryLater("too many reports wait"));
        } else {
            long expiresAtMillis = eventLoop.now() + RelayConstants.RELAY_QUEUE_TIMEOUT_MS;
            queue.add(new QueuedHeartbeat(heartbeat, expiresAtMillis, responder));
            scheduleFlush(RelayConstants.RELAY_BATCH_DELAY_MS);
        }
    }

    private boolean leaderLacksBatchSupport() {
        return batchUnsupportedToken != 0 && batchUnsupportedToken == currentLeaderToken();
    }

    /**
     * Responds as the leader, or while this controller renews leases in a partition; returns null if neither applies.
     */
    private ServerResponse respondLocally(byte[] heartbeat) {
        ServerResponse asLeader = leaderHandler.apply(heartbeat);
        if (asLeader != null || membership.peerKnowsNewerLeader() || !leaseRenewal.isActive()) {
            return asLeader;
        }
        Heartbeat decoded = AgentCodec.decodeHeartbeat(heartbeat);
        return decoded == null ? ServerResponse.error(400, "not a report") : leaseRenewal.respond(decoded);
    }

    private void scheduleFlush(long delayMillis) {
        if (!flushScheduled) {
            flushScheduled = true;
            eventLoop.after(delayMillis, () -> {
                flushScheduled = false;
                flush();
            });
        }
    }

    private void flush() {
        long nowMillis = eventLoop.now();
        respondLocallyOrExpire(nowMillis);
        Leader leader = membership.currentLeader();
        String leaderAddress = leader == null ? null : settings.meshAddr(leader.controller());
        while (leaderAddress != null
                && nowMillis >= sendNotBeforeMillis
                && batchesInFlight < RelayConstants.MAX_RELAY_BATCHES_IN_FLIGHT
                && !queue.isEmpty()) {
            sendBatch(leaderAddress, leader, nowMillis);
        }
        if (!queue.isEmpty()) {
            scheduleFlush(RelayConstants.RELAY_RETRY_MS);
        }
    }

    /**
     * Responds to heartbeats that this controller can handle itself or that have expired; the rest stays queued, in
     * order.
     */
    private void respondLocallyOrExpire(long nowMillis) {
        int queued = queue.size();
        for (int i = 0; i < queued; i++) {
            QueuedHeartbeat next = queue.poll();
            ServerResponse local = respondLocally(next.heartbeat());
            if (local != null) {
                next.responder().accept(local);
            } else if (nowMillis >= next.expiresAtMillis()) {
                next.responder().accept(ServerResponse.retryLater("no leader"));
            } else {
                queue.add(next);
            }
        }
    }

    private long currentLeaderToken() {
        Leader leader = membership.currentLeader();
        return leader == null ? 0 : leader.token();
    }

    private void sendBatch(String leaderAddress, Leader leader, long nowMillis) {
        List<QueuedHeartbeat> batch = queue.takeBatch();
        List<byte[]> heartbeats = batch.stream().map(QueuedHeartbeat::heartbeat).toList();
        batchesInFlight++;
        eventLoop.send(
                new Request(
                        leaderAddress,
                        "POST",
                        HeartbeatRelayCodec.BATCH_PATH,
                        HeartbeatRelayCodec.encodeBatch(settings.node(), leader.token(), heartbeats),
                        RelayConstants.RELAY_TIMEOUT_MS,
                        true),
                response -> {
                    batchesInFlight--;
                    batchCompleted(batch, leader, nowMillis, response);
                    if (!queue.isEmpty()) {
                        scheduleFlush(0);
                    }
                });
    }

    private void batchCompleted(List<QueuedHeartbeat> batch, Leader leader, long sentAtMillis, Response response) {
        List<ServerResponse> responses =
                response.ok() ? HeartbeatRelayCodec.decodeResponses(response.body()) : List.of();
        if (response.ok() && responses.size() == batch.size()) {
            consecutiveFailures = 0;
            leaderComplaint.batchDelivered();
            // Counted from when the batch was sent. The leader counts from when it handles the batch, which is later,
            // so the responses expire here first.
            long validUntilMillis =
                    sentAtMillis + ClockBounds.atLeast(HeartbeatRelayCodec.decodeValidityMs(response.body()));
            relayResponses(batch, responses, leader, validUntilMillis);
        } else if (response.status() == HTTP_NOT_FOUND) {
            LOG.info("heartbeat_relay.unsupported_by_leader token={}", leader.token());
            batchUnsupportedToken = leader.token();
            batch.forEach(queued -> queued.responder().accept(redirectToLeader()));
        } else {
            // Each heartbeat is sent again until it expires: the leader recognizes duplicates. The pauses grow, since
            // the leader may be overloaded.
            batch.forEach(queue::add);
            leaderComplaint.batchFailed(leader.token(), machineIds(batch));
            int doublings = Math.min(consecutiveFailures++, RelayConstants.MAX_RELAY_BACKOFF_DOUBLINGS);
            sendNotBeforeMillis = eventLoop.now() + (RelayConstants.RELAY_RETRY_MS << doublings);
        }
    }

    private void relayResponses(
            List<QueuedHeartbeat> batch, List<ServerResponse> responses, Leader leader, long validUntilMillis) {
        for (int i = 0; i < responses.size(); i++) {
            ServerResponse response = responses
                    .get(i)
                    .onlyWhile(() -> eventLoop.now() < validUntilMillis
                            && currentLeaderToken() == leader.token()
                            && !discardedMemberRevisions.contains(leader.memberRevision()));
            batch.get(i).responder().accept(response);
        }
    }

    private static Set<String> machineIds(List<QueuedHeartbeat> batch) {
        Set<String> machines = new LinkedHashSet<>();
        for (QueuedHeartbeat queued : batch) {
            if (machines.size() >= ReachabilityConstants.MAX_LEADER_COMPLAINT_MACHINES) {
                break;
            }
            Heartbeat decoded = AgentCodec.decodeHeartbeat(queued.heartbeat());
            if (decoded != null) {
                machines.add(decoded.machine());
            }
        }
        return machines;
    }

    /**
     * Discards all responses of the leader with this member revision, including those not received yet: the leader's
     * process has ended, or the leader has resigned.
     */
    public void discardResponsesOf(long memberRevision) {
        discardedMemberRevisions.add(memberRevision);
    }

    private ServerResponse redirectToLeader() {
        Leader currentLeader = membership.currentLeader();
        String leader = currentLeader == null ? membership.namedLeader() : currentLeader.controller();
        return leader == null || leader.equals(settings.node())
                ? ServerResponse.retryLater("not entitled to act")
                : HeartbeatRelayCodec.redirect(leader);
    }
}
