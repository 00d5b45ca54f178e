package org.hollypick.core;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;
import org.hollypick.core.tyrex.Tyrex;

/**
 * The life of placements in one term: from the decision to start, through reports, to the certainty that nothing is
 * there.
 */
public final class AssignmentTable {
    private final Scheduler scheduler;
    private final long token;
    private final TeamUsage teamUse;
    private final FaultAttribution faultAttribution;
    private long attempts;

    AssignmentTable(Scheduler scheduler, TeamUsage teamUse) {
        this.scheduler = scheduler;
        this.token = scheduler.token;
        this.teamUse = teamUse;
        this.faultAttribution = new FaultAttribution(scheduler.jobs, scheduler.machines);
    }

    // ---- reports ----

    /**
     * Takes in a worker's report. False if it is older than what is known or from a session that is over: it says
     * nothing. {@code hello}: it came as a report, which no earlier answer to a report can still follow.
     */
    public boolean report(Machine m, Heartbeat r, boolean hello, long now) {
        scheduler.lastNow = now;
        if ((m.up && !r.newerThan(m.session, m.tick)) || outdated(m, r)) {
            return false;
        }
        m.seenToken = r.token();
        if (m.up && r.session() != m.session) {
            loseAll(m); // a new session: all that was there is gone, and late orders of the old one are refused
            m.needsReport = !m.reportedInSession;
            m.reportedInSession = false;
        }
        if (!m.up || r.session() != m.session) {
            m.sessionSince = now;
            m.lapsedAt = 0;
        }
        if (!m.up) {
            m.up = true;
            m.idleSince = now;
            if (!m.registered) {
                scheduler.toRegister.add(m);
            }
        }
        m.session = r.session();
        m.tick = r.tick();
        if (!r.addr().isEmpty()) {
            m.addr = r.addr();
        }
        m.reported = r.tasks();
        if (hello) {
            // A worker has one report in flight: the answer to the one before was taken or dropped by now.
            m.placements.values().forEach(p -> p.viaHello = false);
            scheduler.passWanted |= m.needsReport;
            m.needsReport = false;
            m.reportedInSession = true;
        }
        m.beginReport();
        boolean strays = false;
        for (TaskStatus t : r.tasks()) {
            Assignment p = m.at(t.task(), t.attempt());
            if (p == null) {
                p = adopt(m, t, now);
            }
            if (p != null) {
                m.listed(p, now);
                update(p, t, now);
                if (r.token() == token
                        && p.there()
                        && p.attempt >>> JobConstants.ATTEMPT_BITS != token
                        && !scheduler.settledBefore()) {
                    teamUse.found(p.spec, p.attempt);
                }
            } else if (t.state() != State.EXITED) {
                strays = true;
            }
        }
        scheduler.passWanted |= m.strays && !strays;
        m.strays = strays;
        for (Assignment p : m.unlisted()) {
            if (p.state() != State.SENT || (p.stop && !p.launchMayFollow())) {
                remove(p);
            }
        }
        // Only a report made under this token is final: older direct orders are refused from then on.
        if (r.token() == token && !(m.heard && m.proved)) {
            m.heard = true;
            proved(m);
        }
        if (!Double.isNaN(r.noticeS()) && !m.draining) {
            drain(m, r.noticeS());
        }
        scheduler.ordersDirty.add(m);
        return true;
    }

    /**
     * Whether a report says nothing whatever its count: of a session that is over, or with larger counts and a lower
     * token than the machine has shown. A worker's token never falls, so that was written in an earlier life.
     */
    public static boolean outdated(Machine m, Heartbeat r) {
        return Long.compareUnsigned(r.session(), m.minSession) < 0
                || (m.lapsed() && Long.compareUnsigned(r.session(), m.session) <= 0)
                || (m.up && r.newerThan(m.session, m.tick) && Long.compareUnsigned(r.token(), m.seenToken) < 0);
    }

    /** It is there, and not only an old report of it. */
    public void proved(Machine m) {
        scheduler.passWanted |= !m.proved;
        m.proved = true;
    }

    /**
     * An answer to a question that was put after larger counts were known: the worker has begun again, with nothing.
     * Only what an order still under way may bring is there yet, for a lease from now on at most.
     */
    public void begunAgain(Machine m, Heartbeat r, long now) {
        scheduler.lastNow = now;
        m.lapsedAt = now;
        m.sessionSince = now;
        m.beginReport();
        for (TaskStatus t : r.tasks()) {
            Assignment p = m.at(t.task(), t.attempt());
            if (p != null) {
                m.listed(p, now);
            }
        }
        for (Assignment p : m.unlisted()) {
            if (!p.launchMayFollow()) {
                remove(p);
            }
        }
        m.reported = List.of();
    }

    private void drain(Machine m, double noticeS) {
        m.draining = true;
        for (Assignment p : m.there()) {
            JobSpec s = p.spec;
            if (s.checkpointS() > 0 && !s.service()) {
                stop(p, noticeS > s.saveS() ? Math.ceil(s.saveS()) : 0);
            } else if (s.service() || noticeS < s.estimateS() / 4) {
                stop(p, 0);
            }
        }
        scheduler.passWanted = true;
    }

    /** A reported attempt that this term didn't launch: from an earlier leader, if its task isn't elsewhere. */
    private Assignment adopt(Machine m, TaskStatus t, long now) {
        int slash = t.task().lastIndexOf('/');
        Job job = slash < 0 ? null : scheduler.jobs.get(t.task().substring(0, slash));
        if (job == null || job.status != Job.Status.LIVE) {
            return null;
        }
        int index;
        try {
            index = Integer.parseInt(t.task().substring(slash + 1));
        } catch (NumberFormatException e) {
            return null;
        }
        if (index < 0 || index >= job.tasks() || job.done.get(index) || m.placements.containsKey(t.attempt())) {
            return null;
        }
        if (t.state() == State.EXITED && (!"done".equals(t.why()) || job.spec.service())) {
            return null;
        }
        Assignment other = t.state() == State.EXITED ? null : job.live.get(index);
        if (other != null) {
            if (Long.compareUnsigned(other.attempt, t.attempt()) > 0) {
                return null;
            }
            // a late copy of a report showed it: the newer attempt was only launched when the older was gone
            remove(other);
        }
        Assignment p = new Assignment(job, index, t.attempt(), m, now);
        m.add(p);
        if (t.state() != State.EXITED) {
            job.placed(p);
            teamUse.add(p.spec, 1);
            if (job.withdrawn) {
                stop(p, 0);
            }
        }
        return p;
    }

    private void update(Assignment p, TaskStatus t, long now) {
        if (!p.there()) {
            return;
        }
        if (t.state() == State.RUNNING && p.state() != State.RUNNING) {
            p.runningAt = now;
        }
        if (t.state() == State.RUNNING || t.state() == State.SAVING) {
            p.machine.images.put(p.spec.image(), now);
        }
        p.become(t.state());
        if (t.state() == State.EXITED) {
            exited(p, t.why(), now);
        }
    }

    private void exited(Assignment p, String why, long now) {
        Machine m = p.machine;
        Job job = p.job;
        m.release(p);
        boolean done = "done".equals(why) && !job.spec.service();
        if (done) {
            boolean first = !job.done.get(p.index);
            job.done.set(p.index);
            job.pending.clear(p.index);
            Assignment other = job.live.get(p.index);
            if (other != null && other != p) {
                stop(other, 0);
            }
            if (job.committed.get(p.index)) {
                p.clearable = true;
            } else {
                job.uncommitted.add(p);
            }
            if (first) {
                scheduler.progressDirty.add(job);
                double ran = p.runningAt > 0 ? (now - p.runningAt) / 1000.0 : p.spec.estimateS();
                job.partialSize += ran;
                if (p.runningAt > 0) {
                    scheduler.estimates.observe(p.spec, m.id, ran, false);
                }
                for (Job mover : Tyrex.movers(scheduler.jobs.values())) {
                    mover.moved = true;
                    mover.partialSize = 0;
                }
            }
            FaultAttribution.cleared(m, job, p.startedAt);
        } else {
            p.clearable = true;
            cutShort(p, now);
            faultAttribution.ended(m, job, p.index, why, now);
            if ("error".equals(why)) {
                job.errored(p.index);
            }
        }
        freeTask(p);
    }

    void loseAll(Machine m) {
        for (Assignment p : new ArrayList<>(m.placements.values())) {
            remove(p);
        }
        m.reported = List.of();
        m.strays = false;
    }

    /** Nothing of it can be on its machine any more. */
    private void remove(Assignment p) {
        if (p.there()) {
            cutShort(p, scheduler.lastNow);
        }
        p.machine.placements.remove(p.attempt);
        p.machine.release(p);
        p.job.uncommitted.remove(p);
        if (p.there()) {
            p.become(State.EXITED);
            freeTask(p);
        }
    }

    /** It ran for that long, and would have run for longer. */
    private void cutShort(Assignment p, long now) {
        if (p.runningAt > 0) {
            scheduler.estimates.observe(p.spec, p.machine.id, (now - p.runningAt) / 1000.0, true);
        }
    }

    private void freeTask(Assignment p) {
        Job job = p.job;
        if (job.unplaced(p)) {
            teamUse.add(p.spec, -1);
            if (job.wanted(p.index)) {
                job.pending.set(p.index);
                scheduler.passWanted = true;
            }
        }
        if (p.machine.idle()) {
            p.machine.idleSince = Math.max(p.machine.idleSince, scheduler.lastNow);
        }
        scheduler.freed.add(p.machine);
    }

    /** Everything in {@code job.committed} is durable; its exited attempts may be cleared. */
    public void progressCommitted(Job job) {
        for (Iterator<Assignment> i = job.uncommitted.iterator(); i.hasNext(); ) {
            Assignment p = i.next();
            if (job.committed.get(p.index)) {
                p.clearable = true; // the order goes with the answer to the machine's next report
                i.remove();
            }
        }
        job.committedMore();
    }

    // ---- starts and stops ----

    public void start(Job job, int index, Machine m, long now) {
        if (attempts >= 1L << JobConstants.ATTEMPT_BITS) {
            throw new IllegalStateException("out of attempt numbers under this token");
        }
        long attempt = (token << JobConstants.ATTEMPT_BITS) + attempts++;
        Assignment p = new Assignment(job, index, attempt, m, now);
        m.add(p);
        job.placed(p);
        teamUse.add(p.spec, 1);
        wantOrders(p);
    }

    /** Orders for services go out first. */
    private void wantOrders(Assignment p) {
        (p.job.spec.service() ? scheduler.ordersUrgent : scheduler.ordersDirty).add(p.machine);
    }

    public void stop(Assignment p, double graceS) {
        if (!p.stop || graceS < p.graceS) {
            p.stop = true;
            p.graceS = graceS;
            if (graceS == 0) {
                p.machine.release(p);
                scheduler.freed.add(p.machine);
            }
            wantOrders(p);
        }
    }

    // ---- orders ----

    /** The difference between what the machine reported and what is wanted, as orders. */
    public List<Command> orders(Machine m) {
        List<Command> orders = new ArrayList<>();
        List<Command> clears = new ArrayList<>();
        for (TaskStatus t : m.reported) {
            Assignment p = m.at(t.task(), t.attempt());
            if (t.state() == State.EXITED) {
                if (p == null || (p.clearable && !p.launchMayFollow())) {
                    clears.add(new Command(Command.Verb.FORGET, t.task(), t.attempt(), 0));
                }
            } else if (p == null) {
                // Of no live job, or a second attempt: it goes. Unheard machines too; their tasks belong to no one
                // else.
                orders.add(new Command(Command.Verb.STOP, t.task(), t.attempt(), 0));
            } else if (p.stop && (t.state() != State.SAVING || p.graceS == 0)) {
                orders.add(new Command(Command.Verb.STOP, t.task(), t.attempt(), p.graceS));
            }
        }
        orders.addAll(clears);
        if (m.registered) {
            for (Assignment p : m.placements.values()) {
                if (p.state() == State.SENT && !p.stop) {
                    orders.add(new Command(Command.Verb.START, p.taskId, p.attempt, 0));
                }
            }
        }
        return orders;
    }

    /** The orders go out as the answer to a report. */
    public void sentInAnswer(Machine m, List<Command> orders) {
        for (Command o : orders) {
            Assignment p = m.at(o.task(), o.attempt());
            if (o.verb() == Command.Verb.START && p != null) {
                p.viaHello = true;
            }
        }
    }

    public void sentDirect(Machine m, List<Command> orders) {
        m.directBusy = true;
        for (Command o : orders) {
            Assignment p = m.at(o.task(), o.attempt());
            if (o.verb() == Command.Verb.START && p != null) {
                p.directInFlight = true;
            }
        }
    }

    /**
     * A direct call ended. {@code settled}: it was executed, refused or never sent; otherwise it may be executed late.
     */
    public void directEnded(Machine m, List<Command> orders, long session, boolean settled) {
        m.directBusy = false;
        for (Command o : orders) {
            Assignment p = m.at(o.task(), o.attempt());
            if (o.verb() == Command.Verb.START && p != null) {
                p.directInFlight = false;
                if (!settled && m.session == session) {
                    p.directDoubt = true;
                }
            }
        }
    }

    /**
     * Whether a task of this job may yet start by a launch that was sent: it may be carried out, whichever way it went
     * out, or the machine waits for the image. A machine that can't be reached starts the task once the image is there,
     * as long as its lease lasts.
     */
    public boolean startMayCome(Job job) {
        for (Assignment p : job.live.values()) {
            if (p.state() == State.FETCHING || (p.state() == State.SENT && p.launchMayFollow())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether a launch of this job that went out directly may yet be carried out, at any time while the machine's
     * session and token last.
     */
    public boolean launchUnderWay(Job job) {
        return launchUnderWay(job, Long.MIN_VALUE);
    }

    /**
     * The same on a machine whose lease was renewed since: others' leases end by themselves, and the launch with them.
     */
    public boolean launchUnderWay(Job job, long renewedSince) {
        for (Assignment p : job.live.values()) {
            if (p.state() == State.SENT && (p.directInFlight || p.directDoubt) && p.machine.answeredAt > renewedSince) {
                return true;
            }
        }
        return false;
    }

    /** Attempt numbers are nearly used up: a new token brings new ones. */
    public boolean attemptsShort() {
        return attempts > (1L << JobConstants.ATTEMPT_BITS) - 10_000;
    }
}
