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
 * Relays agents' heartbeats to the leader, many in one call, and the leader's responses back to the agents. It decides
 * nothing: to an agent it is a longer path to the leader (docs/safety.md, "Relayed heartbeats"). While there is no
 * leader it queues heartbeats for a moment, so that agents needn't look for one. Confined to the event loop.
 */
public final class HeartbeatRelay {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatRelay.class);

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
    /** Revisions of member keys whose leader wants none of its responses relayed any more. */
    private final LongOpenHashSet discardedMemberRevisions = new LongOpenHashSet();
    /** The token of a leader of an older version, which takes no batches; 0 if none was met. */
    private long batchUnsupportedToken;

    /**
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

    /** Takes an agent's heartbeat; the response follows within the time for which the agent waits. */
    public void heartbeatReceived(byte[] heartbeat, Consumer<ServerResponse> responder) {
        ServerResponse local = respondLocally(heartbeat);
        if (local != null) {
            responder.accept(local);
        } else if (heartbeat.length > RelayConstants.RELAY_BATCH_BYTES || leaderLacksBatchSupport()) {
            responder.accept(redirectToLeader());
        } else if (queue.lacksCapacityFor(heartbeat)) {
            responder.accept(ServerResponse.retryLater("too many reports wait"));
        } else {
            long expiresAtMillis = eventLoop.now() + RelayConstants.RELAY_QUEUE_TIMEOUT_MS;
            queue.add(new QueuedHeartbeat(heartbeat, expiresAtMillis, responder));
            scheduleFlush(RelayConstants.RELAY_BATCH_MS);
        }
    }

    private boolean leaderLacksBatchSupport() {
        return batchUnsupportedToken != 0 && batchUnsupportedToken == currentLeaderToken();
    }

    /** The response of this controller itself, as leader or while it renews leases in a partition; null if neither. */
    private ServerResponse respondLocally(byte[] heartbeat) {
        ServerResponse asLeader = leaderHandler.apply(heartbeat);
        if (asLeader != null || membership.peerKnowsNewerLeader() || !leaseRenewal.isActive()) {
            return asLeader;
        }
        Heartbeat decoded = AgentCodec.decodeHeartbeat(heartbeat);
        return decoded == null ? ServerResponse.error(400, "not a report") : leaseRenewal.respond(decoded);
    }

    private void scheduleFlush(long delayMs) {
        if (!flushScheduled) {
            flushScheduled = true;
            eventLoop.after(delayMs, () -> {
                flushScheduled = false;
                flush();
            });
        }
    }

    private void flush() {
        long now = eventLoop.now();
        respondLocallyOrExpire(now);
        Leader leader = membership.currentLeader();
        String leaderAddress = leader == null ? null : settings.meshAddr(leader.controller());
        while (leaderAddress != null
                && now >= sendNotBeforeMillis
                && batchesInFlight < RelayConstants.RELAY_BATCHES_IN_FLIGHT
                && !queue.isEmpty()) {
            sendBatch(leaderAddress, leader, now);
        }
        if (!queue.isEmpty()) {
            scheduleFlush(RelayConstants.RELAY_RETRY_MS);
        }
    }

    /** Answers what can be answered here, or has waited too long; the rest stays queued, in order. */
    private void respondLocallyOrExpire(long now) {
        int queued = queue.size();
        for (int i = 0; i < queued; i++) {
            QueuedHeartbeat next = queue.poll();
            ServerResponse local = respondLocally(next.heartbeat());
            if (local != null) {
                next.responder().accept(local);
            } else if (now >= next.expiresAtMillis()) {
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

    private void sendBatch(String leaderAddress, Leader leader, long now) {
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
                    batchCompleted(batch, leader, now, response);
                    if (!queue.isEmpty()) {
                        scheduleFlush(0);
                    }
                });
    }

    private void batchCompleted(List<QueuedHeartbeat> batch, Leader leader, long sentAt, Response response) {
        List<ServerResponse> responses =
                response.ok() ? HeartbeatRelayCodec.decodeResponses(response.body()) : List.of();
        if (response.ok() && responses.size() == batch.size()) {
            consecutiveFailures = 0;
            leaderComplaint.batchDelivered();
            // Counted from the sending of the batch; the leader counts from later on.
            long validUntil = sentAt + ClockBounds.atLeast(HeartbeatRelayCodec.decodeValidityMs(response.body()));
            relayResponses(batch, responses, leader, validUntil);
        } else if (response.status() == 404) {
            LOG.info("heartbeat_relay.unsupported_by_leader token={}", leader.token());
            batchUnsupportedToken = leader.token();
            batch.forEach(queued -> queued.responder().accept(redirectToLeader()));
        } else {
            // Sent again until each one's time is over: the leader knows a copy for what it is. With growing pauses,
            // since the leader may be overloaded.
            batch.forEach(queue::add);
            leaderComplaint.batchFailed(leader.token(), machineIds(batch));
            int doublings = Math.min(consecutiveFailures++, RelayConstants.RELAY_BACKOFF_DOUBLINGS);
            sendNotBeforeMillis = eventLoop.now() + (RelayConstants.RELAY_RETRY_MS << doublings);
        }
    }

    private void relayResponses(
            List<QueuedHeartbeat> batch, List<ServerResponse> responses, Leader leader, long validUntil) {
        for (int i = 0; i < responses.size(); i++) {
            ServerResponse response = responses
                    .get(i)
                    .onlyWhile(() -> eventLoop.now() < validUntil
                            && currentLeaderToken() == leader.token()
                            && !discardedMemberRevisions.contains(leader.memberRevision()));
            batch.get(i).responder().accept(response);
        }
    }

    private static Set<String> machineIds(List<QueuedHeartbeat> batch) {
        Set<String> machines = new LinkedHashSet<>();
        for (QueuedHeartbeat queued : batch) {
            if (machines.size() >= ReachabilityConstants.LEADER_COMPLAINT_MACHINES) {
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
     * Drops every response of the leader with that member revision, those still to come included: its process ended, or
     * it resigned.
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
