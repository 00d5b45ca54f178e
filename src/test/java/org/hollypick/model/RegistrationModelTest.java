package org.hollypick.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.model.StateSearch.Result;
import org.hollypick.model.StateSearch.Successors;
import org.junit.jupiter.api.Test;

/**
 * A machine that comes up between its rental and its registration, gets work at once, and whose leader ends.
 *
 * <p>Bounds: one task, submitted before the leader changes; one new machine, rented by the first leader, and another
 * one that is well, known to both leaders and empty; two leaders, one change; {@value #TICKS} ticks of time, a lease of
 * {@value #LEASE}. The machine may be up before the answer to the rental comes, or without one, and before or after the
 * cloud's list shows it. Reports, answers, launches and the answers to launches may be lost or come late by any time;
 * one copy of a report is held back. Two transactions register the machine, each carried out at any time or never, its
 * answer lost or not. The machine may be gone at any time; its session's end takes it out of play.
 *
 * <p>Predicate, from the rules: the task isn't on both machines ({@code ran_twice}).
 */
class RegistrationModelTest {
    private static final int TICKS = 4;
    private static final int LEASE = 2;
    private static final int NEVER = -1;
    private static final int WRITES = 2;
    private static final int FIRST = 1;
    private static final int SECOND = 2;

    private enum Fault {
        NONE,
        LAUNCHES_BEFORE_THE_REGISTRATION_IS_KNOWN,
        A_LOST_ANSWER_COUNTS_AS_REGISTERED,
        A_HELD_BACK_REPORT_IS_A_FIRST_WORD,
        DOES_NOT_WAIT_FOR_REGISTERED_MACHINES,
        WHAT_IS_NOT_LISTED_YET_IS_GONE,
        COUNTS_THE_LEASE_FROM_THE_REPORT
    }

    /** The transaction that registers the machine, as its writer knows it. */
    private enum Write {
        NONE,
        UNDER_WAY,
        CARRIED_OUT
    }

    private static final class State implements Cloneable {
        int now;
        int leader = FIRST;
        int termStart;

        // the machine and its agent
        boolean up;
        boolean over;
        boolean there;
        int leaseFrom = NEVER;
        int seenToken;
        boolean listed;
        /** The task is on the other machine. */
        boolean elsewhere;

        // messages
        int reportAt = NEVER;
        boolean reportShows;
        int reportToken;
        boolean reportTaken;
        int answerToken;
        /** The answer under way, or a direct call, launches the task. */
        boolean answerLaunches;

        boolean launchUnderWay;
        /** A copy of a report, held back; it was written before the task came. */
        boolean copy;

        // the registration
        Write write = Write.NONE;
        int writes;
        boolean lateWrite;
        boolean durable;

        // what the leader knows
        boolean known;
        boolean heardOf;
        boolean registered;
        boolean heard = true;
        boolean proved;
        boolean lapsed;
        int answeredAt = NEVER;
        boolean placed;
        boolean shown;
        /** It counts the machine as gone. */
        boolean gone;

        boolean sawListed;
        boolean ranTwice;

        State next(Consumer<State> change) {
            try {
                State s = (State) clone();
                change.accept(s);
                s.ranTwice = s.there && s.elsewhere;
                return s;
            } catch (CloneNotSupportedException e) {
                throw new AssertionError(e);
            }
        }

        StateKey.Packed key() {
            StateKey key = new StateKey().number(now, 3).flag(leader == FIRST).number(termStart, 3);
            key.flag(up)
                    .flag(over)
                    .flag(there)
                    .time(leaseFrom, 3)
                    .number(seenToken, 2)
                    .flag(listed)
                    .flag(elsewhere);
            key.time(reportAt, 3)
                    .flag(reportShows)
                    .number(reportToken, 2)
                    .flag(reportTaken)
                    .number(answerToken, 2);
            key.flag(answerLaunches).flag(launchUnderWay).flag(copy);
            key.number(write.ordinal(), 2).number(writes, 2).flag(lateWrite).flag(durable);
            key.flag(known)
                    .flag(heardOf)
                    .flag(registered)
                    .flag(heard)
                    .flag(proved)
                    .flag(lapsed)
                    .time(answeredAt, 3);
            return key.flag(placed).flag(shown).flag(gone).flag(sawListed).packed();
        }

        /** The machine and all that is on it, or on its way to it, is gone. */
        void end() {
            over = true;
            there = false;
            launchUnderWay = false;
            answerToken = 0;
            answerLaunches = false;
        }

        /** The leader knows that nothing can be on the machine. */
        void nothingThere() {
            placed = false;
            shown = false;
            heard = true;
        }

        @Override
        public String toString() {
            return "now=" + now + " leader=" + leader + " up=" + up + " there=" + there + " durable=" + durable
                    + " registered=" + registered + " heard=" + heard + " placed=" + placed
                    + " elsewhere=" + elsewhere + "\n";
        }
    }

    private static void next(State s, Fault fault, Successors<State> to) {
        if (s.now < TICKS) {
            to.add("time passes", s.next(RegistrationModelTest::tick));
        }
        cloud(s, fault, to);
        registration(s, fault, to);
        worker(s, to);
        reports(s, fault, to);
        leader(s, fault, to);
    }

    private static void tick(State s) {
        s.now++;
        if (s.up && !s.over && s.now > s.leaseFrom + LEASE) {
            s.end();
        }
        if (s.known && !s.gone && s.now > Math.max(s.answeredAt, s.termStart) + LEASE && (!s.heard || s.heardOf)) {
            s.lapsed |= s.heardOf;
            s.nothingThere();
        }
    }

    // ---- the cloud: control.Rentals ----

    private static void cloud(State s, Fault fault, Successors<State> to) {
        if (!s.up && !s.over) {
            to.add("the machine comes up", s.next(t -> {
                t.up = true;
                t.leaseFrom = t.now;
            }));
        }
        if (s.up && !s.over) {
            to.add("the machine is gone", s.next(State::end));
        }
        if (!s.known && s.leader == FIRST) {
            to.add("the rental is answered", s.next(t -> t.known = true));
        }
        if (!s.listed && !s.over) {
            to.add("the list shows the machine", s.next(t -> t.listed = true));
        }
        if (s.listed && !s.over && !s.sawListed) {
            to.add("the leader sees it in the list", s.next(t -> {
                t.sawListed = true;
                t.known = true;
            }));
        }
        // Once listed, it stays so until it is gone.
        boolean missing = (s.sawListed && s.over) || (fault == Fault.WHAT_IS_NOT_LISTED_YET_IS_GONE && !s.listed);
        if (s.known && missing && !s.gone) {
            to.add("the leader misses it in the list", s.next(t -> {
                t.gone = true;
                t.nothingThere();
            }));
        }
    }

    // ---- the registration: control.Registry ----

    private static void registration(State s, Fault fault, Successors<State> to) {
        if (s.leader == FIRST && s.heardOf && !s.registered && s.write == Write.NONE && s.writes < WRITES) {
            to.add("the leader registers the machine", s.next(t -> {
                t.write = Write.UNDER_WAY;
                t.writes++;
            }));
        }
        if (s.write == Write.UNDER_WAY && s.leader == FIRST) {
            to.add("the registration is carried out", s.next(t -> {
                t.write = Write.CARRIED_OUT;
                t.durable = true;
            }));
        }
        // Conditional on the leader record.
        if (s.lateWrite && s.leader == FIRST) {
            to.add("the late registration is carried out", s.next(t -> {
                t.lateWrite = false;
                t.durable = true;
            }));
        }
        if (s.write == Write.CARRIED_OUT && s.leader == FIRST) {
            to.add("the leader learns that the machine is registered", s.next(t -> {
                t.write = Write.NONE;
                t.registered = true;
            }));
        }
        if (s.write != Write.NONE && s.leader == FIRST) {
            to.add("the answer to the registration is lost", s.next(t -> {
                t.lateWrite |= t.write == Write.UNDER_WAY;
                t.write = Write.NONE;
                t.registered = fault == Fault.A_LOST_ANSWER_COUNTS_AS_REGISTERED;
            }));
        }
    }

    // ---- the agent ----

    private static void worker(State s, Successors<State> to) {
        if (!s.up || s.over) {
            return;
        }
        if (s.reportAt < s.now || s.there != s.reportShows || s.seenToken != s.reportToken) {
            to.add("the machine reports", s.next(t -> {
                t.reportAt = t.now;
                t.reportShows = t.there;
                t.reportToken = t.seenToken;
                t.reportTaken = false;
                t.answerToken = 0;
                t.answerLaunches = false;
            }));
        }
        if (s.answerToken != 0) {
            to.add("the answer reaches the machine", s.next(t -> {
                if (t.answerToken >= t.seenToken) {
                    t.seenToken = t.answerToken;
                    t.leaseFrom = t.reportAt;
                    t.there |= t.answerLaunches;
                }
                t.answerToken = 0;
                t.answerLaunches = false;
            }));
        }
        if (s.launchUnderWay) {
            to.add("the launch reaches the machine", s.next(t -> {
                t.launchUnderWay = false;
                if (t.seenToken <= FIRST) { // a lower token is refused
                    t.seenToken = FIRST;
                    t.there = true;
                }
            }));
        }
        if (s.leader > s.seenToken && s.known) {
            to.add("a question reaches the machine", s.next(t -> t.seenToken = t.leader));
        }
    }

    // ---- reports at the leader: control.Workers.hello, core.Ledger.report ----

    private static void reports(State s, Fault fault, Successors<State> to) {
        if (s.reportAt != NEVER && !s.reportTaken && s.reportToken <= s.leader && !s.lapsed && !s.gone) {
            to.add("the report reaches the leader", s.next(t -> {
                t.reportTaken = true;
                take(t, t.reportShows, t.reportToken, fault);
                t.answeredAt = fault == Fault.COUNTS_THE_LEASE_FROM_THE_REPORT ? t.reportAt - 1 : t.now;
                t.answerToken = t.leader;
                t.answerLaunches = t.leader == FIRST && t.placed && !t.shown;
            }));
        }
        if (s.leader == FIRST && s.reportAt != NEVER && !s.reportShows && !s.copy) {
            to.add("a copy of the report is held back", s.next(t -> t.copy = true));
        }
        if (s.leader == SECOND && s.copy && !s.heardOf && !s.gone) {
            to.add("the copy reaches the leader", s.next(t -> {
                t.copy = false;
                take(t, false, FIRST, fault);
                t.answeredAt = t.now;
            }));
        }
    }

    private static void take(State s, boolean shows, int token, Fault fault) {
        if (!s.known) {
            s.known = true;
            s.heard = true; // it isn't registered: no earlier leader can have given it a task
        }
        s.heardOf = true;
        boolean proof = token == s.leader || fault == Fault.A_HELD_BACK_REPORT_IS_A_FIRST_WORD;
        s.heard |= proof;
        s.proved |= proof;
        if (shows && !s.elsewhere) {
            s.placed = true;
            s.shown = true;
        } else if (!shows && s.shown) {
            s.placed = false;
            s.shown = false;
        }
    }

    // ---- the leader: core.Planner, core.Ledger.start ----

    private static void leader(State s, Fault fault, Successors<State> to) {
        boolean pending = !s.placed && !s.elsewhere;
        boolean tooEarly = fault == Fault.LAUNCHES_BEFORE_THE_REGISTRATION_IS_KNOWN && s.write != Write.NONE;
        boolean usable = (s.registered || tooEarly) && s.heardOf && s.proved && !s.lapsed && !s.gone;
        if (s.leader == FIRST && pending && usable && !s.launchUnderWay) {
            to.add("the leader starts the task on the machine", s.next(t -> {
                t.placed = true;
                t.shown = false;
                t.launchUnderWay = !t.over;
            }));
        }
        boolean unheard = s.leader == SECOND && s.known && !s.heard;
        boolean waits = unheard && fault != Fault.DOES_NOT_WAIT_FOR_REGISTERED_MACHINES;
        if (pending && !waits) {
            to.add("the leader starts the task elsewhere", s.next(t -> t.elsewhere = true));
        }
        if (s.placed && !s.shown && s.there && s.leader == FIRST) {
            to.add("the launch is answered", s.next(t -> {
                t.shown = true;
                t.reportTaken |= !t.reportShows; // older than that answer: it says nothing
            }));
        }
        if (s.leader == FIRST) {
            to.add("the leader ends, and another begins", s.next(RegistrationModelTest::change));
        }
    }

    /** The second leader knows the machines whose registration is durable. Where the task is, it has to find out. */
    private static void change(State s) {
        s.leader = SECOND;
        s.termStart = s.now;
        s.known = s.durable;
        s.registered = s.durable;
        s.heard = !s.durable;
        s.heardOf = false;
        s.proved = false;
        s.lapsed = false;
        s.gone = false;
        s.sawListed = false;
        s.answeredAt = NEVER;
        s.placed = false;
        s.shown = false;
        s.reportTaken = false;
        s.write = Write.NONE;
        s.lateWrite = false;
    }

    private static Result<State> search(Fault fault) {
        Set<StateKey.Packed> seen = new HashSet<>();
        return StateSearch.run(
                List.of(new State()), (s, to) -> next(s, fault, to), s -> s.ranTwice, s -> seen.add(s.key()));
    }

    @Test
    void aTaskIsNeverOnTwoMachines() {
        Result<State> result = search(Fault.NONE);
        assertFalse(result.broken(), () -> result.actions() + "\n" + result.trace());
        assertTrue(result.states() > 50_000, "states " + result.states());
        System.out.println("registration model: states " + result.states());
    }

    @Test
    void eachFaultIsFound() {
        for (Fault fault : Fault.values()) {
            if (fault != Fault.NONE) {
                Result<State> result = search(fault);
                assertTrue(result.broken(), fault.toString());
                System.out.println(
                        "registration model: " + fault + " after " + result.steps() + ": " + result.actions());
            }
        }
    }
}
