package org.hollypick.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.hollypick.config.Constants;
import org.hollypick.config.Settings;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.ledger.Machine;
import org.hollypick.core.ledger.Order;
import org.hollypick.core.ledger.Report;
import org.hollypick.io.Answer;
import org.hollypick.io.Reply;
import org.hollypick.io.Runtime;
import org.hollypick.worker.WorkerClient;
import org.hollypick.worker.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Dealings with the workers in one term: their reports, the orders in answers and sent directly, and who has fallen silent. */
final class Workers {
    private static final Logger LOG = LoggerFactory.getLogger(Workers.class);

    private final Runtime runtime;
    private final Settings settings;
    private final Scheduler scheduler;
    private final WorkerClient client;
    private final Map<String, MachineType> types;
    private final BooleanSupplier acting;
    private final Runnable pump;
    private final long startedAt;
    private final Reach reach;
    /** Direct calls under way. */
    private int open;
    /** Since when nearly no machine has answered; 0 if some do. */
    private long cutOffSince;
    /** Until when silence counts for nothing, since most machines, or most of a zone, were silent together. */
    private long troubleUntil;
    /** Zones nearly all of whose machines leave questions open. */
    private Set<String> dark = Set.of();
    private String seen = "";
    /** Direct calls under way to machines that left one unanswered. */
    private int openDoubtful;

    Workers(Runtime runtime, Settings settings, Scheduler scheduler, WorkerClient client, Map<String, MachineType> types,
            BooleanSupplier acting, Runnable pump) {
        this.runtime = runtime;
        this.settings = settings;
        this.scheduler = scheduler;
        this.client = client;
        this.types = types;
        this.acting = acting;
        this.pump = pump;
        this.startedAt = runtime.now();
        this.reach = new Reach(runtime, settings, scheduler.machines);
    }

    /** A worker's report, while this node may act. */
    Answer hello(Report r) {
        long now = runtime.now();
        if (Long.compareUnsigned(r.baton(), scheduler.baton) > 0 || scheduler.gone.contains(r.machine())) {
            return Answer.later("not for this node");
        }
        Machine m = scheduler.machines.get(r.machine());
        if (m == null) {
            MachineType type = types.get(r.type());
            if (type == null) {
                return Answer.later("machine type not known yet");
            }
            LOG.info("machine machine={} type={} zone={} spot={}", r.machine(), r.type(), r.zone(), r.spot());
            m = scheduler.addMachine(r.machine(), type, r.zone(), r.spot(), false, now);
        }
        boolean was = m.up;
        if (!accept(m, r, true, now) && (!m.up || r.tenure() != m.tenure || Long.compareUnsigned(r.tenure(), m.minTenure) < 0)) {
            return Answer.later("a report of an earlier tenure");
        }
        if (!was) {
            LOG.info("machine up machine={} tenure={} tasks={}", m.id, r.tenure(), r.tasks().size());
        }
        m.answeredAt = now;
        if (scheduler.freed.remove(m)) {
            scheduler.fill(m, now);
        }
        List<Order> orders = limited(scheduler.ledger.orders(m));
        scheduler.ledger.sentInAnswer(m, orders);
        if (m.heard) {
            scheduler.ordersDirty.remove(m);
            scheduler.ordersUrgent.remove(m);
        }
        pump.run();
        return Answer.of(200, WorkerCodec.orders(scheduler.baton, orders)).only(acting);
    }

    private boolean accept(Machine m, Report r, boolean hello, long now) {
        m.lastReportAt = now;
        m.unanswered = 0;
        return scheduler.ledger.report(m, r, hello, now);
    }

    /** An answer holds 64 KiB at most; what is left out follows with the next. */
    private static List<Order> limited(List<Order> orders) {
        return orders.size() <= Constants.ORDERS_MAX ? orders : orders.subList(0, Constants.ORDERS_MAX);
    }

    /** Sends the orders that wait, those for services first, as many at once as the sockets allow. */
    void send() {
        send(scheduler.ordersUrgent);
        send(scheduler.ordersDirty);
    }

    private void send(Set<Machine> dirty) {
        Iterator<Machine> i = dirty.iterator();
        List<Machine> now = new ArrayList<>();
        while (i.hasNext() && open + now.size() < Constants.DIRECT_OPEN) {
            now.add(i.next());
            i.remove();
        }
        now.forEach(m -> direct(m, false));
    }

    /** Sends what the machine should do at once; {@code probe}: even if that is nothing, to hear from it. */
    private void direct(Machine m, boolean probe) {
        if (!acting.getAsBoolean() || m.directBusy || m.addr.isEmpty() || m.directAfter > runtime.now() || m.returning) {
            return;
        }
        List<Order> orders = m.up ? limited(scheduler.ledger.orders(m)) : List.of();
        // What may be cleared can wait for the machine's next report.
        if (m.heard && !probe && orders.stream().allMatch(o -> o.verb() == Order.Verb.FORGET)) {
            return;
        }
        boolean doubtful = m.unanswered > 0;
        if (doubtful && openDoubtful >= Constants.DIRECT_DOUBTFUL) {
            return; // a zone that is cut off may not take every call from those that answer
        }
        long tenure = m.up ? m.tenure : 1;
        scheduler.ledger.sentDirect(m, orders);
        open++;
        openDoubtful += doubtful ? 1 : 0;
        client.command(m.addr, scheduler.baton, tenure, orders, acting, r -> {
            open--;
            openDoubtful -= doubtful ? 1 : 0;
            answered(m, orders, tenure, r);
            contactUnheard();
            if (!scheduler.ordersUrgent.isEmpty() || !scheduler.ordersDirty.isEmpty() || !scheduler.freed.isEmpty()) {
                pump.run();
            }
        });
    }

    private void answered(Machine m, List<Order> orders, long tenure, Reply r) {
        boolean settled = r.status() == 200 || r.status() == 409 || r.status() == 400 || r.status() == Reply.NOT_SENT;
        scheduler.ledger.directEnded(m, orders, tenure, settled);
        if (r.status() != 200 && r.status() != 409) {
            m.unanswered++;
            m.directAfter = runtime.now() + Constants.DIRECT_PAUSE_MS;
            LOG.debug("order unanswered machine={} status={}", m.id, r.status());
            return;
        }
        Report report = WorkerCodec.report(r.body());
        if (report != null && scheduler.machines.get(m.id) == m && Long.compareUnsigned(report.baton(), scheduler.baton) <= 0) {
            boolean again = !m.heard;
            accept(m, report, false, runtime.now());
            if (again && !m.heard) {
                direct(m, true);
            }
        }
    }

    /** After a takeover nothing tells more quickly what is where than asking every registered machine, some at a time. */
    void contactUnheard() {
        if (scheduler.settled()) {
            return;
        }
        for (Machine m : scheduler.machines.values()) {
            if (!m.heard && open < Constants.DIRECT_OPEN) {
                direct(m, true);
            }
        }
    }

    /**
     * Asks machines that are quieter than their reports allow, and returns those that leave questions unanswered.
     * {@code smoothSince}: since when this node itself has run without being held up.
     */
    List<Machine> silent(long now, long smoothSince) {
        if (now - startedAt < Constants.SILENT_GRACE_MS || now - smoothSince < Constants.SILENT_GRACE_MS) {
            return List.of();
        }
        // Machines report within a quarter more than the interval. Only the loss of services is worth asking more often.
        long usual = (long) (settings.reportS() * 1_250) + Constants.PROBE_SLACK_MS;
        long early = (long) (settings.reportS() * 1_000 * Constants.PROBE_SHARE);
        List<Machine> silent = new ArrayList<>();
        List<Machine> unsure = new ArrayList<>();
        int talking = 0;
        int doubtful = 0;
        Map<String, int[]> byZone = new HashMap<>();
        for (Machine m : scheduler.machines.values()) {
            if (m.returning || !m.up && !m.registered) {
                continue;
            }
            long quiet = now - m.lastReportAt;
            int[] zone = byZone.computeIfAbsent(m.zone, z -> new int[2]);
            if (quiet < Constants.TALKING_MS) {
                talking++;
                zone[0]++;
            }
            if (m.unanswered > 0) {
                doubtful++;
                zone[1]++;
            }
            if (m.unanswered > 0 && !m.addr.isEmpty()) {
                unsure.add(m);
            }
            if (quiet > Constants.SILENT_MS && m.unanswered >= Constants.UNANSWERED && !Reach.spared(m, now)) {
                silent.add(m);
            } else if (quiet > (m.unanswered > 0 || m.serviceCpus() > 0 ? early : usual) && open < Constants.DIRECT_OPEN) {
                direct(m, true);
            }
        }
        reach.ask(unsure);
        seen = "talking=" + talking + " doubtful=" + doubtful + " elsewhere=" + Reach.beyond(scheduler.machines.values(), now);
        // Those that left a question open against those heard of just now: counting only the silent ones would give them up one by one
        // while this node is cut off from all of them.
        double share = doubtful / (double) Math.max(1, doubtful + talking);
        dark = byZone.entrySet().stream().filter(e -> dark(e.getValue()[0], e.getValue()[1])).map(Map.Entry::getKey).collect(Collectors.toUnmodifiableSet());
        if (doubtful > 2 && share > Constants.SILENT_SHARE || !dark.isEmpty()) {
            troubleUntil = now + Constants.TROUBLE_OVER_MS;
        }
        if (doubtful <= 2 || share < Constants.CUT_OFF_SHARE) {
            cutOffSince = 0;
        } else if (cutOffSince == 0) {
            cutOffSince = now;
        }
        return now < troubleUntil ? List.of() : silent;
    }

    private static boolean dark(int talking, int doubtful) {
        return doubtful >= Constants.DARK_MACHINES && doubtful >= Constants.CUT_OFF_SHARE * (doubtful + talking);
    }

    /** What the last look found, for the log. */
    String seen() {
        return seen;
    }

    /** Zones that seem to be cut off: what is rented there can't be reached. */
    Set<String> dark() {
        return dark;
    }

    /** Another controller should lead: nearly all machines have been silent for long, or others reach those that are. */
    boolean cutOff(long now) {
        return cutOffSince > 0 && now - cutOffSince > Constants.CUT_OFF_MS || Reach.beyond(scheduler.machines.values(), now) >= Constants.REACH_AT_FAULT;
    }
}
