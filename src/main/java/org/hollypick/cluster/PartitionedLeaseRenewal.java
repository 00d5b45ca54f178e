package org.hollypick.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import org.hollypick.agent.AgentCodec;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.config.constants.LeaseConstants;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.core.WorkerLeases;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.TaskStatus;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.io.ServerResponse;
import org.hollypick.io.WireNames;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the workers' leases alive on a controller that is cut off, with them, from the state service and the leader. It
 * has the leader's grant for that, for a while; it orders nothing but the end of tasks whose job is cancelled
 * (docs/safety.md, "Kept leases").
 */
public final class PartitionedLeaseRenewal {
    private static final Logger LOG = LoggerFactory.getLogger(PartitionedLeaseRenewal.class);

    private final EventLoop eventLoop;
    private final Settings settings;
    private final StoreReplica replica;
    private final Membership membership;
    private final Predicate<String> cancelled;
    private final BooleanSupplier othersCount;
    private final LongConsumer keptByLeader;
    private final long windowMs;

    private long grantedToken;
    private long grantedUntil;
    /** When the leader last answered. */
    private long contactAt;
    /**
     * The number of the leader's newest answer, and under which token: another leader's numbers mean nothing to this
     * one.
     */
    private long echo;

    private long echoToken;
    /** How many answers it has given, and of how many of them the leader knows. */
    private long kept;

    private long told;
    private boolean announced;

    /**
     * {@code cancelled}: jobs whose tasks are to end; {@code othersCount}: whether every other controller, as this
     * leader's successor, would reckon with leases that it keeps; {@code keptByLeader}: hears of leases that a leader
     * renewed without being entitled.
     */
    public PartitionedLeaseRenewal(
            EventLoop eventLoop,
            Settings settings,
            StoreReplica replica,
            Membership membership,
            Predicate<String> cancelled,
            BooleanSupplier othersCount,
            LongConsumer keptByLeader) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.replica = replica;
        this.membership = membership;
        this.cancelled = cancelled;
        this.othersCount = othersCount;
        this.keptByLeader = keptByLeader;
        this.windowMs = WorkerLeases.windowMs(settings);
        this.contactAt = eventLoop.now();
    }

    public void start() {
        if (windowMs > 0) {
            ask();
        }
    }

    private void ask() {
        long token = membership.leaderRecordRevision();
        String leaderAddress = settings.meshAddr(membership.leader());
        if (leaderAddress != null && replica.loaded()) {
            long sent = eventLoop.now();
            long telling = kept;
            ObjectNode body = Codec.object()
                    .put("node", settings.node())
                    .put(WireNames.FENCING_TOKEN, token)
                    .put("epoch", replica.appliedRevision())
                    .put("echo", echoToken == token ? echo : WorkerLeases.NO_ECHO)
                    .put("kept", telling > told);
            eventLoop.send(
                    new Request(leaderAddress, "POST", "/keep", body, NetworkConstants.PEER_TIMEOUT_MS, true),
                    r -> answered(r, token, sent, telling));
        }
        eventLoop.after(LeaseConstants.RENEWAL_GRANT_INTERVAL_MS, this::ask);
    }

    private void answered(Response r, long token, long sent, long telling) {
        if (!r.ok() || Codec.u64(r.body().path(WireNames.FENCING_TOKEN)) != token) {
            return;
        }
        contactAt = eventLoop.now();
        echo = Codec.u64(r.body().path("number"));
        echoToken = token;
        told = Math.max(told, telling);
        if (r.body().path("granted").asBoolean()) {
            grantedToken = token;
            grantedUntil = sent + Membership.atLeast(windowMs);
        }
    }

    /**
     * Until when this node may keep leases under the leader record that it knows; for a leader: since it was last
     * entitled.
     */
    private long until() {
        long own = membership.token();
        if (own != 0) {
            // A leader of a version that doesn't know of kept leases may follow: it would take them for ended ones.
            return othersCount.getAsBoolean()
                    ? membership.leaderLeaseUntil(own) + Membership.atLeast(windowMs)
                    : WorkerLeases.NEVER;
        }
        return grantedToken == membership.leaderRecordRevision() ? grantedUntil : WorkerLeases.NEVER;
    }

    private boolean mayKeep() {
        return eventLoop.now() < until();
    }

    /**
     * Whether reports are to be answered here: the leader and the state service are both out of reach, and the right is
     * there.
     */
    public boolean keeping() {
        boolean lost = membership.token() != 0 || eventLoop.now() - contactAt > LeaseConstants.LEADER_LOST_MS;
        boolean keeping = windowMs > 0 && lost && !membership.reachesState() && mayKeep();
        if (keeping != announced) {
            announced = keeping;
            LOG.info(
                    "{} leases token={}", keeping ? "keeping" : "no longer keeping", membership.leaderRecordRevision());
        }
        return keeping;
    }

    /**
     * The answer to a worker that has nobody else; null if it has seen a newer token, since it would have to drop the
     * answer.
     */
    public ServerResponse answer(Heartbeat heartbeat) {
        long token = membership.leaderRecordRevision();
        if (Long.compareUnsigned(heartbeat.token(), token) > 0) {
            return null;
        }
        kept++;
        if (membership.token() != 0) {
            keptByLeader.accept(eventLoop.now());
        }
        List<Command> commands = new ArrayList<>();
        for (TaskStatus status : heartbeat.tasks()) {
            int slash = status.task().lastIndexOf('/');
            if (status.state() != Assignment.State.EXITED
                    && slash > 0
                    && cancelled.test(status.task().substring(0, slash))
                    && commands.size() < FailureDetectionConstants.MAX_COMMANDS_PER_MESSAGE) {
                commands.add(new Command(Command.Verb.KILL, status.task(), status.attempt(), 0));
            }
        }
        return ServerResponse.of(200, AgentCodec.orders(token, commands)).onlyWhile(this::mayKeep);
    }

    /** The leader's answer to another controller that asks. */
    public static ServerResponse told(long token, long number, boolean granted) {
        JsonNode body = Codec.object()
                .put(WireNames.FENCING_TOKEN, token)
                .put("number", number)
                .put("granted", granted);
        return ServerResponse.of(200, body);
    }
}
