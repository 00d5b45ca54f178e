package org.hollypick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.model.StateSearch.Result;
import org.hollypick.model.StateSearch.Successors;
import org.junit.jupiter.api.Test;

/**
 * A team at its limit while one of its jobs is cancelled, a machine hangs and the leader changes.
 *
 * <p>Bounds: three jobs of one task each (the first may be cancelled, the second ends at some time, the third is
 * submitted before or after the leader changes); a limit of two tasks with the first two jobs running, or of one with
 * only the second running; two leaders, one change; {@value #TICKS} ticks of time, a lease of {@value #LEASE}. Each of
 * two machines holds two tasks. The first one may hang: its reports, their answers and a launch to it come late by any
 * time or never, and it gets no task but the first job's. The second one is well: its reports are answered at once, or
 * not at all; where the limit is one, a copy of one of them is held back for the second leader. A machine whose session
 * ends takes no part any more. Writes succeed at once, and users are told at once: {@code CancelModelTest} has their
 * losses.
 *
 * <p>Predicates, from the rules: what is on machines never exceeds the limit ({@code quota}); no task is on two
 * machines ({@code ran_twice}); nothing of a cancelled job is on a machine, or starts, later than {@value #CANCEL}
 * ticks after its user was told ({@code ran_cancelled}).
 */
class LimitModelTest {
    private static final int TICKS = 3;
    private static final int LEASE = 1;
    private static final int CANCEL = 1;
    private static final int NEVER = -1;
    private static final int MACHINES = 2;
    /** The second machine; the first one may hang. */
    private static final int WELL = 1;
    /** Tasks that a machine has room for. */
    private static final int ROOM = 2;

    /** The tasks; a set of them is a sum of these. */
    private static final int CANCELLED = 1;

    private static final int ENDING = 2;
    private static final int SUBMITTED = 4;
    private static final int[] TASKS = {CANCELLED, ENDING, SUBMITTED};

    /** Tokens of the two leaders. */
    private static final int FIRST = 1;

    private static final int SECOND = 2;

    private enum Fault {
        NONE,
        SILENCE_FREES_THE_LIMIT,
        BEING_TOLD_TO_STOP_FREES_THE_LIMIT,
        ONLY_WHAT_WAS_FOUND_COUNTS,
        TASKS_OF_CANCELLED_JOBS_DO_NOT_COUNT,
        AN_OLDER_REPORT_SHOWS_WHAT_IS_FOUND,
        OLDER_JOBS_START_AT_ONCE
    }

    private enum Rule {
        QUOTA,
        RAN_TWICE,
        RAN_CANCELLED
    }

    /** A machine with its agent, the messages on their way from and to it, and what the present leader knows of it. */
    private static final class Machine implements Cloneable {
        boolean sessionOver;
        int there;
        /** It lists the second job's task as done. */
        boolean listsDone;

        int leaseFrom;
        int seenToken = FIRST;
        /** The newest report. */
        int reportAt = NEVER;

        int reportTasks;
        boolean reportDone;
        int reportToken = FIRST;
        /** The present leader has it. */
        boolean reportTaken;
        /** The leader has the answer to a launch that is newer than it: it renews the lease, and says nothing else. */
        boolean reportOutdated;
        /** The answer under way to it: its token, 0 for none, and the tasks that it ends. */
        int answerToken;

        int answerStops;
        /** A direct launch under way: its token, 0 for none, and its task. */
        int launchToken;

        int launchTask;

        /** The leader's account: {@code core.ledger.Machine}. */
        boolean up = true;

        boolean heard = true;
        boolean strays;
        int answeredAt;
        int placed;
        /** Those of them that a report, or a launch's answer, has shown. */
        int shown;

        Machine copy() {
            try {
                return (Machine) clone();
            } catch (CloneNotSupportedException e) {
                throw new AssertionError(e);
            }
        }

        boolean known() {
            return heard && !strays;
        }

        void addTo(StateKey key) {
            key.flag(sessionOver)
                    .number(there, 3)
                    .flag(listsDone)
                    .time(leaseFrom, 3)
                    .number(seenToken, 2);
            key.time(reportAt, 3).number(reportTasks, 3).flag(reportDone).number(reportToken, 2);
            key.flag(reportTaken).flag(reportOutdated);
            key.number(answerToken, 2)
                    .number(answerStops, 3)
                    .number(launchToken, 2)
                    .number(launchTask, 3);
            key.flag(up)
                    .flag(heard)
                    .flag(strays)
                    .time(answeredAt, 3)
                    .number(placed, 3)
                    .number(shown, 3);
        }

        @Override
        public String toString() {
            return "{there=" + there + (sessionOver ? " session over" : "") + " placed=" + placed + " heard=" + heard
                    + " strays=" + strays + "}";
        }
    }

    /** A copy of a report, held back. */
    private record Copy(int machine, int tasks, boolean done) {}

    private static final class State implements Cloneable {
        final int limit;
        int now;
        int leader = FIRST;
        int termStart;
        Machine[] machines = {new Machine(), new Machine()};
        Copy copy;
        /** The third job: the token of its record's leader record, 0 while it isn't submitted. */
        int submittedUnder;
        /** The leader knows that the second job's task is done. */
        boolean done;
        /** The user's request to cancel is known to the leader; the cancellation is durable; a user was told. */
        boolean asked;

        boolean durable;
        int toldAt = NEVER;
        /** Tasks that this leader found of the one before, and whether it once knew all machines. */
        int found;

        boolean settled = true;
        /**
         * Tasks whose latest attempt was started on the second machine, and those whose latest was the second leader's.
         */
        int startedLastOnSecond = ENDING;

        int startedBySecond;
        Rule broken;

        State(int limit) {
            this.limit = limit;
        }

        State next(Consumer<State> change) {
            try {
                State s = (State) clone();
                s.machines = new Machine[] {machines[0].copy(), machines[1].copy()};
                change.accept(s);
                s.check();
                s.forget();
                return s;
            } catch (CloneNotSupportedException e) {
                throw new AssertionError(e);
            }
        }

        /** What can't matter any more is made the same in all states. */
        private void forget() {
            for (Machine m : machines) {
                m.answeredAt = now > m.answeredAt + LEASE ? NEVER : m.answeredAt;
                if (m.answerToken == 0 && m.reportTaken && (leader == SECOND || m == machines[WELL])) {
                    m.reportAt = now == m.reportAt ? now : NEVER;
                }
            }
            if (leader == SECOND && copy != null && machines[copy.machine].up) {
                copy = null;
            }
            if (leader == SECOND && now > termStart + LEASE) {
                termStart = NEVER;
            }
        }

        StateKey.Packed key() {
            StateKey key = new StateKey().flag(limit == 1).number(now, 3);
            key.flag(leader == FIRST).time(leader == FIRST ? NEVER : termStart, 3);
            key.number(submittedUnder, 2).flag(done).flag(asked).flag(durable).time(toldAt, 3);
            key.number(found, 3).flag(settled).number(startedLastOnSecond, 3).number(startedBySecond, 3);
            key.flag(copy != null).number(copy == null ? 0 : copy.machine, 1).number(copy == null ? 0 : copy.tasks, 3);
            key.flag(copy != null && copy.done);
            machines[0].addTo(key);
            machines[1].addTo(key);
            return key.packed();
        }

        private void check() {
            int first = machines[0].there;
            int second = machines[1].there;
            if (Integer.bitCount(first) + Integer.bitCount(second) > limit) {
                broken = Rule.QUOTA;
            } else if ((first & second) != 0) {
                broken = Rule.RAN_TWICE;
            } else if (toldAt != NEVER && now > toldAt + CANCEL && ((first | second) & CANCELLED) != 0) {
                broken = Rule.RAN_CANCELLED;
            }
        }

        boolean allHeard() {
            return machines[0].heard && machines[1].heard;
        }

        int placed() {
            return machines[0].placed | machines[1].placed;
        }

        @Override
        public String toString() {
            return "now=" + now + " leader=" + leader + " told=" + toldAt + " found=" + found + " " + List.of(machines)
                    + " broken=" + broken + "\n";
        }
    }

    private static void next(State s, Fault fault, Successors<State> to) {
        if (s.now < TICKS) {
            to.add("time passes", s.next(LimitModelTest::tick));
        }
        for (int i = 0; i < MACHINES; i++) {
            worker(s, i, fault, to);
            reports(s, i, fault, to);
            for (int task : TASKS) {
                if (mayStart(s, i, task, fault)) {
                    int machine = i;
                    to.add("leader starts task " + task + " on machine " + i, s.next(t -> start(t, machine, task)));
                }
            }
        }
        leader(s, to);
    }

    private static void tick(State s) {
        s.now++;
        for (Machine m : s.machines) {
            if (!m.sessionOver && s.now > m.leaseFrom + LEASE) {
                m.sessionOver = true;
                m.there = 0;
                m.listsDone = false;
                m.answerToken = 0;
                m.launchTask = 0;
                m.leaseFrom = NEVER;
            }
            if (leaseOver(s, m)) {
                m.placed = 0;
                m.shown = 0;
                m.strays = false;
                m.heard = true;
            }
        }
        settle(s);
    }

    /** By the leader's account ({@code core.Leases.over}). */
    private static boolean leaseOver(State s, Machine m) {
        return s.now > Math.max(m.answeredAt, s.termStart) + LEASE;
    }

    private static void settle(State s) {
        s.settled |= s.machines[0].known() && s.machines[1].known();
        s.found = s.settled ? 0 : s.found;
    }

    // ---- the agents ----

    private static void worker(State s, int i, Fault fault, Successors<State> to) {
        Machine m = s.machines[i];
        if (m.sessionOver) {
            return;
        }
        boolean changed = m.there != m.reportTasks || m.listsDone != m.reportDone || m.seenToken != m.reportToken;
        if (i == WELL) {
            to.add("machine " + i + " reports and is answered", s.next(t -> {
                report(t, t.machines[i]);
                reachLeader(t, i, fault);
                takeAnswer(t.machines[i]);
            }));
        } else if (m.reportAt < s.now || changed) {
            to.add("machine " + i + " reports", s.next(t -> report(t, t.machines[i])));
        }
        if (m.answerToken != 0) {
            to.add("answer reaches machine " + i, s.next(t -> takeAnswer(t.machines[i])));
        }
        if (m.launchTask != 0) {
            to.add("launch reaches machine " + i, s.next(t -> takeLaunch(t.machines[i])));
            if (m.launchToken == s.leader) {
                to.add("launch reaches machine " + i + " and is answered", s.next(t -> {
                    takeLaunch(t.machines[i]);
                    t.machines[i].shown |= m.launchTask & t.machines[i].there;
                    t.machines[i].reportOutdated = true;
                }));
            }
        }
        if (s.leader > m.seenToken) {
            to.add("question reaches machine " + i, s.next(t -> t.machines[i].seenToken = t.leader));
        }
        if ((m.there & ENDING) != 0) {
            to.add("task " + ENDING + " ends", s.next(t -> {
                t.machines[i].there &= ~ENDING;
                t.machines[i].listsDone = true;
            }));
        }
    }

    private static void report(State s, Machine m) {
        m.reportAt = s.now;
        m.reportTasks = m.there;
        m.reportDone = m.listsDone;
        m.reportToken = m.seenToken;
        m.reportTaken = false;
        m.reportOutdated = false;
        m.answerToken = 0; // the one to the report before comes too late
        m.answerStops = 0;
    }

    private static void takeAnswer(Machine m) {
        if (m.answerToken >= m.seenToken) {
            m.seenToken = m.answerToken;
            m.leaseFrom = m.reportAt;
            m.there &= ~m.answerStops;
        }
        m.answerToken = 0;
        m.answerStops = 0;
    }

    private static void takeLaunch(Machine m) {
        if (m.launchToken >= m.seenToken) {
            m.seenToken = m.launchToken;
            m.there |= m.launchTask;
        }
        m.launchTask = 0;
        m.launchToken = 0;
    }

    // ---- reports at the leader: core.Ledger.report, control.Workers.hello ----

    private static void reports(State s, int i, Fault fault, Successors<State> to) {
        Machine m = s.machines[i];
        boolean lapsed = m.up && leaseOver(s, m);
        if (i != WELL && m.reportAt != NEVER && !m.reportTaken && m.reportToken <= s.leader && !lapsed) {
            to.add("report of machine " + i + " reaches the leader", s.next(t -> reachLeader(t, i, fault)));
        }
        if (i == WELL && s.limit == 1 && s.copy == null && s.leader == FIRST && (m.reportTasks & ENDING) != 0) {
            to.add(
                    "a copy of the report of machine " + i + " is held back",
                    s.next(t -> t.copy = new Copy(i, m.reportTasks, m.reportDone)));
        }
        if (s.copy != null && s.copy.machine == i && s.leader == SECOND) {
            // Its agent waits for no answer to it any more. Once the machine was heard of, a copy is no word.
            to.add("the copy reaches the leader", s.next(t -> {
                take(t, i, s.copy.tasks, s.copy.done, FIRST, fault);
                t.copy = null;
            }));
        }
    }

    private static void reachLeader(State s, int i, Fault fault) {
        Machine m = s.machines[i];
        m.reportTaken = true;
        if (m.reportOutdated) {
            m.answeredAt = s.now;
        } else {
            take(s, i, m.reportTasks, m.reportDone, m.reportToken, fault);
        }
        m.answerToken = s.leader;
        m.answerStops = stops(s, m, m.reportTasks);
    }

    private static void take(State s, int i, int tasks, boolean done, int token, Fault fault) {
        Machine m = s.machines[i];
        m.up = true;
        m.answeredAt = s.now;
        s.done |= done;
        m.strays = false;
        for (int task : TASKS) {
            if ((tasks & task) == 0) {
                m.placed &= ~(task & m.shown);
                m.shown &= ~task;
            } else if ((m.placed & task) != 0 || adopted(s, i, task)) {
                m.placed |= task;
                m.shown |= task;
                boolean inThisTerm = token == s.leader || fault == Fault.AN_OLDER_REPORT_SHOWS_WHAT_IS_FOUND;
                s.found |= inThisTerm && !s.settled ? task & ~s.startedBySecond : 0;
            } else {
                m.strays |= fault != Fault.TASKS_OF_CANCELLED_JOBS_DO_NOT_COUNT;
            }
        }
        m.heard |= token == s.leader;
        settle(s);
    }

    /**
     * Whether the leader takes up a task that it didn't know to be there; if it is elsewhere too, the newer attempt
     * counts.
     */
    private static boolean adopted(State s, int i, int task) {
        boolean over = task == CANCELLED ? s.durable : task == ENDING && s.done;
        Machine other = s.machines[1 - i];
        if (over || ((other.placed & task) != 0 && (s.startedLastOnSecond & task) != 0 != (i == 1))) {
            return false;
        }
        other.placed &= ~task;
        other.shown &= ~task;
        return true;
    }

    /** Tasks that the answer to such a report ends. */
    private static int stops(State s, Machine m, int tasks) {
        int unwanted = (s.asked ? CANCELLED : 0) | (s.done ? ENDING : 0);
        return tasks & (~m.placed | unwanted);
    }

    // ---- the leader ----

    private static void leader(State s, Successors<State> to) {
        if (s.submittedUnder == 0 && s.leader == SECOND) {
            to.add("task " + SUBMITTED + " is submitted", s.next(t -> t.submittedUnder = t.leader));
        }
        if (!s.asked) {
            to.add("its user cancels task " + CANCELLED, s.next(t -> t.asked = true));
        }
        boolean launchMayCome = (unshown(s) & CANCELLED) != 0 || !s.allHeard();
        if (s.asked && !s.durable && !launchMayCome) {
            to.add("the cancellation is durable and told", s.next(t -> {
                t.durable = true;
                t.toldAt = t.now; // later would only be easier
            }));
        }
        if (s.leader == FIRST) {
            to.add("the leader changes", s.next(LimitModelTest::change));
        }
    }

    private static int unshown(State s) {
        return (s.machines[0].placed & ~s.machines[0].shown) | (s.machines[1].placed & ~s.machines[1].shown);
    }

    /** The second leader knows what is durable, and nothing of what is where. */
    private static void change(State s) {
        s.leader = SECOND;
        s.termStart = s.now;
        s.done = false;
        s.asked = s.durable;
        s.settled = false;
        for (Machine m : s.machines) {
            m.reportTaken = false;
            m.reportOutdated = false;
            m.up = false;
            m.heard = false;
            m.strays = false;
            m.answeredAt = NEVER;
            m.placed = 0;
            m.shown = 0;
        }
    }

    private static boolean mayStart(State s, int i, int task, Fault fault) {
        Machine m = s.machines[i];
        boolean wanted = task == CANCELLED ? !s.asked : task == ENDING ? !s.done : s.submittedUnder != 0;
        boolean older = task != SUBMITTED || s.submittedUnder != s.leader;
        boolean waits = older && !s.settled && fault != Fault.OLDER_JOBS_START_AT_ONCE;
        boolean usable = m.heard && m.up && !leaseOver(s, m) && Integer.bitCount(m.placed) < ROOM && m.launchTask == 0;
        // The machine that may hang gets nothing but the task that is cancelled.
        boolean suits = i == WELL || (s.leader == FIRST && task == CANCELLED);
        return suits && wanted && (s.placed() & task) == 0 && !waits && usable && withinLimit(s, fault);
    }

    private static void start(State s, int i, int task) {
        s.machines[i].placed |= task;
        s.machines[i].launchTask = task;
        s.machines[i].launchToken = s.leader;
        s.startedLastOnSecond = i == 1 ? s.startedLastOnSecond | task : s.startedLastOnSecond & ~task;
        s.startedBySecond |= s.leader == SECOND ? task : 0;
        if (i == WELL) {
            takeLaunch(s.machines[i]);
            s.machines[i].shown |= task;
        }
    }

    /** Whether one more task keeps the limit: {@code core.Scheduler.withinLimit}, {@code core.TeamUse}. */
    private static boolean withinLimit(State s, Fault fault) {
        int use = 0;
        int roomOfUnknown = 0;
        for (Machine m : s.machines) {
            int told = fault == Fault.BEING_TOLD_TO_STOP_FREES_THE_LIMIT && s.asked ? CANCELLED : 0;
            boolean silent = fault == Fault.SILENCE_FREES_THE_LIMIT && s.now > Math.max(m.answeredAt, s.termStart);
            use += silent ? 0 : Integer.bitCount(m.placed & ~told);
            roomOfUnknown += silent || m.known() ? 0 : ROOM;
        }
        int leftByOlder = s.limit - Integer.bitCount(s.found);
        boolean counted = !s.settled && fault != Fault.ONLY_WHAT_WAS_FOUND_COUNTS;
        return use + (counted ? Math.min(roomOfUnknown, leftByOlder) : 0) + 1 <= s.limit;
    }

    private static State running(State s, int i, int task) {
        return s.next(t -> {
            t.machines[i].there = task;
            t.machines[i].placed = task;
            t.machines[i].shown = task;
        });
    }

    private static Result<State> search(Fault fault) {
        State second = running(new State(1), 1, ENDING);
        State both = running(running(new State(2), 0, CANCELLED), 1, ENDING);
        State bothAndOneWaits = both.next(t -> t.submittedUnder = FIRST);
        Set<StateKey.Packed> seen = new HashSet<>();
        return StateSearch.run(
                List.of(both, bothAndOneWaits, second),
                (s, to) -> next(s, fault, to),
                s -> s.broken != null,
                s -> seen.add(s.key()));
    }

    @Test
    void theLimitIsKeptAndACancelledTaskIsGoneInTime() {
        Result<State> result = search(Fault.NONE);
        assertFalse(result.broken(), () -> "" + result.trace());
        assertTrue(result.states() > 50_000, "states " + result.states());
        System.out.println("limit model: states " + result.states());
    }

    @Test
    void eachFaultIsFound() {
        Map<Fault, Rule> found = new EnumMap<>(Fault.class);
        for (Fault fault : Fault.values()) {
            if (fault != Fault.NONE) {
                Result<State> result = search(fault);
                assertTrue(result.broken(), fault.toString());
                found.put(fault, result.last().broken);
                System.out.println("limit model: " + fault + " " + result.last().broken + " after " + result.steps()
                        + ": " + result.actions());
            }
        }
        assertEquals(Rule.RAN_TWICE, found.get(Fault.OLDER_JOBS_START_AT_ONCE));
    }
}
