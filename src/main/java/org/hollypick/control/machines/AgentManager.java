package org.hollypick.control.machines;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.hollypick.agent.AgentClient;
import org.hollypick.agent.AgentCodec;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.core.AssignmentTable;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
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

    private final EventLoop runtime;

    private final Scheduler scheduler;
    private final AgentClient client;
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

    public AgentManager(
            EventLoop runtime,
            Settings settings,
            Scheduler scheduler,
            AgentClient client,
            Map<String, MachineType> types,
            BooleanSupplier acting,
            LocalHealth own,
            Runnable pump) {
        this.runtime = runtime;

        this.scheduler = scheduler;
        this.client = client;
        this.types = types;
        this.acting = acting;
        this.pump = pump;
        this.own = own;
        this.failureDetector = new FailureDetector(runtime, settings, scheduler, own, this::probe);
    }

    /** A worker's report, which came through that controller, while this node may act. */
    public ServerResponse hello(Heartbeat r, String via) {
        long now = runtime.now();
        if (Long.compareUnsigned(r.token(), scheduler.token) > 0 || scheduler.gone.contains(r.machine())) {
            return ServerResponse.later("not for this node");
        }
        Machine m = scheduler.machines.get(r.machine());
        if (m == null) {
            MachineType type = types.get(r.type());
            if (type == null) {
                return ServerResponse.later("machine type not known yet");
            }
            LOG.info("machine machine={} type={} zone={} spot={}", r.machine(), r.type(), r.zone(), r.spot());
            m = scheduler.addMachine(r.machine(), type, r.zone(), r.spot(), false, now);
        }
        if (AssignmentTable.outdated(m, r)) {
            return ServerResponse.later("a report of an earlier session");
        }
        HeartbeatValidity.Freshness freshness = m.validity.freshness(r, now);
        if (freshness == HeartbeatValidity.Freshness.COPY) {
            return ServerResponse.later("an older report");
        }
        boolean was = m.up;
        long before = m.session;
        boolean accepted = accept(m, r, true, now);
        if (!accepted && (!m.up || r.session() != m.session)) {
            return ServerResponse.later("a report of an earlier session");
        }
        if (!was) {
            LOG.info(
                    "machine up machine={} session={} tasks={}",
                    m.id,
                    r.session(),
                    r.tasks().size());
            if (!m.proved) {
                probe(m);
            }
        }
        scheduler.reportBalancer.reported(m.id, via, now);
        if (scheduler.freed.remove(m)) {
            scheduler.fill(m, now);
        }
        List<Command> orders = limited(scheduler.ledger.orders(m));
        if (freshness == HeartbeatValidity.Freshness.NEW
                && !acknowledges(m, r, was && r.session() != before, orders, now)) {
            return ServerResponse.later("answers don't reach the machine");
        }
        String elsewhere = orders.isEmpty() && m.heard ? scheduler.reportBalancer.elsewhere(via, now) : null;
        if (elsewhere != null) {
            return HeartbeatRelayCodec.elsewhere(elsewhere);
        }
        m.answeredAt = m.validity.takenAt();
        m.validity.told(orders);
        scheduler.ledger.sentInAnswer(m, orders);
        if (m.heard) {
            scheduler.ordersDirty.remove(m);
            scheduler.ordersUrgent.remove(m);
        }
        pump.run();
        return ServerResponse.of(200, AgentCodec.orders(scheduler.token, orders))
                .only(acting);
    }

    /**
     * Draws what a new report shows of the answers before; false if the next one would only lengthen a lease that the
     * machine itself lets run out.
     */
    private boolean acknowledges(Machine m, Heartbeat r, boolean newSession, List<Command> orders, long now) {
        boolean unreachableInbound = m.validity.unreachableInbound();
        boolean knows = r.token() == scheduler.token;
        if (newSession && m.answeredAt > 0 && scheduler.leases.fresh(m.answeredAt, now)) {
            m.validity.lapsed(now);
        }
        m.validity.reported(r, knows, orders, now);
        if (m.validity.unreachableInbound() && !newSession && scheduler.leases.over(m.sessionSince, now)) {
            m.validity.acknowledged(); // without an answer taken its session would be over
        }
        if (!knows) {
            m.answeredAt = 0; // it has taken no answer of this term
        }
        if (m.validity.unreachableInbound() != unreachableInbound) {
            LOG.info(
                    "{} machine={} session={} token={}",
                    unreachableInbound ? "answers reach the machine again" : "answers don't reach the machine",
                    m.id,
                    r.session(),
                    r.token());
            scheduler.passWanted = true;
        }
        return !m.validity.unreachableInbound() || (m.heard && m.idle());
    }

    private boolean accept(Machine m, Heartbeat r, boolean hello, long now) {
        m.lastReportAt = now;
        m.unanswered = 0;
        return scheduler.ledger.report(m, r, hello, now);
    }

    /** An answer holds 64 KiB at most; what is left out follows with the next. */
    private static List<Command> limited(List<Command> orders) {
        return orders.size() <= FailureDetectionConstants.MAX_COMMANDS_PER_MESSAGE
                ? orders
                : orders.subList(0, FailureDetectionConstants.MAX_COMMANDS_PER_MESSAGE);
    }

    /** Sends the orders that wait, those for services first, as many at once as the sockets allow. */
    public void send() {
        send(scheduler.ordersUrgent);
        send(scheduler.ordersDirty);
    }

    private void send(Set<Machine> dirty) {
        Iterator<Machine> i = dirty.iterator();
        List<Machine> now = new ArrayList<>();
        while (i.hasNext() && open + now.size() < probeWindow.window()) {
            now.add(i.next());
            i.remove();
        }
        now.forEach(m -> direct(m, false));
    }

    /** Sends what the machine should do at once; {@code probe}: even if that is nothing, to hear from it. */
    private void direct(Machine m, boolean probe) {
        if (!acting.getAsBoolean()
                || m.directBusy
                || m.addr.isEmpty()
                || m.directAfter > runtime.now()
                || m.returning) {
            return;
        }
        List<Command> orders = m.up && !m.lapsed() ? limited(scheduler.ledger.orders(m)) : List.of();
        // What may be cleared can wait for the machine's next report.
        if (m.heard && !probe && orders.stream().allMatch(o -> o.verb() == Command.Verb.FORGET)) {
            return;
        }
        boolean doubtful = m.unanswered > 0 || m.validity.doubted();
        if (doubtful && openDoubtful >= FailureDetectionConstants.MAX_DIRECT_CALLS_UNRESPONSIVE) {
            return; // a zone that is cut off may not take every call from those that answer
        }
        boolean known = m.up;
        long session = known ? m.session : 1;
        long tick = m.tick;
        scheduler.ledger.sentDirect(m, orders);
        open++;
        long asked = runtime.now();
        openDoubtful += doubtful ? 1 : 0;
        client.command(m.addr, scheduler.token, session, orders, acting, r -> {
            open--;
            openDoubtful -= doubtful ? 1 : 0;
            long now = runtime.now();
            if (r.status() == Response.LACK) {
                own.lacked(now);
                probeWindow.lacked(now);
            } else if (r.status() > 0 && !doubtful) {
                own.answered(now - asked, now);
                probeWindow.answered(now - asked, now);
            }
            answered(m, orders, session, known ? tick : -1, r);
            contactUnheard();
            if (!scheduler.ordersUrgent.isEmpty() || !scheduler.ordersDirty.isEmpty() || !scheduler.freed.isEmpty()) {
                pump.run();
            }
        });
    }

    /** {@code tick}: the newest count of the machine that was known when it was asked; -1 for none. */
    private void answered(Machine m, List<Command> orders, long session, long tick, Response r) {
        boolean settled = r.status() == 200 || r.status() == 409 || r.status() == 400 || r.neverSent();
        scheduler.ledger.directEnded(m, orders, session, settled);
        if (r.status() != 200 && r.status() != 409) {
            if (r.status() != Response.LACK) {
                m.unanswered++;
                if (own.sound(runtime.now())) {
                    m.validity.unanswered(); // while this node is overloaded it proves nothing
                }
            }
            m.directAfter = runtime.now() + FailureDetectionConstants.DIRECT_RETRY_MS;
            LOG.debug("order unanswered machine={} status={}", m.id, r.status());
            return;
        }
        Heartbeat report = AgentCodec.report(r.body());
        if (report != null
                && scheduler.machines.get(m.id) == m
                && Long.compareUnsigned(report.token(), scheduler.token) <= 0) {
            boolean again = !m.heard;
            m.validity.acknowledged();
            scheduler.ledger.proved(m);
            accept(m, report, false, runtime.now());
            if (tick >= 0 && !report.newerThan(session, tick) && !m.lapsed()) {
                LOG.info(
                        "worker has begun again machine={} session={} tick={} known={}/{}",
                        m.id,
                        report.session(),
                        report.tick(),
                        session,
                        tick);
                scheduler.ledger.begunAgain(m, report, runtime.now());
            }
            if (again && !m.heard) {
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
        if (scheduler.settled()) {
            return;
        }
        long now = runtime.now();
        for (Machine m : scheduler.machines.values()) {
            if (!m.heard && !(m.up && now - m.answeredAt < FailureDetectionConstants.NEXT_HEARTBEAT_MS)) {
                probe(m);
            }
        }
    }

    /** What the machines' silence means. */
    public FailureDetector failureDetector() {
        return failureDetector;
    }
}
