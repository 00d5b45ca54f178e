package org.hollypick.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.config.Constants;
import org.hollypick.config.Settings;
import org.hollypick.core.ledger.Machine;
import org.hollypick.core.ledger.Order;
import org.hollypick.core.ledger.Placement;
import org.hollypick.core.ledger.Placement.State;
import org.hollypick.core.ledger.Report;
import org.hollypick.core.ledger.TaskReport;
import org.hollypick.core.placement.Placer;
import org.hollypick.core.tyrex.Tyrex;

/**
 * What one owner knows during one term, and what it decides. Pure: time comes in with each event, effects are left in the
 * dirty sets for the loops around to carry out. docs/safety.md argues why its decisions keep the rules.
 */
public final class Scheduler {
    public final long baton;
    private final Settings settings;
    private final double firstShare;
    private final long termStart;
    private long attempts;
    private long lastNow;
    private double arrivedWork;
    /** By class of jobs: how the run times of finished tasks compare with the estimates. */
    private final Map<String, Double> runRatio = new HashMap<>();

    public final Map<String, Job> jobs = new LinkedHashMap<>();
    public final Map<String, Machine> machines = new LinkedHashMap<>();
    /** Machines certainly gone in this term; late reports of theirs mean nothing. */
    public final Set<String> gone = new HashSet<>();

    // effects, drained by the loops
    public final Set<Machine> ordersDirty = new LinkedHashSet<>();
    public final Set<Job> progressDirty = new LinkedHashSet<>();
    public final Set<String> recordsToDrop = new LinkedHashSet<>();
    public boolean passWanted;

    public Scheduler(long baton, Settings settings, double firstShare, long now) {
        this.baton = baton;
        this.settings = settings;
        this.firstShare = firstShare;
        this.termStart = now;
    }

    /** How long after its last answered report a worker may still run its tasks. */
    private long leaseMs() {
        return (long) (settings.leaseS() * 1000 * (1 + Constants.DRIFT)) + Constants.CLOCK_MARGIN_MS + 500;
    }

    // ---- jobs ----

    public Job addJob(JobSpec spec, long order, long under, long now) {
        Job job = jobs.get(spec.id());
        if (job == null) {
            job = new Job(spec, order, under, now);
            jobs.put(spec.id(), job);
            if (!spec.service()) {
                arrivedWork += spec.tasks() * spec.cpus() * expectedRunS(job);
            }
            passWanted = true;
        }
        return job;
    }

    /** Array work, in core-seconds, that arrived since the last call. */
    public double takeArrivedWork() {
        double work = arrivedWork;
        arrivedWork = 0;
        return work;
    }

    /** The owner's estimate, corrected by how those of its class have been wrong so far. */
    public double expectedRunS(Job job) {
        return Math.max(1, job.spec.estimateS()) * runRatio.getOrDefault(job.spec.jobClass(), 1.0);
    }

    /** The abort is durable: nothing of the job may start from here on, and all of it goes. */
    public void abort(Job job, long now) {
        job.status = Job.Status.ABORTED;
        job.abortedAt = now;
        job.pending.clear();
        for (Placement p : new ArrayList<>(job.live.values())) {
            stop(p, 0);
        }
        passWanted = true;
    }

    public void close(Job job) {
        job.status = Job.Status.DONE;
        job.committed = job.done;
        for (Placement p : new ArrayList<>(job.live.values())) {
            stop(p, 0);
        }
        progressCommitted(job);
    }

    /** Everything in {@code job.committed} is durable; its exited attempts may be cleared. */
    public void progressCommitted(Job job) {
        for (Machine m : machines.values()) {
            for (Placement p : m.placements.values()) {
                if (p.job == job && p.state == State.EXITED && !p.clearable && job.committed.get(p.index)) {
                    p.clearable = true;
                    ordersDirty.add(m);
                }
            }
        }
    }

    // ---- machines ----

    public Machine addMachine(String id, MachineType type, String zone, boolean spot, boolean registered, long now) {
        Machine m = new Machine(id, type, zone, spot, now);
        m.registered = registered;
        // A machine without a durable record can't have been given a task by an earlier owner.
        m.heard = !registered;
        machines.put(id, m);
        return m;
    }

    /** The machine and everything on it are certainly gone. */
    public void machineGone(String id) {
        Machine m = machines.remove(id);
        gone.add(id);
        if (m != null) {
            loseAll(m);
            ordersDirty.remove(m);
        }
        recordsToDrop.add(id);
        passWanted = true;
    }

    private void loseAll(Machine m) {
        for (Placement p : new ArrayList<>(m.placements.values())) {
            remove(p);
        }
        m.reported = List.of();
    }

    /** Nothing of it can be on its machine any more. */
    private void remove(Placement p) {
        p.machine.placements.remove(Machine.key(p.taskId(), p.attempt));
        p.machine.release(p);
        boolean was = p.there();
        p.state = State.EXITED;
        if (was) {
            freeTask(p);
        }
        passWanted = true;
    }

    private void freeTask(Placement p) {
        Job job = p.job;
        if (job.live.get(p.index) == p) {
            job.live.remove(p.index);
            if (job.status == Job.Status.LIVE && !job.done.get(p.index)) {
                job.pending.set(p.index);
            }
        }
        if (p.machine.idle()) {
            p.machine.idleSince = Math.max(p.machine.idleSince, lastNow);
        }
        passWanted = true;
    }

    /** Leases that ran out, and machines from earlier terms that can't hold anything any more. */
    public void tick(long now) {
        lastNow = now;
        for (Machine m : machines.values()) {
            if (m.faulty && now >= m.faultyUntil) {
                m.faulty = false;
                m.failedJobs.clear();
                passWanted = true;
            }
            // A session can also be known from a direct answer alone: its lease began before that came, not earlier.
            long since = Math.max(Math.max(m.answeredAt, m.tenureSince), termStart);
            if (now - since > leaseMs() && (!m.placements.isEmpty() || !m.heard)) {
                loseAll(m);
                m.heard = true;
                if (m.up) {
                    m.minTenure = m.tenure + 1;
                }
                passWanted = true;
            }
        }
    }

    /** Whether machines of an earlier term may still hold tasks of older jobs. */
    public boolean settled() {
        for (Machine m : machines.values()) {
            if (!m.heard) {
                return false;
            }
        }
        return true;
    }

    // ---- reports ----

    /**
     * Takes in a worker's report. False if it is older than what is known or from a tenure that is over: it says nothing.
     * {@code hello}: it came as a report, which no earlier answer to a report can still follow.
     */
    public boolean report(Machine m, Report r, boolean hello, long now) {
        lastNow = now;
        if (m.up && !r.newerThan(m.tenure, m.tick) || Long.compareUnsigned(r.tenure(), m.minTenure) < 0) {
            return false;
        }
        if (m.up && r.tenure() != m.tenure) {
            loseAll(m); // a new tenure: all that was there is gone, and late orders of the old one are refused
        }
        if (!m.up || r.tenure() != m.tenure) {
            m.tenureSince = now;
        }
        if (!m.up) {
            m.up = true;
            m.idleSince = now;
        }
        m.tenure = r.tenure();
        m.tick = r.tick();
        if (!r.addr().isEmpty()) {
            m.addr = r.addr();
        }
        m.reported = r.tasks();
        if (hello) {
            // A worker has one report in flight: the answer to the one before was taken or dropped by now.
            m.placements.values().forEach(p -> p.viaHello = false);
        }
        Set<String> listed = new HashSet<>();
        for (TaskReport t : r.tasks()) {
            String key = Machine.key(t.task(), t.attempt());
            listed.add(key);
            Placement p = m.placements.get(key);
            if (p == null) {
                p = adopt(m, t, now);
            }
            if (p != null) {
                update(p, t, now);
            }
        }
        for (Placement p : new ArrayList<>(m.placements.values())) {
            if (listed.contains(Machine.key(p.taskId(), p.attempt))) {
                continue;
            }
            if (p.state != State.SENT || p.stop && !p.launchMayFollow()) {
                remove(p);
            }
        }
        // Only a report made under this baton is final: older direct orders are refused from then on.
        if (r.baton() == baton && !m.heard) {
            m.heard = true;
            passWanted = true;
        }
        if (!Double.isNaN(r.noticeS()) && !m.draining) {
            drain(m, r.noticeS());
        }
        ordersDirty.add(m);
        return true;
    }

    private void drain(Machine m, double noticeS) {
        m.draining = true;
        for (Placement p : m.there()) {
            JobSpec s = p.job.spec;
            if (s.checkpointS() > 0 && !s.service()) {
                stop(p, noticeS > s.saveS() ? Math.ceil(s.saveS()) : 0);
            } else if (s.service() || noticeS < s.estimateS() / 4) {
                stop(p, 0);
            }
        }
        passWanted = true;
    }

    /** A reported attempt that this term didn't launch: from an earlier owner, if its task isn't elsewhere. */
    private Placement adopt(Machine m, TaskReport t, long now) {
        int slash = t.task().lastIndexOf('/');
        Job job = slash < 0 ? null : jobs.get(t.task().substring(0, slash));
        if (job == null || job.status != Job.Status.LIVE) {
            return null;
        }
        int index;
        try {
            index = Integer.parseInt(t.task().substring(slash + 1));
        } catch (NumberFormatException e) {
            return null;
        }
        if (index < 0 || index >= job.spec.tasks() || job.done.get(index)) {
            return null;
        }
        if (t.state() == State.EXITED ? !"done".equals(t.why()) || job.spec.service() : job.live.containsKey(index)) {
            return null;
        }
        Placement p = new Placement(job, index, t.attempt(), m, now);
        m.add(p);
        if (t.state() != State.EXITED) {
            job.live.put(index, p);
            job.pending.clear(index);
        }
        return p;
    }

    private void update(Placement p, TaskReport t, long now) {
        if (p.state == State.EXITED) {
            return;
        }
        if (t.state() == State.RUNNING && p.state != State.RUNNING) {
            p.runningAt = now;
        }
        if (t.state() == State.RUNNING || t.state() == State.SAVING) {
            p.machine.images.put(p.job.spec.image(), now);
        }
        p.state = t.state();
        if (t.state() == State.EXITED) {
            exited(p, t.why(), now);
        }
    }

    private void exited(Placement p, String why, long now) {
        Machine m = p.machine;
        Job job = p.job;
        m.release(p);
        boolean done = "done".equals(why) && !job.spec.service();
        if (done) {
            boolean first = !job.done.get(p.index);
            job.done.set(p.index);
            job.pending.clear(p.index);
            Placement other = job.live.get(p.index);
            if (other != null && other != p) {
                stop(other, 0);
            }
            if (job.committed.get(p.index)) {
                p.clearable = true;
            }
            if (first) {
                progressDirty.add(job);
                double ran = p.runningAt > 0 ? (now - p.runningAt) / 1000.0 : job.spec.estimateS();
                job.partialSize += ran;
                if (p.runningAt > 0) {
                    runRatio.merge(job.spec.jobClass(), ran / Math.max(1, job.spec.estimateS()),
                            (old, newest) -> old + Constants.RUN_RATIO_WEIGHT * (newest - old));
                }
                for (Job mover : Tyrex.movers(jobs.values())) {
                    mover.moved = true;
                    mover.partialSize = 0;
                }
            }
            m.failedJobs.clear();
        } else {
            p.clearable = true;
            if ("error".equals(why)) {
                job.failures++;
                blame(m, job, now);
                back(job, p.index, now);
            } else if ("unknown".equals(why)) {
                back(job, p.index, now);
            } else if ("full".equals(why) || "busy".equals(why)) {
                m.noRoomUntil = now + 1_000;
            }
        }
        freeTask(p);
        if (done) {
            job.failures = 0;
            job.failedOn.clear();
        }
    }

    private void back(Job job, int index, long now) {
        long wait = Math.min(Constants.TASK_BACKOFF_MAX_MS, Constants.TASK_BACKOFF_MS << Math.min(job.failures, 5));
        job.notBefore.put(index, now + (job.failures <= 1 ? 0 : wait));
    }

    /**
     * Errors of several jobs, none of which failed elsewhere too, are the machine's: it gets nothing new for a while. What
     * runs there is left alone; a machine that only fails what it starts does no harm to it.
     */
    private void blame(Machine m, Job job, long now) {
        m.failedJobs.add(job.spec.id());
        job.failedOn.add(m.id);
        int own = 0;
        for (String id : m.failedJobs) {
            Job other = jobs.get(id);
            own += other != null && other.failedOn.size() == 1 ? 1 : 0;
        }
        if (own >= Constants.MACHINE_ERRORS) {
            m.faulty = true;
            m.faultyUntil = now + Constants.QUARANTINE_MS;
        }
    }

    private void stop(Placement p, double graceS) {
        if (!p.stop || graceS < p.graceS) {
            p.stop = true;
            p.graceS = graceS;
            if (graceS == 0) {
                p.machine.release(p);
            }
            ordersDirty.add(p.machine);
        }
    }

    // ---- orders ----

    /** The difference between what the machine reported and what is wanted, as orders. */
    public List<Order> orders(Machine m) {
        List<Order> orders = new ArrayList<>();
        List<Order> clears = new ArrayList<>();
        for (TaskReport t : m.reported) {
            Placement p = m.placements.get(Machine.key(t.task(), t.attempt()));
            if (t.state() == State.EXITED) {
                if (p == null || p.clearable && !p.launchMayFollow()) {
                    clears.add(new Order(Order.Verb.FORGET, t.task(), t.attempt(), 0));
                }
            } else if (p == null) {
                // Of no live job, or a second attempt: it goes. Unheard machines too; their tasks belong to no one else.
                orders.add(new Order(Order.Verb.STOP, t.task(), t.attempt(), 0));
            } else if (p.stop && (t.state() != State.SAVING || p.graceS == 0)) {
                orders.add(new Order(Order.Verb.STOP, t.task(), t.attempt(), p.graceS));
            }
        }
        orders.addAll(clears);
        if (m.registered) {
            for (Placement p : m.placements.values()) {
                if (p.state == State.SENT && !p.stop) {
                    orders.add(new Order(Order.Verb.START, p.taskId(), p.attempt, 0));
                }
            }
        }
        return orders;
    }

    /** The orders go out as the answer to a report. */
    public void sentInAnswer(Machine m, List<Order> orders) {
        for (Order o : orders) {
            Placement p = m.placements.get(Machine.key(o.task(), o.attempt()));
            if (o.verb() == Order.Verb.START && p != null) {
                p.viaHello = true;
            }
        }
    }

    public void sentDirect(Machine m, List<Order> orders) {
        m.directBusy = true;
        for (Order o : orders) {
            Placement p = m.placements.get(Machine.key(o.task(), o.attempt()));
            if (o.verb() == Order.Verb.START && p != null) {
                p.directInFlight = true;
            }
        }
    }

    /** A direct call ended. {@code settled}: it was executed, refused or never sent; otherwise it may be executed late. */
    public void directEnded(Machine m, List<Order> orders, long tenure, boolean settled) {
        m.directBusy = false;
        for (Order o : orders) {
            Placement p = m.placements.get(Machine.key(o.task(), o.attempt()));
            if (o.verb() == Order.Verb.START && p != null) {
                p.directInFlight = false;
                if (!settled && m.tenure == tenure) {
                    p.directDoubt = true;
                }
            }
        }
    }

    // ---- placing ----

    /** One pass over what waits, by the order that the design gives. */
    public void pass(long now) {
        lastNow = now;
        passWanted = false;
        partition();
        boolean settled = settled();
        List<Job> first = new ArrayList<>();
        List<Job> second = new ArrayList<>();
        for (Job job : jobs.values()) {
            if (job.status == Job.Status.LIVE && !job.pending.isEmpty() && (settled || job.under == baton)) {
                (job.second() ? second : first).add(job);
            }
        }
        // Exception to the design (docs/design.md, "rank before arrival"): arrival order holds among jobs of one rank.
        Comparator<Job> order = Comparator.<Job, JobSpec.Rank>comparing(j -> j.spec.rank()).thenComparing((a, b) -> Long.compareUnsigned(a.order, b.order));
        first.sort(order);
        second.sort(order);
        List<Machine> firstMachines = new ArrayList<>();
        List<Machine> secondMachines = new ArrayList<>();
        for (Machine m : machines.values()) {
            (m.first ? firstMachines : secondMachines).add(m);
        }
        for (Job job : second) {
            place(job, secondMachines, firstMachines, true, now);
        }
        for (Job job : first) {
            place(job, firstMachines, secondMachines, false, now);
        }
    }

    private void place(Job job, List<Machine> own, List<Machine> others, boolean keepOneFree, long now) {
        for (int i = job.pending.nextSetBit(0); i >= 0; i = job.pending.nextSetBit(i + 1)) {
            if (job.notBefore.get(i) > now) {
                continue;
            }
            if (!withinLimit(job.spec)) {
                return;
            }
            Machine m;
            if (job.spec.service()) {
                // Exception to the design (docs/design.md, "production first"): services go where their image is, and stop
                // lower work anywhere.
                Placer.Choice choice = Placer.preempt(job, machines.values(), now);
                if (choice != null) {
                    choice.victims().forEach(v -> stop(v, 0));
                }
                m = choice == null ? null : choice.machine();
            } else {
                m = Placer.choose(job, own, now);
                if (m == null) {
                    m = Placer.choose(job, keepOneFree ? lendable(others) : others, now);
                }
            }
            if (m == null) {
                return;
            }
            start(job, i, m, now);
        }
    }

    /** The first partition lends what is beyond one machine kept free. */
    private static List<Machine> lendable(List<Machine> first) {
        int idle = 0;
        for (Machine m : first) {
            if (m.usable() && m.idle()) {
                idle++;
            }
        }
        List<Machine> list = new ArrayList<>();
        for (Machine m : first) {
            if (idle - (m.idle() ? 1 : 0) >= Constants.FIRST_KEEPS_FREE) {
                list.add(m);
            }
        }
        return list;
    }

    private void start(Job job, int index, Machine m, long now) {
        if (attempts >= 1L << Constants.ATTEMPT_BITS) {
            throw new IllegalStateException("out of attempt numbers under this baton");
        }
        long attempt = (baton << Constants.ATTEMPT_BITS) + attempts++;
        Placement p = new Placement(job, index, attempt, m, now);
        m.add(p);
        job.live.put(index, p);
        job.pending.clear(index);
        ordersDirty.add(m);
    }

    /**
     * Whether a new baton is due: a cancelled task's direct launch has been under way for so long that it might be executed
     * after the job's time to be gone, and only a newer token makes workers refuse it; or attempt numbers are nearly used up.
     */
    public boolean fenceDue(long now) {
        if (attempts > (1L << Constants.ATTEMPT_BITS) - 10_000) {
            return true;
        }
        for (Machine m : machines.values()) {
            for (Placement p : m.placements.values()) {
                if (p.job.status == Job.Status.ABORTED && p.state == State.SENT && p.directDoubt && now - p.job.abortedAt > Constants.FENCE_MS) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Counts every task of the team that may be anywhere. */
    private boolean withinLimit(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        if (team == null || team.cpusMax() <= 0 && team.gpusMax() <= 0) {
            return true;
        }
        double cpus = spec.cpus();
        double gpus = spec.gpus();
        for (Machine m : machines.values()) {
            for (Placement p : m.placements.values()) {
                if (p.there() && p.job.spec.team().equals(spec.team())) {
                    cpus += p.job.spec.cpus();
                    gpus += p.job.spec.gpus();
                }
            }
        }
        // Machines of earlier terms that haven't reported may hold tasks nobody here has counted.
        return settled() && (team.cpusMax() <= 0 || cpus <= team.cpusMax() + 1e-6) && (team.gpusMax() <= 0 || gpus <= team.gpusMax() + 1e-6);
    }

    /** Keeps 30 % of the machines in the first partition: spot ones first, since services can't use them. */
    private void partition() {
        Collection<Machine> all = machines.values();
        int have = 0;
        int usable = 0;
        for (Machine m : all) {
            if (m.usable()) {
                usable++;
                have += m.first ? 1 : 0;
            } else {
                m.first = false;
            }
        }
        int want = (int) Math.round(usable * firstShare);
        if (have == want) {
            return;
        }
        boolean join = have < want;
        List<Machine> candidates = new ArrayList<>();
        for (Machine m : all) {
            if (m.usable() && m.first != join) {
                candidates.add(m);
            }
        }
        Comparator<Machine> order = Comparator.comparing((Machine m) -> m.spot == join ? 0 : 1).thenComparing(m -> m.id);
        candidates.sort(order);
        for (Machine m : candidates.subList(0, Math.min(candidates.size(), Math.abs(want - have)))) {
            m.first = join;
        }
    }

    /** Partial sizes by job, for the controller's one value. */
    public Map<String, Double> sizes() {
        Map<String, Double> sizes = new HashMap<>();
        for (Job job : jobs.values()) {
            if (job.status == Job.Status.LIVE && !job.spec.service() && (job.partialSize > 0 || job.moved)) {
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
