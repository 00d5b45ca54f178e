package org.hollypick.core.fleet;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.config.Constants;
import org.hollypick.config.OperatorSettings;
import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.ledger.Machine;
import org.hollypick.core.ledger.Placement;

/** Works out which machines to rent and which to give back. */
public final class Fleet {
    /** A kind of machine to rent. */
    public record Kind(String type, String zone, boolean spot) {}

    public record Rent(Kind kind, int count) {}

    public record Plan(List<Rent> rents, List<Machine> returns) {}

    private final OperatorSettings operator;
    /** Until when a kind isn't asked for, after the cloud refused it. */
    private final Object2LongOpenHashMap<Kind> refusedUntil = new Object2LongOpenHashMap<>();

    public Fleet(OperatorSettings operator) {
        this.operator = operator;
    }

    public void refused(Kind kind, long now) {
        refusedUntil.put(kind, now + Constants.NO_CAPACITY_MS);
    }

    public Plan plan(Collection<Job> jobs, Collection<Machine> machines, Map<String, MachineType> types, List<String> zones, long now) {
        Map<String, Double> serviceCores = new HashMap<>();
        double arrayCores = 0;
        Job arraySample = null;
        Job serviceSample = null;
        for (Job job : jobs) {
            if (job.status != Job.Status.LIVE) {
                continue;
            }
            JobSpec s = job.spec;
            double pendingCores = job.failures > 2 ? 0 : job.pending.cardinality() * s.cpus();
            if (s.service() || !s.spot()) {
                serviceSample = job;
                for (Placement p : job.live.values()) {
                    serviceCores.merge(p.machine.zone, s.cpus(), Double::sum);
                }
                for (String zone : zones) {
                    if (s.zone() == null || s.zone().equals(zone)) {
                        serviceCores.merge(zone, pendingCores / (s.zone() == null ? zones.size() : 1), Double::sum);
                    }
                }
            } else {
                arrayCores += pendingCores + job.live.size() * s.cpus();
                if (arraySample == null || pendingCores > 0) {
                    arraySample = job;
                }
            }
        }
        Map<String, Double> ordinary = new HashMap<>();
        double spotCores = 0;
        double ordinaryCores = 0;
        for (Machine m : machines) {
            if (m.returning || m.draining || m.faulty) {
                continue;
            }
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
            double need = serviceCores.getOrDefault(zone, 0.0) + (serviceSample == null ? 0 : operator.warmCores());
            serviceNeed += need;
            double short_ = need - ordinary.getOrDefault(zone, 0.0);
            spare.put(zone, -short_);
            if (short_ > 0 && serviceSample != null) {
                Rent rent = pick(serviceSample.spec, types, List.of(zone), false, short_, now);
                if (rent != null) {
                    rents.add(rent);
                    ordinaryCores += rent.count() * types.get(rent.kind().type()).cpus();
                }
            }
        }
        double arraySupply = spotCores + Math.max(0, ordinaryCores - serviceNeed);
        double arrayShort = arrayCores - arraySupply;
        if (arrayShort > 0 && arraySample != null) {
            Rent rent = pick(arraySample.spec, types, zones, true, arrayShort, now);
            if (rent == null) {
                rent = pick(arraySample.spec, types, zones, false, arrayShort, now);
            }
            if (rent != null) {
                rents.add(rent);
            }
        }
        return new Plan(rents, returns(machines, spare, -arrayShort, now));
    }

    /** The kind with the cheapest core that the job may use and the cloud didn't just refuse. */
    private Rent pick(JobSpec job, Map<String, MachineType> types, List<String> zones, boolean spot, double cores, long now) {
        Kind best = null;
        double bestPrice = 0;
        for (MachineType t : types.values()) {
            if (!t.fits(job)) {
                continue;
            }
            for (String zone : zones) {
                Kind kind = new Kind(t.name(), zone, spot);
                double price = (spot ? t.spotPrice() : t.price()) / t.cpus();
                if (t.zones().contains(zone) && (job.zone() == null || job.zone().equals(zone))
                        && refusedUntil.getLong(kind) <= now && (best == null || price < bestPrice)) {
                    best = kind;
                    bestPrice = price;
                }
            }
        }
        if (best == null) {
            return null;
        }
        int count = (int) Math.ceil(cores / types.get(best.type()).cpus());
        return new Rent(best, Math.min(count, Constants.HIRE_MAX));
    }

    private List<Machine> returns(Collection<Machine> machines, Map<String, Double> spare, double arraySpare, long now) {
        List<Machine> idle = new ArrayList<>();
        List<Machine> out = new ArrayList<>();
        for (Machine m : machines) {
            if (m.returning || !m.heard) {
                continue;
            }
            if (m.faulty) {
                if (m.idle() || now - m.faultySince > Constants.FAULTY_LEAVE_MS) {
                    out.add(m);
                }
            } else if (m.up && m.idle() && !m.draining && now - m.idleSince > operator.idleMs()) {
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
