package org.hollypick.relay;

import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
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
 * Hands machines' reports on to the leader, many in one call, and its answers back to the machines. It decides nothing:
 * to a machine it is a longer path to the leader (docs/safety.md, "Relayed reports"). While there is no leader it holds
 * reports for a moment, so that machines needn't look for one.
 */
public final class HeartbeatRelay {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatRelay.class);

    private final EventLoop eventLoop;
    private final Settings settings;
    private final Membership membership;
    private final PartitionedLeaseRenewal leaseRenewal;
    private final LeaderComplaint leaderComplaint;
    private final Function<byte[], ServerResponse> own;
    private final ArrayDeque<Held> held = new ArrayDeque<>();
    private int heldBytes;
    private int open;
    private boolean due;
    private long notBefore;
    private int failures;
    /** Member keys whose leader wants nothing of it passed on any more. */
    private final LongOpenHashSet released = new LongOpenHashSet();
    /** Under this token the leader is of a version that takes no bundles. */
    private long refusedToken;

    private record Held(byte[] report, long until, Consumer<ServerResponse> answer) {}

    /** {@code own}: the answer of this node itself while it is the leader, else null. */
    public HeartbeatRelay(
            EventLoop eventLoop,
            Settings settings,
            Membership membership,
            KeyValueStoreClient store,
            PartitionedLeaseRenewal leaseRenewal,
            Function<byte[], ServerResponse> own) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.membership = membership;
        this.leaseRenewal = leaseRenewal;
        this.own = own;
        this.leaderComplaint = new LeaderComplaint(eventLoop, settings, membership, store);
    }

    /** A machine's report; the answer follows within the time that the machine waits. */
    public void hello(byte[] report, Consumer<ServerResponse> answer) {
        ServerResponse now = here(report);
        if (now != null) {
            answer.accept(now);
        } else if (report.length > RelayConstants.RELAY_BATCH_BYTES || (refusedToken != 0 && refusedToken == token())) {
            answer.accept(toLeader());
        } else if (held.size() >= RelayConstants.RELAY_QUEUE_HEARTBEATS
                || heldBytes + report.length > RelayConstants.RELAY_QUEUE_BYTES) {
            answer.accept(ServerResponse.retryLater("too many reports wait"));
        } else {
            hold(new Held(report, eventLoop.now() + RelayConstants.RELAY_QUEUE_TIMEOUT_MS, answer));
            flushSoon(RelayConstants.RELAY_BATCH_MS);
        }
    }

    /** The answer that this node can give by itself, as leader or since it keeps leases; null if there is none. */
    private ServerResponse here(byte[] report) {
        ServerResponse now = own.apply(report);
        if (now == null && !membership.peerKnowsNewerLeader() && leaseRenewal.isActive()) {
            Heartbeat read = AgentCodec.decodeHeartbeat(report);
            now = read == null ? ServerResponse.error(400, "not a report") : leaseRenewal.respond(read);
        }
        return now;
    }

    private void hold(Held h) {
        held.add(h);
        heldBytes += h.report.length;
    }

    private Held next() {
        Held h = held.poll();
        heldBytes -= h.report.length;
        return h;
    }

    private void flushSoon(long ms) {
        if (!due) {
            due = true;
            eventLoop.after(ms, () -> {
                due = false;
                flush();
            });
        }
    }

    private void flush() {
        long now = eventLoop.now();
        int count = held.size();
        for (int i = 0; i < count; i++) {
            Held h = next();
            ServerResponse response = here(h.report);
            if (response != null) {
                h.answer.accept(response);
            } else if (now >= h.until) {
                h.answer.accept(ServerResponse.retryLater("no leader"));
            } else {
                hold(h);
            }
        }
        Leader leads = membership.currentLeader();
        String currentLeader = leads == null ? null : settings.meshAddr(leads.controller());
        while (currentLeader != null
                && now >= notBefore
                && open < RelayConstants.RELAY_BATCHES_IN_FLIGHT
                && !held.isEmpty()) {
            send(currentLeader, leads, now);
        }
        if (!held.isEmpty()) {
            flushSoon(RelayConstants.RELAY_RETRY_MS);
        }
    }

    private long token() {
        Leader currentLeader = membership.currentLeader();
        return currentLeader == null ? 0 : currentLeader.token();
    }

    private void send(String currentLeader, Leader leads, long now) {
        long token = leads.token();
        List<Held> bundle = new ArrayList<>();
        List<byte[]> reports = new ArrayList<>();
        int bytes = 0;
        while (!held.isEmpty()
                && bundle.size() < RelayConstants.RELAY_BATCH_HEARTBEATS
                && bytes + held.peek().report.length <= RelayConstants.RELAY_BATCH_BYTES) {
            Held h = next();
            bundle.add(h);
            reports.add(h.report);
            bytes += h.report.length;
        }
        open++;
        eventLoop.send(
                new Request(
                        currentLeader,
                        "POST",
                        HeartbeatRelayCodec.PATH,
                        HeartbeatRelayCodec.bundle(settings.node(), token, reports),
                        RelayConstants.RELAY_TIMEOUT_MS,
                        true),
                r -> {
                    open--;
                    answered(bundle, leads, now, r);
                    if (!held.isEmpty()) {
                        flushSoon(0);
                    }
                });
    }

    private void answered(List<Held> bundle, Leader by, long sent, Response r) {
        long token = by.token();
        List<ServerResponse> answers = r.ok() ? HeartbeatRelayCodec.answers(r.body()) : List.of();
        if (r.ok() && answers.size() == bundle.size()) {
            failures = 0;
            leaderComplaint.handedOn();
            // the leader counted it from later on
            long until = sent + ClockBounds.atLeast(HeartbeatRelayCodec.rightMs(r.body()));
            for (int i = 0; i < answers.size(); i++) {
                bundle.get(i)
                        .answer
                        .accept(answers.get(i)
                                .onlyWhile(() -> eventLoop.now() < until
                                        && token() == token
                                        && !released.contains(by.memberRevision())));
            }
        } else if (r.status() == 404) {
            LOG.info("the leader takes no bundles of reports token={}", token);
            refusedToken = token;
            bundle.forEach(h -> h.answer.accept(toLeader()));
        } else {
            // Sent again, until its time is over: the leader takes a report that it knows for what it is. More and more
            // seldom: it may be overloaded.
            bundle.forEach(this::hold);
            leaderComplaint.failed(token, machines(bundle));
            notBefore = eventLoop.now()
                    + (RelayConstants.RELAY_RETRY_MS << Math.min(failures++, RelayConstants.RELAY_BACKOFF_DOUBLINGS));
        }
    }

    private static Set<String> machines(List<Held> bundle) {
        Set<String> names = new LinkedHashSet<>();
        for (Held h : bundle) {
            Heartbeat read = names.size() < ReachabilityConstants.LEADER_COMPLAINT_MACHINES
                    ? AgentCodec.decodeHeartbeat(h.report)
                    : null;
            if (read != null) {
                names.add(read.machine());
            }
        }
        return names;
    }

    /**
     * What a leader under that member key answered is dropped, and nothing of it passed on any more: it has ended, or
     * has given up its lead.
     */
    public void release(long memberRevision) {
        released.add(memberRevision);
    }

    private ServerResponse toLeader() {
        Leader currentLeader = membership.currentLeader();
        String leader = currentLeader == null ? membership.namedLeader() : currentLeader.controller();
        return leader == null || leader.equals(settings.node())
                ? ServerResponse.retryLater("not entitled to act")
                : HeartbeatRelayCodec.elsewhere(leader);
    }
}
