package org.hollypick.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
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
import org.hollypick.core.tyrex.Tyrex;

/**
 * What one owner knows during one term, and what it decides. Pure: time comes in with each event, effects are left in the
 * dirty sets for the loops around to carry out. docs/safety.md argues why its decisions keep the rules.
 */
public final class Scheduler {
    public final long baton;
    private final Settings settings;
    private final long termStart;
    private final Planner planner;
    private final TeamUse teamUse = new TeamUse();
    private boolean settled;
    private long attempts;
    private long lastNow;
    private Arrived arrived = new Arrived(0, 0, 0);
    /** By class of jobs: how the run times of finished tasks compare with the estimates. */
    private final Map<String, RunTimes> runTimes = new HashMap<>();

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

    public Scheduler(long baton, Settings settings, double firstShare, long now) {
        this.baton = baton;
        this.settings = settings;
        this.termStart = now;
        this.planner = new Planner(this, firstShare);
    }

    /** How long after its last answered report a worker may still run its tasks. */
    private long leaseMs() {
        return (long) (settings.leaseS() * 1000 * (1 + Constants.DRIFT)) + Constants.CLOCK_MARGIN_MS + 500;
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
        arrived = spec.service() ? new Arrived(arrived.arrays, arrived.arrayWork, arrived.serviceCores + cores)
                : new Arrived(arrived.arrays + 1, arrived.arrayWork + cores * expectedRunS(job), arrived.serviceCores);
        passWanted = true;
    }

    /** What arrived in a while: array jobs, their work in core-seconds, and the cores of services. */
    public record Arrived(int arrays, double arrayWork, double serviceCores) {}

    public Arrived takeArrived() {
        Arrived taken = arrived;
        arrived = new Arrived(0, 0, 0);
        return taken;
    }

    /** The owner's estimate, corrected by how those of its class have been wrong so far. */
    public double expectedRunS(Job job) {
        RunTimes seen = runTimes.get(job.spec.jobClass());
        return Math.max(1, job.spec.estimateS()) * (seen == null ? 1 : seen.ratio());
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
        for (Iterator<Placement> i = job.uncommitted.iterator(); i.hasNext();) {
            Placement p = i.next();
            if (job.committed.get(p.index)) {
                p.clearable = true; // the order goes with the answer to the machine's next report
                i.remove();
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
        settled &= m.heard;
        return m;
    }

    /** The machine and everything on it are certainly gone. */
    public void machineGone(String id) {
        Machine m = machines.remove(id);
        gone.add(id);
        if (m != null) {
            loseAll(m);
            ordersDirty.remove(m);
            ordersUrgent.remove(m);
            toRegister.remove(m);
            freed.remove(m);
        }
        toForget.add(id);
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
        p.machine.placements.remove(p.attempt);
        p.machine.release(p);
        p.job.uncommitted.remove(p);
        if (p.there()) {
            p.become(State.EXITED);
            freeTask(p);
        }
    }

    private void freeTask(Placement p) {
        Job job = p.job;
        if (job.unplaced(p)) {
            teamUse.add(job.spec, -1);
            if (job.status == Job.Status.LIVE && !job.done.get(p.index)) {
                job.pending.set(p.index);
                passWanted = true;
            }
        }
        if (p.machine.idle()) {
            p.machine.idleSince = Math.max(p.machine.idleSince, lastNow);
        }
        freed.add(p.machine);
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

    /** Whether no machine of an earlier term can still hold tasks that this one doesn't know of. Once so, it stays so. */
    public boolean settled() {
        if (!settled) {
            settled = machines.values().stream().allMatch(m -> m.heard);
        }
        return settled;
    }

    /** It is durable that the machine may hold tasks: from now on it may, unless it went while that was written. */
    public void registered(Machine m) {
        m.registered = true;
        if (machines.get(m.id) == m) {
            freed.add(m);
        }
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
            if (!m.registered) {
                toRegister.add(m);
            }
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
        m.beginReport();
        for (TaskReport t : r.tasks()) {
            Placement p = m.at(t.task(), t.attempt());
            if (p == null) {
                p = adopt(m, t, now);
            }
            if (p != null) {
                m.listed(p);
                update(p, t, now);
            }
        }
        for (Placement p : m.unlisted()) {
            if (p.state() != State.SENT || p.stop && !p.launchMayFollow()) {
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
        if (index < 0 || index >= job.spec.tasks() || job.done.get(index) || m.placements.containsKey(t.attempt())) {
            return null;
        }
        if (t.state() == State.EXITED ? !"done".equals(t.why()) || job.spec.service() : job.live.containsKey(index)) {
            return null;
        }
        Placement p = new Placement(job, index, t.attempt(), m, now);
        m.add(p);
        if (t.state() != State.EXITED) {
            job.placed(p);
            teamUse.add(job.spec, 1);
        }
        return p;
    }

    private void update(Placement p, TaskReport t, long now) {
        if (!p.there()) {
            return;
        }
        if (t.state() == State.RUNNING && p.state() != State.RUNNING) {
            p.runningAt = now;
        }
        if (t.state() == State.RUNNING || t.state() == State.SAVING) {
            p.machine.images.put(p.job.spec.image(), now);
        }
        p.become(t.state());
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
            } else {
                job.uncommitted.add(p);
            }
            if (first) {
                progressDirty.add(job);
                double ran = p.runningAt > 0 ? (now - p.runningAt) / 1000.0 : job.spec.estimateS();
                job.partialSize += ran;
                if (p.runningAt > 0) {
                    runTimes.computeIfAbsent(job.spec.jobClass(), k -> new RunTimes()).add(ran, Math.max(1, job.spec.estimateS()));
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

    public void stop(Placement p, double graceS) {
        if (!p.stop || graceS < p.graceS) {
            p.stop = true;
            p.graceS = graceS;
            if (graceS == 0) {
                p.machine.release(p);
                freed.add(p.machine);
            }
            wantOrders(p);
        }
    }

    // ---- orders ----

    /** The difference between what the machine reported and what is wanted, as orders. */
    public List<Order> orders(Machine m) {
        List<Order> orders = new ArrayList<>();
        List<Order> clears = new ArrayList<>();
        for (TaskReport t : m.reported) {
            Placement p = m.at(t.task(), t.attempt());
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
                if (p.state() == State.SENT && !p.stop) {
                    orders.add(new Order(Order.Verb.START, p.taskId, p.attempt, 0));
                }
            }
        }
        return orders;
    }

    /** The orders go out as the answer to a report. */
    public void sentInAnswer(Machine m, List<Order> orders) {
        for (Order o : orders) {
            Placement p = m.at(o.task(), o.attempt());
            if (o.verb() == Order.Verb.START && p != null) {
                p.viaHello = true;
            }
        }
    }

    public void sentDirect(Machine m, List<Order> orders) {
        m.directBusy = true;
        for (Order o : orders) {
            Placement p = m.at(o.task(), o.attempt());
            if (o.verb() == Order.Verb.START && p != null) {
                p.directInFlight = true;
            }
        }
    }

    /** A direct call ended. {@code settled}: it was executed, refused or never sent; otherwise it may be executed late. */
    public void directEnded(Machine m, List<Order> orders, long tenure, boolean settled) {
        m.directBusy = false;
        for (Order o : orders) {
            Placement p = m.at(o.task(), o.attempt());
            if (o.verb() == Order.Verb.START && p != null) {
                p.directInFlight = false;
                if (!settled && m.tenure == tenure) {
                    p.directDoubt = true;
                }
            }
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

    public void start(Job job, int index, Machine m, long now) {
        if (attempts >= 1L << Constants.ATTEMPT_BITS) {
            throw new IllegalStateException("out of attempt numbers under this baton");
        }
        long attempt = (baton << Constants.ATTEMPT_BITS) + attempts++;
        Placement p = new Placement(job, index, attempt, m, now);
        m.add(p);
        job.placed(p);
        teamUse.add(job.spec, 1);
        wantOrders(p);
    }

    /** Orders for services go out first. */
    private void wantOrders(Placement p) {
        (p.job.spec.service() ? ordersUrgent : ordersDirty).add(p.machine);
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
                if (p.job.status == Job.Status.ABORTED && p.state() == State.SENT && p.directDoubt && now - p.job.abortedAt > Constants.FENCE_MS) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Whether one more task keeps its team's limit. Machines of earlier terms may hold tasks nobody here has counted. */
    public boolean withinLimit(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        return team == null || team.cpusMax() <= 0 && team.gpusMax() <= 0 || settled() && teamUse.allows(team, spec);
    }

    /** Partial sizes by job, for the controller's one value. */
    public Map<String, Double> sizes() {
        Map<String, Double> sizes = new HashMap<>();
        for (Job job : jobs.values()) {
            if (job.status == Job.Status.LIVE && job.ready && !job.spec.service() && (job.partialSize > 0 || job.moved)) {
                sizes.put(job.spec.id(), job.moved ? -1 - job.partialSize : job.partialSize);
            }
        }
        return sizes;
    }

    public void restoreSize(Job job, double size) {
        job.moved = size < 0;
        job.partialSize = size < 0 ? -1 - size : size;
    }

    /** Run times and estimates, each followed by itself: a mean of their ratios would count the tasks estimated too low for too much. */
    private static final class RunTimes {
        private double ran;
        private double estimated;

        void add(double ranS, double estimatedS) {
            ran += Constants.RUN_RATIO_WEIGHT * (ranS - ran);
            estimated += Constants.RUN_RATIO_WEIGHT * (estimatedS - estimated);
        }

        double ratio() {
            return ran / estimated;
        }
    }
}
