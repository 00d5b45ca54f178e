package org.hollypick.core.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.core.Arrivals;
import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.placement.MachineSelector;

/** Works out which machines to rent and which to give back. */
public final class Autoscaler {
    /** A kind of machine to rent. */
    public record Kind(String type, String zone, boolean spot) {}

    public record Rent(Kind kind, int count) {}

    /** {@code moves}: replicas to stop, so that they start again on a machine that is kept. */
    public record Plan(List<Rent> rents, List<Machine> returns, List<Assignment> moves) {}

    private final OperatorSettings operator;
    private final long crowdMs;
    /** Until when a kind isn't asked for, after the cloud refused it. */
    private final Object2LongOpenHashMap<Kind> refusedUntil = new Object2LongOpenHashMap<>();
    /** Machines of each kind that count, those of the present plan included. */
    private final Object2IntOpenHashMap<Kind> have = new Object2IntOpenHashMap<>();

    private long startedAt;
    private final ArrivalMean arrayJobs = new ArrivalMean(AutoscalingConstants.LOAD_WINDOW_S);
    private final ArrivalMean arrays = new ArrivalMean(AutoscalingConstants.LOAD_WINDOW_S);
    /** When an array last arrived, and how many a second did until then, as far as that can be relied on. */
    private long arrayArrivedAt;

    private double arrayRate;
    private final ArrivalMean services = new ArrivalMean(AutoscalingConstants.SERVICE_WINDOW_S);

    /** {@code firstTerm}: nobody owned anything before, so a crowd of users may be starting. */
    public Autoscaler(OperatorSettings operator, boolean firstTerm) {
        this.operator = operator;
        this.crowdMs = firstTerm ? AutoscalingConstants.WARM_UP_MS : 0;
    }

    /** Nobody can submit now: that nothing arrives says nothing. */
    public void closed(long now) {
        arrayArrivedAt = now;
    }

    public void refused(Kind kind, long now) {
        refusedUntil.put(kind, now + AutoscalingConstants.NO_CAPACITY_MS);
    }

    /** What there is to do and to do it with, in cores and core-seconds. */
    private static final class Demand {
        final Map<String, Double> serviceCores = new HashMap<>();

        double arrayWork;
        double arrayCores;
        final Object2DoubleOpenHashMap<String> teamServices = new Object2DoubleOpenHashMap<>();
        final Object2DoubleOpenHashMap<String> teamArrays = new Object2DoubleOpenHashMap<>();
        boolean arraysWait;
        Job service;
        JobSpec array;
    }

    public Plan plan(Scheduler scheduler, Map<String, MachineType> types, List<String> zones, long now) {
        return plan(scheduler, types, zones, Set.of(), now);
    }

    /**
     * {@code partitioned}: zones that can't be reached. Their machines count, since most come back, but nothing is
     * rented there.
     */
    public Plan plan(
            Scheduler scheduler,
            Map<String, MachineType> types,
            List<String> zones,
            Set<String> partitioned,
            long now) {
        List<String> lit = zones.stream().filter(z -> !partitioned.contains(z)).toList();
        Demand demand = demand(scheduler, zones, now);
        follow(scheduler, now);
        double spotCores = 0;
        double ordinaryCores = 0;
        Map<String, Double> ordinary = new HashMap<>();
        have.clear();
        for (Machine m : scheduler.machines()) {
            boolean slow = !m.heartbeatReceived
                    && now - m.createdAt > AutoscalingConstants.SLOW_BOOT_MULTIPLE * 1000 * m.type.bootS();
            if (m.scalingIn || m.draining || m.faulty || slow || (m.unreachable() && !partitioned.contains(m.zone))) {
                continue;
            }
            have.addTo(new Kind(m.type.name(), m.zone, m.spot), 1);
            if (m.spot) {
                spotCores += m.type.cpus();
            } else {
                ordinary.merge(m.zone, m.type.cpus(), Double::sum);
                ordinaryCores += m.type.cpus();
            }
        }
        List<Rent> rents = new ArrayList<>();
        double serviceNeed = 0;
        Map<String, Double> spare = new HashMap<>();
        for (String zone : zones) {
            double need = demand.serviceCores.getOrDefault(zone, 0.0);
            need += demand.service == null ? 0 : warm(need, zones.size());
            serviceNeed += need;
            double missing = need - ordinary.getOrDefault(zone, 0.0);
            spare.put(zone, -missing);
            if (missing > 0 && demand.service != null && !partitioned.contains(zone)) {
                rent(rents, demand.service.spec, types, List.of(zone), false, missing, now);
                ordinaryCores += missing;
            }
        }
        double supply = spotCores + Math.max(0, ordinaryCores - serviceNeed);
        double base = arrays.perSecond() * AutoscalingConstants.LOAD_HEADROOM * reliance();
        if (demand.array != null) {
            double bootS = types.values().stream()
                    .mapToDouble(MachineType::bootS)
                    .min()
                    .orElse(60);
            JobSpec array = demand.array;
            // What a team's limit keeps from running needs no machine, however long it waits.
            double unused = scheduler.quotas().usableCores(demand.teamServices, demand.teamArrays) - supply;
            double spot = Math.max(
                    base - supply, Math.min(unused, late(demand, supply, bootS, AutoscalingConstants.CATCH_UP_S)));
            if (!rent(rents, array, types, lit, true, spot, now)) {
                double missing = Math.min(
                        late(demand, supply, bootS, AutoscalingConstants.CATCH_UP_ON_DEMAND_S),
                        Math.min(unused, ordinaryLimit() - supply));
                rent(rents, array, types, lit, false, missing, now);
            }
        }
        Collection<Machine> machines = scheduler.machines();
        double surplus =
                cordon(machines, spare, supply - Math.max(base, demand.arrayCores * AutoscalingConstants.BUSY_MARGIN));
        List<Assignment> moves = scheduler.reconciliationComplete() ? moves(machines, spare, surplus, now) : List.of();
        return new Plan(rents, returns(machines, spare, supply - base, now), moves);
    }

    /**
     * Means of what arrives. What was there when the term began, and the crowd at a start, say nothing about what
     * follows.
     */
    private void follow(Scheduler scheduler, long now) {
        Arrivals arrived = scheduler.takeArrivals();
        if (startedAt == 0) {
            startedAt = now;
        }
        if (now - startedAt > crowdMs) { // never the first time: that is what a term finds
            arrays.arrived(arrived.arrayCoreSeconds(), now);
            arrayJobs.arrived(arrived.arrayJobs(), now);
            services.arrived(arrived.serviceCores(), now);
        }
        if (arrived.arrayJobs() > 0) {
            arrayArrivedAt = now;
            arrayRate = arrayJobs.perSecond() * reliance();
        } else if ((now - arrayArrivedAt) / 1000.0 * arrayRate > AutoscalingConstants.MISSED_ARRIVALS) {
            // So many didn't come that should have by now: the mean says nothing any more, and what it keeps is a
            // waste.
            arrays.forget();
            arrayJobs.forget();
            arrayRate = 0;
        }
    }

    /**
     * Beyond this many cores spot machines work off a crowd soon enough; before anything is known there is no limit.
     */
    private double ordinaryLimit() {
        return arrays.perSecond() > 0
                ? arrays.perSecond() * AutoscalingConstants.ON_DEMAND_LOAD / reliance()
                : Double.MAX_VALUE;
    }

    /** Mean cores that the arriving arrays keep busy. */
    public double load() {
        return arrays.perSecond();
    }

    /** How far the mean can be relied on, up to 1: that of many jobs more than that of a few. */
    private double reliance() {
        double jobs = arrayJobs.perSecond() * AutoscalingConstants.LOAD_WINDOW_S;
        return jobs / (jobs + AutoscalingConstants.LOAD_DOUBT_JOBS);
    }

    /** Asks for so many cores, in several requests if need be; false if no kind can be had. */
    private boolean rent(
            List<Rent> rents,
            JobSpec job,
            Map<String, MachineType> types,
            List<String> zones,
            boolean spot,
            double cores,
            long now) {
        double left = cores;
        for (int i = 0; i < AutoscalingConstants.MAX_SCALE_OUT_REQUESTS && left > 0; i++) {
            Rent rent = pick(job, types, zones, spot, left, now);
            if (rent == null) {
                return false;
            }
            rents.add(rent);
            have.addTo(rent.kind(), rent.count());
            left -= rent.count() * types.get(rent.kind().type()).cpus();
        }
        return true;
    }

    /**
     * Marks machines that are more than what is needed, the emptiest first: arrays leave them alone while there are
     * others, so that they empty and can be returned. What is more than needed beyond them is the result.
     */
    private static double cordon(Collection<Machine> machines, Map<String, Double> spare, double surplus) {
        Map<String, Double> zoneLeft = new HashMap<>(spare);
        double left = surplus;
        List<Machine> emptiest = new ArrayList<>(machines);
        emptiest.sort(Comparator.comparingDouble(m -> m.usedCpus / m.type.cpus()));
        for (Machine m : emptiest) {
            double zone = zoneLeft.getOrDefault(m.zone, 0.0);
            m.surplus = m.schedulable()
                    && m.serviceCpus() <= 0
                    && left >= m.type.cpus()
                    && (m.spot || zone >= m.type.cpus());
            if (m.surplus) {
                left -= m.type.cpus();
                if (!m.spot) {
                    zoneLeft.put(m.zone, zone - m.type.cpus());
                }
            }
        }
        return left;
    }

    /**
     * Services end one by one and leave every machine partly used, none empty. While there are more ordinary machines
     * than needed those with the fewest replicas in a zone are emptied: each replica that has run for a while moves to
     * a machine of the zone that has room and holds its image, so it is away for an exchange of orders only.
     */
    private static List<Assignment> moves(
            Collection<Machine> machines, Map<String, Double> spare, double surplus, long now) {
        List<Assignment> moves = new ArrayList<>();
        double allServices = machines.stream().mapToDouble(Machine::serviceCpus).sum();
        for (Map.Entry<String, Double> zone : spare.entrySet()) {
            double excess = Math.min(zone.getValue(), surplus);
            double left = excess / AutoscalingConstants.MOVE_MARGIN;
            List<Machine> emptiest = new ArrayList<>();
            for (Machine m : machines) {
                if (!m.spot && m.zone.equals(zone.getKey()) && (m.evicting || m.schedulable())) {
                    emptiest.add(m);
                }
            }
            emptiest.sort(Comparator.comparingDouble((Machine m) -> m.evicting ? 0 : 1)
                    .thenComparingDouble(Machine::serviceCpus));
            for (Machine m : emptiest) {
                left -= m.type.cpus(); // those that are empty already are on their way out
                excess -= m.type.cpus();
                m.evicting = left >= 0 && m.serviceCpus() > 0;
                m.evictedNext = !m.evicting
                        && excess >= 0
                        && m.type.cpus() <= allServices * AutoscalingConstants.DRAINED_NEXT_SHARE;
                if (m.evicting) {
                    move(m, machines, moves, now);
                }
            }
        }
        return moves;
    }

    private static void move(Machine from, Collection<Machine> machines, List<Assignment> moves, long now) {
        for (Assignment assignment : from.liveAssignments()) {
            if (moves.size() < AutoscalingConstants.MAX_MOVES
                    && assignment.job.spec.service()
                    && !assignment.stopRequested()
                    && assignment.state() == Assignment.State.RUNNING
                    && now - assignment.runningAt() > AutoscalingConstants.MOVE_AFTER_MS
                    && MachineSelector.canMove(assignment, machines, now)) {
                moves.add(assignment);
            }
        }
    }

    /** Cores kept in a zone for services to come. */
    private double warm(double need, int zones) {
        double follows = services.perSecond() * AutoscalingConstants.STANDBY_S / zones;
        return Math.max(operator.warmCores(), Math.max(follows, need * AutoscalingConstants.STANDBY_SHARE));
    }

    /** Cores missing to have today's work done a while after new machines are up; sooner than that they can't help. */
    private static double late(Demand demand, double supply, double bootS, double catchUpS) {
        return demand.arraysWait ? (demand.arrayWork - supply * (bootS + catchUpS)) / catchUpS : 0;
    }

    private static Demand demand(Scheduler scheduler, List<String> zones, long now) {
        Demand d = new Demand();
        for (Job job : scheduler.jobs()) {
            JobSpec s = job.spec;
            if (!job.ready()) {
                continue;
            }
            int pending = job.failures() > 2
                    ? 0
                    : job.pendingTasks.cardinality(); // a job that fails everywhere rents nothing
            if (s.service() || !s.spot()) {
                d.service = job;
                d.teamServices.addTo(s.team(), (pending + job.assignments.size()) * s.cpus());
                for (Assignment assignment : job.assignments.values()) {
                    d.serviceCores.merge(assignment.machine.zone, s.cpus(), Double::sum);
                }
                shares(job, zones)
                        .forEach((zone, share) -> d.serviceCores.merge(zone, pending * s.cpus() * share, Double::sum));
                continue;
            }
            if (pending > 0) {
                job.forEachWaiting((spec, count) -> {
                    d.arrayWork += count * spec.cpus() * scheduler.expectedRunS(spec);
                    d.arrayCores += count * spec.cpus();
                    d.teamArrays.addTo(s.team(), count * spec.cpus());
                });
            }
            for (Assignment assignment : job.assignments.values()) {
                double runs = scheduler.expectedRunS(assignment.spec);
                double ran = assignment.runningAt() > 0 ? (now - assignment.runningAt()) / 1000.0 : 0;
                d.arrayWork += assignment.spec.cpus() * Math.max(runs - ran, runs * 0.1);
                d.arrayCores += assignment.spec.cpus();
                d.teamArrays.addTo(s.team(), assignment.spec.cpus());
            }
            d.arraysWait |= pending > 0;
            if (pending > 0) {
                d.array = job.spec(job.pendingTasks.nextSetBit(0));
            } else if (d.array == null && job.tasks() > 0) {
                d.array = job.spec(0);
            }
        }
        return d;
    }

    /** How what waits of a job will spread over the zones: only where it may still go. */
    private static Map<String, Double> shares(Job job, List<String> zones) {
        JobSpec s = job.spec;
        Map<String, Double> room = new HashMap<>();
        double all = 0;
        for (String zone : zones) {
            if (s.zone() == null || s.zone().equals(zone)) {
                double left = s.spread() ? Math.max(0, (s.tasks() + 1) / 2 - job.inZone(zone)) : 1;
                room.put(zone, left);
                all += left;
            }
        }
        double sum = Math.max(all, 1e-9);
        room.replaceAll((zone, left) -> left / sum);
        return room;
    }

    /**
     * The kind with the cheapest core that the job may use and the cloud didn't just refuse; of equal ones the one with
     * the fewest machines, so that zones stay even: a zone can be lost, and services need room in each.
     */
    private Rent pick(
            JobSpec job, Map<String, MachineType> types, List<String> zones, boolean spot, double cores, long now) {
        Kind best = null;
        double bestPrice = 0;
        for (MachineType t : types.values()) {
            if (!t.fits(job)) {
                continue;
            }
            for (String zone : zones) {
                Kind kind = new Kind(t.name(), zone, spot);
                double price = (spot ? t.spotPrice() : t.price()) / t.cpus();
                if (t.zones().contains(zone)
                        && (job.zone() == null || job.zone().equals(zone))
                        && refusedUntil.getLong(kind) <= now
                        && (best == null
                                || price < bestPrice
                                || (price == bestPrice && have.getInt(kind) < have.getInt(best)))) {
                    best = kind;
                    bestPrice = price;
                }
            }
        }
        if (best == null) {
            return null;
        }
        int count = (int) Math.ceil(cores / types.get(best.type()).cpus());
        return new Rent(best, Math.min(count, AutoscalingConstants.MAX_INSTANCES_PER_REQUEST));
    }

    private List<Machine> returns(
            Collection<Machine> machines, Map<String, Double> spare, double arraySpare, long now) {
        List<Machine> idle = new ArrayList<>();
        List<Machine> out = new ArrayList<>();
        for (Machine m : machines) {
            if (m.scalingIn || !m.reconciled) {
                continue;
            }
            if (m.faulty) {
                if (m.idle()) {
                    out.add(m);
                }
            } else if (m.heartbeatReceived
                    && m.idle()
                    && !m.draining
                    && now - m.idleSince
                            > (m.spot && !m.surplus ? operator.idleMs() : AutoscalingConstants.IDLE_ON_DEMAND_MS)) {
                idle.add(m);
            }
        }
        idle.sort(Comparator.comparingDouble(m -> -(m.spot ? m.type.spotPrice() : m.type.price()) / m.type.cpus()));
        double left = arraySpare;
        for (Machine m : idle) {
            double zoneLeft = spare.getOrDefault(m.zone, 0.0);
            if (left >= m.type.cpus() && (m.spot || zoneLeft >= m.type.cpus())) {
                left -= m.type.cpus();
                if (!m.spot) {
                    spare.put(m.zone, zoneLeft - m.type.cpus());
                }
                out.add(m);
            }
        }
        return out;
    }
}
