package org.hollypick.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.hollypick.config.Settings;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.balancing.HeartbeatBalancer;
import org.hollypick.core.estimate.Estimates;

/**
 * What one leader knows during one term, and what it decides. Pure: time comes in with each event, effects are left in
 * the dirty sets for the loops around to carry out. docs/safety.md argues why its decisions keep the rules.
 */
public final class Scheduler {
    public final long token;
    private final Settings settings;
    public final WorkerLeases leases;
    private final SchedulingCycle planner;
    final TeamUsage teamUse = new TeamUsage();
    public final Estimates estimates;
    /** Which controller each machine reports to. */
    public final HeartbeatBalancer reportBalancer;

    public final AssignmentTable ledger;
    private boolean settled;
    /** Earlier leaders kept the same limits of teams. */
    private boolean olderKeptLimits;

    private long unheardAt = -1;
    private boolean allHeard;
    private long heardAskedAt = -1;
    long lastNow;
    private Arrived arrived = new Arrived(0, 0, 0);
    /** Work of tasks that were released since that was last taken: there may be thousands at once. */
    private double releasedWork;

    public final Map<String, Job> jobs = new LinkedHashMap<>();
    public final Map<String, Machine> machines = new LinkedHashMap<>();
    /** Machines certainly gone in this term; late reports of theirs mean nothing. */
    public final Set<String> gone = new HashSet<>();

    // effects, drained by the loops
    public final Set<Machine> ordersDirty = new LinkedHashSet<>();
    /** The same for machines whose orders concern services. */
    public final Set<Machine> ordersUrgent = new LinkedHashSet<>();
    /** Machines on which room came free since this was last emptied. */
    public final Set<Machine> freed = new LinkedHashSet<>();

    public final Set<Job> progressDirty = new LinkedHashSet<>();
    /** Machines that came up and aren't registered yet. */
    public final Set<Machine> toRegister = new LinkedHashSet<>();
    /** Machines that are gone; their durable records have to follow. */
    public final Set<String> toForget = new LinkedHashSet<>();

    public boolean passWanted;

    /** {@code leases}: when a worker's lease is certainly over. */
    public Scheduler(long token, Settings settings, double firstShare, WorkerLeases leases) {
        this(token, settings, firstShare, leases, false);
    }

    /** {@code learns}: from the run times of tasks, for those who ask when something will be done. */
    public Scheduler(long token, Settings settings, double firstShare, WorkerLeases leases, boolean learns) {
        this.estimates = new Estimates(learns);
        this.token = token;
        this.settings = settings;
        this.reportBalancer = new HeartbeatBalancer(settings.node(), leases.termStart());
        this.leases = leases;
        this.ledger = new AssignmentTable(this, teamUse);
        this.planner = new SchedulingCycle(this, firstShare);
    }

    /** The leader before kept the same limits of teams, and all before it did. */
    public void olderKeptLimits() {
        olderKeptLimits = true;
    }

    // ---- jobs ----

    /** A job that awaits nothing. */
    public Job addJob(JobSpec spec, long order, long under) {
        return addJob(spec, order, under, true, spec.rank());
    }

    public Job addJob(JobSpec spec, long order, long under, boolean ready, JobSpec.Rank rank) {
        Job job = jobs.get(spec.id());
        if (job == null) {
            job = new Job(spec, order, under, ready, rank);
            jobs.put(spec.id(), job);
            if (ready) {
                arrived(job);
            }
        }
        return job;
    }

    /** Its ancestors or those that need it have changed: it may start from now on, or became more urgent. */
    public void follow(Job job, boolean ready, JobSpec.Rank rank) {
        job.rank = rank;
        if (ready && !job.ready) {
            job.ready = true;
            arrived(job);
        }
    }

    private void arrived(Job job) {
        JobSpec spec = job.spec;
        double cores = spec.tasks() * spec.cpus();
        arrived = spec.service()
                ? new Arrived(arrived.arrays, arrived.arrayWork, arrived.serviceCores + cores)
                : new Arrived(arrived.arrays + 1, arrived.arrayWork + cores * expectedRunS(spec), arrived.serviceCores);
        passWanted = true;
    }

    /** A job whose tasks aren't all alike; none of them waits yet. */
    public Job addJob(JobSpec spec, TaskSet set, long order, long under) {
        Job job = new Job(spec, set, order, under, true, spec.rank());
        jobs.put(spec.id(), job);
        arrived = new Arrived(arrived.arrays + 1, arrived.arrayWork, arrived.serviceCores);
        return job;
    }

    /** What the records say that is done of such a job was read. */
    public void restored(Job job) {
        job.committedMore();
    }

    /** From now on that task of such a job waits. */
    public void release(Job job, int index) {
        if (job.wanted(index) && !job.live.containsKey(index)) {
            JobSpec spec = job.spec(index);
            job.pending.set(index);
            releasedWork += spec.cpus() * expectedRunS(spec);
            passWanted = true;
        }
    }

    /** That task of such a job isn't to run any more: it doesn't wait, and where it may be it is stopped. */
    public void withdraw(Job job, int index) {
        job.pending.clear(index);
        Assignment p = job.live.get(index);
        if (p != null) {
            ledger.stop(p, 0);
        }
        passWanted = true;
    }

    /** What arrived in a while: array jobs, their work in core-seconds, and the cores of services. */
    public record Arrived(int arrays, double arrayWork, double serviceCores) {}

    public Arrived takeArrived() {
        Arrived taken = new Arrived(arrived.arrays, arrived.arrayWork + releasedWork, arrived.serviceCores);
        arrived = new Arrived(0, 0, 0);
        releasedWork = 0;
        return taken;
    }

    public double expectedRunS(JobSpec spec) {
        return estimates.meanS(spec);
    }

    /**
     * Its user asked to cancel it: whoever sees that in the records first may tell so, and this leader need not be the
     * first. Nothing of the job starts from here on, and all of it goes; what it would do yet is of use to nobody.
     */
    public void cancel(Job job) {
        job.withdrawn = true;
        job.pending.clear();
        for (Assignment p : new ArrayList<>(job.live.values())) {
            ledger.stop(p, 0);
        }
        passWanted = true;
    }

    /** The cancellation is durable. */
    public void abort(Job job) {
        cancel(job);
        job.status = Job.Status.ABORTED;
    }

    public void close(Job job) {
        job.status = Job.Status.DONE;
        job.committed = job.done;
        for (Assignment p : new ArrayList<>(job.live.values())) {
            ledger.stop(p, 0);
        }
        ledger.progressCommitted(job);
    }

    // ---- machines ----

    public Machine addMachine(String id, MachineType type, String zone, boolean spot, boolean registered, long now) {
        Machine m = new Machine(id, type, zone, spot, now);
        m.registered = registered;
        // A machine without a durable record can't have been given a task by an earlier leader.
        m.heard = !registered;
        machines.put(id, m);
        settled &= m.known();
        return m;
    }

    /** The machine and everything on it are certainly gone. */
    public void machineGone(String id) {
        Machine m = machines.remove(id);
        gone.add(id);
        reportBalancer.gone(id);
        if (m != null) {
            ledger.loseAll(m);
            ordersDirty.remove(m);
            ordersUrgent.remove(m);
            toRegister.remove(m);
            freed.remove(m);
        }
        toForget.add(id);
        passWanted = true;
    }

    /** Leases that ran out, and machines from earlier terms that can't hold anything any more. */
    public void tick(long now) {
        lastNow = now;
        for (Machine m : machines.values()) {
            passWanted |= FaultAttribution.pardon(m, now);
            // What older leaders launched needs a session that began before this term: all of those have ended,
            // whatever has begun since.
            boolean olderOver = !m.heard && leases.over(m.answeredAt, now);
            // A session can also be known from a direct answer alone: its lease began before that came, not earlier.
            boolean over = ((m.up && !m.lapsed()) || !m.placements.isEmpty()) && leases.over(m.leaseFrom(), now);
            if (olderOver || over) {
                ledger.loseAll(m);
                m.heard = true;
                passWanted = true;
            }
            if (over && m.up) {
                m.lapsedAt = now;
                m.minSession = m.session + 1;
            }
        }
    }

    /**
     * Whether a task of the job may yet start by a launch that was sent: this leader's, or an older one's on a machine
     * that isn't heard yet. As long as so nobody may be told that the job is cancelled: none may start after that.
     */
    public boolean launchMayCome(Job job) {
        return ledger.startMayCome(job) || (job.under != token && !allHeard());
    }

    /** Once so, it stays so; asked for many jobs in one moment. */
    private boolean allHeard() {
        if (!allHeard && heardAskedAt != lastNow) {
            heardAskedAt = lastNow;
            allHeard = machines.values().stream().allMatch(m -> m.heard);
        }
        return allHeard;
    }

    /**
     * Whether no machine of an earlier term can still hold tasks that this one doesn't know of. Once so, it stays so.
     */
    public boolean settled() {
        if (!settled) {
            settled = machines.values().stream().allMatch(Machine::known);
            if (settled) {
                teamUse.settled();
            }
        }
        return settled;
    }

    /** Whether that was so when it was last asked: without a look at all machines, for each task of each report. */
    boolean settledBefore() {
        return settled;
    }

    /** It is durable that the machine may hold tasks: from now on it may, unless it went while that was written. */
    public void registered(Machine m) {
        m.registered = true;
        if (machines.get(m.id) == m) {
            freed.add(m);
        }
    }

    // ---- placing ----

    /** One pass over everything that waits. */
    public void pass(long now) {
        lastNow = now;
        passWanted = false;
        planner.pass(now);
    }

    /** What waits is looked through for this one machine, where room may have come free. */
    public void fill(Machine m, long now) {
        lastNow = now;
        planner.fill(m, now);
    }

    boolean severalTeams() {
        return settings.teams().size() > 1;
    }

    /**
     * Whether one more task keeps its team's limit. Machines of earlier terms may hold tasks nobody here has counted.
     */
    public boolean withinLimit(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        if (team == null || (team.cpusMax() <= 0 && team.gpusMax() <= 0)) {
            return true;
        }
        if (settled()) {
            return teamUse.allows(team, spec);
        }
        if (unheardAt != lastNow) {
            unheardAt = lastNow; // within one moment they only become fewer
            teamUse.unheard(machines.values());
        }
        return teamUse.allowsUnheard(team, spec, olderKeptLimits);
    }

    /**
     * Cores that arrays can use at once beside their team's services, by what there is of both for each team; without
     * end if a team has no limit.
     */
    public double usableCores(Object2DoubleMap<String> services, Object2DoubleMap<String> arrays) {
        double usable = 0;
        for (Object2DoubleMap.Entry<String> e : arrays.object2DoubleEntrySet()) {
            Settings.Team team = settings.teams().get(e.getKey());
            if (team == null || team.cpusMax() <= 0) {
                return Double.POSITIVE_INFINITY;
            }
            usable += Math.min(e.getDoubleValue(), Math.max(0, team.cpusMax() - services.getDouble(e.getKey())));
        }
        return usable;
    }

    /** Everything is known, and no team takes more than its limit. */
    public boolean limitsKept() {
        return settled() && teamUse.within(settings.teams().values());
    }

    /** Partial sizes by job, for the controller's one value. */
    public Map<String, Double> sizes() {
        Map<String, Double> sizes = new HashMap<>();
        for (Job job : jobs.values()) {
            if (job.status == Job.Status.LIVE
                    && job.ready
                    && !job.spec.service()
                    && (job.partialSize > 0 || job.moved)) {
                sizes.put(job.spec.id(), job.moved ? -1 - job.partialSize : job.partialSize);
            }
        }
        return sizes;
    }

    public void restoreSize(Job job, double size) {
        job.moved = size < 0;
        job.partialSize = size < 0 ? -1 - size : size;
    }
}
