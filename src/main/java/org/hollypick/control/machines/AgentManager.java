package org.hollypick.control.machines;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.hollypick.agent.AgentClient;
import org.hollypick.agent.AgentCodec;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.SchedulerOutbox;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.health.AdaptiveWindow;
import org.hollypick.core.health.HeartbeatValidity;
import org.hollypick.core.health.LocalHealth;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Response;
import org.hollypick.io.ServerResponse;
import org.hollypick.relay.HeartbeatRelayCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Dealings with the workers in one term: their reports, the orders in answers and sent directly, and who has fallen
 * silent.
 */
public final class AgentManager {
    private static final Logger LOG = LoggerFactory.getLogger(AgentManager.class);

    private final EventLoop eventLoop;

    private final Scheduler scheduler;
    private final AgentClient agentClient;
    private final Map<String, MachineType> types;
    private final BooleanSupplier acting;
    private final Runnable pump;
    private final LocalHealth own;
    private final AdaptiveWindow probeWindow = new AdaptiveWindow();
    private final FailureDetector failureDetector;
    /** Direct calls under way. */
    private int open;
    /** Direct calls under way to machines that left one unanswered. */
    private int openDoubtful;

    /** {@code acting} tells whether this controller holds the leader lease; {@code pump} requests a reconcile step. */
    public AgentManager(
            EventLoop eventLoop,
            Settings settings,
            Scheduler scheduler,
            AgentClient agentClient,
            Map<String, MachineType> types,
            BooleanSupplier acting,
            LocalHealth own,
            Runnable pump) {
        this.eventLoop = eventLoop;

        this.scheduler = scheduler;
        this.agentClient = agentClient;
        this.types = types;
        this.acting = acting;
        this.pump = pump;
        this.own = own;
        this.failureDetector = new FailureDetector(eventLoop, settings, scheduler, own, this::probe);
    }

    /** A worker's report, which came through that controller, while this node may act. */
    public ServerResponse heartbeatReceived(Heartbeat r, String via) {
        long now = eventLoop.now();
        if (Long.compareUnsigned(r.token(), scheduler.token()) > 0 || scheduler.isTerminated(r.machine())) {
            return ServerResponse.retryLater("not for this node");
        }
        Machine m = scheduler.machine(r.machine());
        if (m == null) {
            MachineType type = types.get(r.type());
            if (type == null) {
                return ServerResponse.retryLater("machine type not known yet");
            }
            LOG.info("machine machine={} type={} zone={} spot={}", r.machine(), r.type(), r.zone(), r.spot());
            m = scheduler.addMachine(r.machine(), type, r.zone(), r.spot(), false, now);
        }
        if (m.isOutdated(r)) {
            return ServerResponse.retryLater("a report of an earlier session");
        }
        HeartbeatValidity.Freshness freshness = m.validity.freshness(r, now);
        if (freshness == HeartbeatValidity.Freshness.COPY) {
            return ServerResponse.retryLater("an older report");
        }
        boolean was = m.heartbeatReceived;
        long before = m.incarnation;
        boolean accepted = accept(m, r, true, now);
        if (!accepted && (!m.heartbeatReceived || r.incarnation() != m.incarnation)) {
            return ServerResponse.retryLater("a report of an earlier session");
        }
        if (!was) {
            firstHeartbeat(m, r);
        }
        scheduler.heartbeatBalancer().reported(m.id, via, now);
        if (scheduler.outbox().takeFreedRoom(m)) {
            scheduler.scheduleOn(m, now);
        }
        List<Command> orders = limited(scheduler.commands().pendingCommands(m));
        if (freshness == HeartbeatValidity.Freshness.NEW
                && !acknowledges(m, r, was && r.incarnation() != before, orders, now)) {
            return ServerResponse.retryLater("answers don't reach the machine");
        }
        String elsewhere =
                orders.isEmpty() && m.reconciled ? scheduler.heartbeatBalancer().elsewhere(via, now) : null;
        if (elsewhere != null) {
            return HeartbeatRelayCodec.elsewhere(elsewhere);
        }
        m.heartbeatAcknowledgedAt = m.validity.takenAt();
        m.validity.told(orders);
        scheduler.commands().sentInHeartbeatResponse(m, orders);
        if (m.reconciled) {
            scheduler.outbox().commandsDelivered(m);
        }
        pump.run();
        return ServerResponse.of(200, AgentCodec.orders(scheduler.token(), orders))
                .onlyWhile(acting);
    }

    private void firstHeartbeat(Machine m, Heartbeat r) {
        LOG.info(
                "machine up machine={} session={} tasks={}",
                m.id,
                r.incarnation(),
                r.tasks().size());
        if (!m.confirmedLive) {
            probe(m);
        }
    }

    /**
     * Draws what a new report shows of the answers before; false if the next one would only lengthen a lease that the
     * machine itself lets run out.
     */
    private boolean acknowledges(Machine m, Heartbeat r, boolean newSession, List<Command> orders, long now) {
        boolean unreachableInbound = m.validity.unreachableInbound();
        boolean knows = r.token() == scheduler.token();
        if (newSession && m.heartbeatAcknowledgedAt > 0 && scheduler.leases().fresh(m.heartbeatAcknowledgedAt, now)) {
            m.validity.lapsed(now);
        }
        m.validity.reported(r, knows, orders, now);
        if (m.validity.unreachableInbound() && !newSession && scheduler.leases().over(m.incarnationSeenAt, now)) {
            m.validity.acknowledged(); // without an answer taken its session would be over
        }
        if (!knows) {
            m.heartbeatAcknowledgedAt = 0; // it has taken no answer of this term
        }
        if (m.validity.unreachableInbound() != unreachableInbound) {
            LOG.info(
                    "{} machine={} session={} token={}",
                    unreachableInbound ? "answers reach the machine again" : "answers don't reach the machine",
                    m.id,
                    r.incarnation(),
                    r.token());
            scheduler.outbox().requestCycle();
        }
        return !m.validity.unreachableInbound() || (m.reconciled && m.idle());
    }

    private boolean accept(Machine m, Heartbeat r, boolean heartbeatReceived, long now) {
        m.lastHeartbeatAt = now;
        m.unacknowledgedCalls = 0;
        return scheduler.heartbeats().applyHeartbeat(m, r, heartbeatReceived, now);
    }

    /** An answer holds 64 KiB at most; what is left out follows with the next. */
    private static List<Command> limited(List<Command> orders) {
        return orders.size() <= FailureDetectionConstants.MAX_COMMANDS_PER_MESSAGE
                ? orders
                : orders.subList(0, FailureDetectionConstants.MAX_COMMANDS_PER_MESSAGE);
    }

    /** Sends the orders that wait, those for services first, as many at once as the sockets allow. */
    public void send() {
        SchedulerOutbox outbox = scheduler.outbox();
        outbox.takeMachinesWithUrgentCommands(freeCalls()).forEach(m -> direct(m, false));
        outbox.takeMachinesWithPendingCommands(freeCalls()).forEach(m -> direct(m, false));
    }

    /** Direct calls that may go out beside those in flight; not above zero if there are none. */
    private int freeCalls() {
        return probeWindow.window() - open;
    }

    /** Sends what the machine should do at once; {@code probe}: even if that is nothing, to hear from it. */
    private void direct(Machine m, boolean probe) {
        if (!acting.getAsBoolean()
                || m.directCallInFlight
                || m.address.isEmpty()
                || m.directCallNotBefore > eventLoop.now()
                || m.scalingIn) {
            return;
        }
        List<Command> orders = m.heartbeatReceived && !m.incarnationExpired()
                ? limited(scheduler.commands().pendingCommands(m))
                : List.of();
        // What may be cleared can wait for the machine's next report.
        if (m.reconciled && !probe && orders.stream().allMatch(o -> o.verb() == Command.Verb.CLEAR)) {
            return;
        }
        boolean doubtful = m.unacknowledgedCalls > 0 || m.validity.doubted();
        if (doubtful && openDoubtful >= FailureDetectionConstants.MAX_DIRECT_CALLS_UNRESPONSIVE) {
            return; // a zone that is cut off may not take every call from those that answer
        }
        boolean known = m.heartbeatReceived;
        long session = known ? m.incarnation : 1;
        long tick = m.heartbeatSequence;
        scheduler.commands().sentDirectly(m, orders);
        open++;
        long asked = eventLoop.now();
        openDoubtful += doubtful ? 1 : 0;
        agentClient.command(m.address, scheduler.token(), session, orders, acting, r -> {
            open--;
            openDoubtful -= doubtful ? 1 : 0;
            long now = eventLoop.now();
            if (r.failedWith(Response.Failure.NO_CAPACITY)) {
                own.lacked(now);
                probeWindow.lacked(now);
            } else if (r.isAnswered() && !doubtful) {
                own.answered(now - asked, now);
                probeWindow.answered(now - asked, now);
            }
            answered(m, orders, session, known ? tick : -1, r);
            contactUnheard();
            if (scheduler.outbox().hasMachinesToServe()) {
                pump.run();
            }
        });
    }

    /** {@code tick}: the newest count of the machine that was known when it was asked; -1 for none. */
    private void answered(Machine m, List<Command> orders, long session, long tick, Response r) {
        boolean settled = r.status() == 200 || r.status() == 409 || r.status() == 400 || r.wasNeverSent();
        scheduler.commands().directCallCompleted(m, orders, session, settled);
        if (r.status() != 200 && r.status() != 409) {
            if (!r.failedWith(Response.Failure.NO_CAPACITY)) {
                m.unacknowledgedCalls++;
                if (own.sound(eventLoop.now())) {
                    m.validity.unanswered(); // while this node is overloaded it proves nothing
                }
            }
            m.directCallNotBefore = eventLoop.now() + FailureDetectionConstants.DIRECT_RETRY_MS;
            LOG.debug("order unanswered machine={} status={}", m.id, r.status());
            return;
        }
        Heartbeat heartbeat = AgentCodec.report(r.body());
        if (heartbeat != null
                && scheduler.machine(m.id) == m
                && Long.compareUnsigned(heartbeat.token(), scheduler.token()) <= 0) {
            boolean again = !m.reconciled;
            m.validity.acknowledged();
            scheduler.heartbeats().confirmLive(m);
            accept(m, heartbeat, false, eventLoop.now());
            if (tick >= 0 && !heartbeat.newerThan(session, tick) && !m.incarnationExpired()) {
                LOG.info(
                        "worker has begun again machine={} session={} tick={} known={}/{}",
                        m.id,
                        heartbeat.incarnation(),
                        heartbeat.sequence(),
                        session,
                        tick);
                scheduler.heartbeats().incarnationRestarted(m, heartbeat, eventLoop.now());
            }
            if (again && !m.reconciled) {
                direct(m, true);
            }
        }
    }

    private void probe(Machine m) {
        if (open < probeWindow.window()) {
            direct(m, true);
        }
    }

    /**
     * After a takeover nothing tells more quickly what is where than asking every registered machine, some at a time;
     * but one that was just answered reports again by itself, since it saw a new token.
     */
    public void contactUnheard() {
        if (scheduler.reconciliationComplete()) {
            return;
        }
        long now = eventLoop.now();
        for (Machine m : scheduler.machines()) {
            if (!m.reconciled
                    && !(m.heartbeatReceived
                            && now - m.heartbeatAcknowledgedAt < FailureDetectionConstants.NEXT_HEARTBEAT_MS)) {
                probe(m);
            }
        }
    }

    /** What the machines' silence means. */
    public FailureDetector failureDetector() {
        return failureDetector;
    }
}
