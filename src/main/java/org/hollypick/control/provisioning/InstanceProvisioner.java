package org.hollypick.control.provisioning;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.hollypick.cloud.CloudClient;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.config.constants.ClockConstants;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.autoscaling.Autoscaler;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Dealings with the cloud in one term: rents, returns and the list that tells which machines there are. */
public final class InstanceProvisioner {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceProvisioner.class);

    private final EventLoop eventLoop;
    private final Settings settings;
    private final Scheduler scheduler;
    private final CloudClient cloud;
    private final Map<String, MachineType> types;
    private final BooleanSupplier acting;
    private final BooleanSupplier open;
    private final Runnable pump;
    private final Autoscaler fleet;
    private final long startedAt;
    /** No earlier leader can have rented anything. */
    private final boolean nobodyBefore;
    /** Rental requests under way. */
    private int hiring;

    private final Set<String> returning = new HashSet<>();
    private final Map<String, Long> listedAt = new HashMap<>();
    private boolean listing;
    private boolean listedOnce;
    private long hires;

    /**
     * {@code acting} tells whether this controller holds the leader lease, {@code open} whether it reaches the store;
     * {@code pump} requests a reconcile step.
     */
    public InstanceProvisioner(
            EventLoop eventLoop,
            Settings settings,
            OperatorSettings operator,
            Scheduler scheduler,
            CloudClient cloud,
            Map<String, MachineType> types,
            BooleanSupplier acting,
            BooleanSupplier open,
            Runnable pump,
            boolean nobodyBefore) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.scheduler = scheduler;
        this.cloud = cloud;
        this.types = types;
        this.acting = acting;
        this.open = open;
        this.pump = pump;
        this.fleet = new Autoscaler(operator, nobodyBefore);
        this.nobodyBefore = nobodyBefore;
        this.startedAt = eventLoop.now();
    }

    /** Asks the cloud to terminate machines; those it confirms are dropped from the scheduler. */
    public void terminate(List<Machine> list, String why) {
        List<String> names = new ArrayList<>();
        for (Machine m : list.subList(0, Math.min(list.size(), AutoscalingConstants.MAX_TERMINATIONS_PER_REQUEST))) {
            if (returning.add(m.id)) {
                m.scalingIn = true;
                names.add(m.id);
            }
        }
        if (names.isEmpty()) {
            return;
        }
        LOG.info("return machines={} why={}", names, why);
        cloud.giveBack(names, acting, r -> {
            names.forEach(returning::remove);
            for (String id : names) {
                if (r.ok()) {
                    scheduler.markTerminated(id);
                }
            }
            pump.run();
        });
    }

    /** Mean cores that the arriving arrays keep busy. */
    public double load() {
        return fleet.load();
    }

    /** {@code partitioned}: zones in which nothing is rented now. */
    public void scale(Set<String> partitioned, long now) {
        // Machines whose return wasn't answered: again, until it is.
        terminate(
                scheduler.machines().stream()
                        .filter(m -> m.scalingIn && !returning.contains(m.id))
                        .toList(),
                "again");
        if (!nobodyBefore
                && (!listedOnce
                        || (now - startedAt < settings.listLagS() * 2000
                                && !scheduler.machines().isEmpty()))) {
            return; // machines that an earlier leader rented may not be listed yet
        }
        if (!open.getAsBoolean()) {
            fleet.closed(now);
        }
        Autoscaler.Plan plan = fleet.plan(scheduler, types, settings.zones(), partitioned, now);
        if (hiring == 0) { // else machines may be on their way already
            for (Autoscaler.Rent rent : plan.rents()) {
                hiring++;
                hire(rent.kind(), settings.node() + "-" + scheduler.token() + "-" + hires++, rent.count());
            }
        }
        terminate(plan.returns(), "idle");
        plan.moves().forEach(p -> {
            LOG.info("move task={} from={}", p.taskId, p.machine.id);
            scheduler.assignments().stop(p, 0);
        });
        pump.run();
    }

    private void hire(Autoscaler.Kind kind, String name, int count) {
        if (!acting.getAsBoolean()) {
            hiring--;
            return;
        }
        cloud.hire(name, kind.type(), kind.zone(), kind.spot(), count, acting, r -> {
            LOG.info(
                    "hire type={} zone={} spot={} wanted={} status={} got={}",
                    kind.type(),
                    kind.zone(),
                    kind.spot(),
                    count,
                    r.status(),
                    r.body().path("bothies").size());
            long now = eventLoop.now();
            if (r.status() == 200) {
                hiring--;
                int got = 0;
                for (JsonNode id : r.body().path("bothies")) {
                    got++;
                    if (!scheduler.hasMachine(id.asText())
                            && !scheduler.isTerminated(id.asText())
                            && types.containsKey(kind.type())) {
                        scheduler.addMachine(id.asText(), types.get(kind.type()), kind.zone(), kind.spot(), false, now);
                    }
                }
                if (got < count) {
                    fleet.refused(kind, now);
                }
            } else if (r.failedWith(Response.Failure.NO_RESPONSE)) {
                // It may have been carried out: the same name again gives the same machines.
                eventLoop.after(1_000, () -> hire(kind, name, count));
            } else {
                hiring--;
                if (r.status() == 503) {
                    fleet.refused(kind, now);
                }
            }
        });
    }

    /** Reads the cloud's list of machines, unless that is under way, and reconciles the scheduler's with it. */
    public void list() {
        if (!listing) {
            listing = true;
            page(null, eventLoop.now(), new HashMap<>());
        }
    }

    private void page(String from, long asked, Map<String, JsonNode> into) {
        cloud.list(from, r -> {
            if (!r.ok() || !acting.getAsBoolean()) {
                listing = false;
                return;
            }
            String last = from;
            for (JsonNode m : r.body().path("bothies")) {
                last = m.path("name_id").asText();
                into.put(last, m);
            }
            if (r.body().path("truncated").asBoolean() && last != null && !last.equals(from)) {
                page(last, asked, into);
                return;
            }
            listing = false;
            listedOnce = true;
            listed(into, asked);
        });
    }

    private void listed(Map<String, JsonNode> list, long asked) {
        long now = eventLoop.now();
        List<Machine> bad = new ArrayList<>();
        list.forEach((id, l) -> {
            if (scheduler.isTerminated(id)) {
                return;
            }
            listedAt.putIfAbsent(id, now);
            Machine m = scheduler.machine(id);
            String status = l.path("status").asText();
            if (m == null) {
                MachineType type = types.get(l.path("flavour").asText());
                if (type == null) {
                    return;
                }
                m = scheduler.addMachine(
                        id,
                        type,
                        l.path("hall").asText(),
                        l.path("lendable").asBoolean(),
                        false,
                        now - (long) (l.path("age_s").asDouble() * 1000));
            }
            if (m.address.isEmpty()) {
                m.address = l.path("addr").asText("");
            }
            boolean slowBoot = !m.heartbeatReceived
                    && !m.registered
                    && (status.equals("running")
                            ? now - listedAt.get(id) > FailureDetectionConstants.FIRST_HEARTBEAT_MS
                            : now - m.createdAt
                                    > FailureDetectionConstants.BOOT_TIMEOUT_MULTIPLE * m.type.bootS() * 1000);
            if (!m.scalingIn && (status.equals("failed") || slowBoot)) {
                bad.add(m);
            }
        });
        terminate(bad, "failed or never up");
        // Once listed, a machine stays listed until it is gone; a list is at most twice the lag old.
        Set<String> missing = new LinkedHashSet<>();
        for (Machine m : scheduler.machines()) {
            Long first = listedAt.get(m.id);
            if (first != null
                    && !list.containsKey(m.id)
                    && asked - first > settings.listLagS() * 2000 * (1 + ClockConstants.CLOCK_DRIFT_RATIO) + 500) {
                missing.add(m.id);
            }
        }
        for (String id : missing) {
            LOG.info("machine gone from the list machine={}", id);
            scheduler.markTerminated(id);
        }
        if (!missing.isEmpty()) {
            pump.run();
        }
    }
}
