package org.hollypick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * All that can happen to one task on one machine while it is cancelled: two controllers that lead in turn, a state
 * service that comes and goes, a launch that is held up, reports and answers lost, late or doubled, a write whose
 * answer is lost. What must hold (docs/safety.md, "Who may renew a lease"): the task is gone in time once anybody was
 * told that it is cancelled, isn't started elsewhere while it may be there, and nobody is told an older answer. The
 * first controller launched the task; its store session is the one that counts. Times are in ticks; drift is
 * {@code WorkerLeasesTest}'s matter.
 */
class CancellationModelTest {
    private static final int TICKS = 8;
    private static final int LEASE = 3;
    private static final int CANCEL = 5;
    private static final int HOLD = 1;
    private static final int PROMISE = 1;
    /** For how long after a cancellation may be told, or after its own right ended, a controller may renew. */
    private static final int WINDOW = CANCEL - LEASE;

    private static final int NEVER = -1;

    /** The tokens: the first controller's, the same after a fence, the second one's. */
    private static final int FIRST = 1;

    private static final int FENCED = 2;
    private static final int SECOND = 3;

    private enum Fault {
        NONE,
        ONLY_WHAT_IS_DURABLE_GOES,
        WRITES_DESPITE_A_LAUNCH,
        WRITES_DESPITE_AN_OLDER_LAUNCH,
        A_COPY_IS_PROOF,
        CLAIMS_DESPITE_ITS_PROMISE,
        KEEPS_TOO_LONG,
        TELLS_WHAT_IS_IN_DOUBT
    }

    private enum Rule {
        RAN_CANCELLED,
        RAN_TWICE,
        WENT_BACK
    }

    /** One moment; copied for each thing that may happen next. */
    private static final class State implements Cloneable {
        int now;
        boolean up = true;
        /**
         * Until when the first one counts on its store session, the service does, and its promise from the second
         * lasts.
         */
        int holdUntil = HOLD;

        int serviceUntil = HOLD;
        int promisedUntil = NEVER;
        boolean holdGone;
        int leaderRecord = FIRST;
        /**
         * Until when the second one may have renewed the lease, or the first one and whoever renews leases under it.
         */
        int renewedUntil = NEVER;

        boolean secondFollowsAFence;
        /** The write of the cancellation: the token that it is conditional on, 0 for none; and what came of it. */
        int writing;

        boolean durable;
        boolean answered;
        boolean secondSees;
        /** The first one is to cancel it; since when its write may be carried out. */
        boolean asked;

        int writtenAt = NEVER;
        int toldAt = NEVER;
        boolean launchUnderWay = true;
        boolean there;
        /** What the first one knows of the task: shown by a report, or not yet. */
        boolean shown;
        /** The machine has reported under the present leader record's token, if that isn't the one of the launch. */
        boolean heard;

        int leaseFrom;
        int seenToken = FIRST;
        /** The newest report: when it was sent, what it shows; NEVER for none. */
        int reportAt = NEVER;

        boolean reportShows;
        int reportToken;
        /** The answer under way to it; 0 for none. */
        int answerToken;

        boolean answerKills;
        boolean elsewhere;
        Rule broken;

        State next(Consumer<State> change) {
            try {
                State s = (State) clone();
                change.accept(s);
                return s;
            } catch (CloneNotSupportedException e) {
                throw new AssertionError(e);
            }
        }

        /** All that bears on what may happen next, in 64 bits. */
        long key() {
            boolean lead = leaderRecord != SECOND;
            boolean rights = now <= entitledUntil() + WINDOW + 2;
            long k = 0;
            for (int time : new int[] {
                now,
                rights ? entitledUntil() : NEVER,
                lead && !holdGone ? serviceUntil : NEVER,
                now <= promisedUntil ? promisedUntil : NEVER,
                renewedUntil,
                writtenAt,
                toldAt,
                leaseFrom,
                reportAt
            }) {
                k = k << 4 | time + 1;
            }
            for (int token : new int[] {leaderRecord, writing, seenToken, reportToken, answerToken}) {
                k = k << 2 | token;
            }
            for (boolean bit : new boolean[] {
                up,
                holdGone,
                secondFollowsAFence,
                durable,
                answered,
                secondSees,
                asked,
                launchUnderWay,
                there,
                shown,
                heard,
                reportShows,
                answerKills,
                elsewhere
            }) {
                k = k << 1 | (bit ? 1 : 0);
            }
            return k;
        }

        @Override
        public String toString() {
            return "now=" + now + " up=" + up + " entitledUntil=" + entitledUntil() + " promisedUntil=" + promisedUntil
                    + " roster=" + leaderRecord + " writtenAt=" + writtenAt
                    + " durable=" + durable + " toldAt=" + toldAt + " launchUnderWay=" + launchUnderWay + " there="
                    + there + " shown=" + shown + " leaseFrom=" + leaseFrom
                    + " seenToken=" + seenToken + " reportAt=" + reportAt + " answerToken=" + answerToken
                    + " elsewhere=" + elsewhere + " broken=" + broken + "\n";
        }

        int entitledUntil() {
            return Math.max(holdUntil, promisedUntil);
        }

        boolean firstActs() {
            return leaderRecord != SECOND && now <= entitledUntil();
        }

        void told() {
            toldAt = toldAt == NEVER ? now : toldAt;
        }
    }

    private static void next(State s, Fault fault, Consumer<State> to) {
        if (s.now < TICKS) {
            State t = s.next(CancellationModelTest::tick);
            // A session that is over ends the task and refuses the launch: nothing more can happen here.
            if (t.now <= t.leaseFrom + LEASE) {
                to.accept(t);
            }
        }
        service(s, fault, to);
        cancellation(s, fault, to);
        machine(s, to);
        reports(s, fault, to);
    }

    private static void tick(State s) {
        s.now++;
        s.holdGone |= s.up && s.leaderRecord != SECOND && s.now > s.serviceUntil;
        if (s.there && s.toldAt != NEVER && s.now > s.toldAt + CANCEL && s.now <= s.leaseFrom + LEASE) {
            s.broken = Rule.RAN_CANCELLED;
        }
    }

    private static void service(State s, Fault fault, Consumer<State> to) {
        to.accept(s.next(t -> {
            t.up = !t.up;
            t.serviceUntil = t.up ? t.now + HOLD : t.serviceUntil; // holds have their full time again
        }));
        if (s.up && !s.holdGone && s.leaderRecord != SECOND) {
            to.accept(s.next(t -> {
                t.holdUntil = t.now + HOLD;
                t.serviceUntil = t.now + HOLD;
            }));
            if (s.leaderRecord == FIRST && s.firstActs()) {
                to.accept(s.next(t -> {
                    t.leaderRecord = FENCED;
                    t.heard = false;
                    // What isn't durable by now never will be, and is forgotten; what is, the new term finds.
                    t.asked = t.durable;
                    t.answered = t.durable;
                    t.writtenAt = NEVER;
                    t.writing = 0;
                }));
            }
        }
        if (s.leaderRecord != SECOND && !s.holdGone) {
            to.accept(s.next(t -> t.promisedUntil = t.now + PROMISE));
        }
        if (s.up
                && s.holdGone
                && s.leaderRecord != SECOND
                && (s.now > s.promisedUntil || fault == Fault.CLAIMS_DESPITE_ITS_PROMISE)) {
            to.accept(s.next(t -> {
                t.secondFollowsAFence = t.leaderRecord == FENCED;
                t.leaderRecord = SECOND;
                t.heard = false;
                t.renewedUntil = t.now + WINDOW;
                t.secondSees = t.durable;
            }));
        }
    }

    private static void cancellation(State s, Fault fault, Consumer<State> to) {
        if (s.firstActs() && !s.asked) {
            to.accept(s.next(t -> t.asked = true));
        }
        // A launch may come that no report has shown; after a fence, until a report comes that was made under the new
        // token.
        boolean launchMayCome = s.leaderRecord == FIRST
                ? !s.shown && fault != Fault.WRITES_DESPITE_A_LAUNCH
                : !s.heard && fault != Fault.WRITES_DESPITE_AN_OLDER_LAUNCH;
        if (s.firstActs() && s.asked && !s.durable && s.writing == 0 && !launchMayCome) {
            to.accept(s.next(t -> {
                t.writing = t.leaderRecord;
                t.writtenAt = t.now;
            }));
        }
        // Carried out at any later time, unless the leader record has changed.
        if (s.up && s.writing == s.leaderRecord && !s.durable) {
            to.accept(s.next(t -> t.durable = true));
        }
        if (s.durable && s.firstActs() && !s.answered) {
            to.accept(s.next(t -> {
                t.answered = true;
                t.told();
            }));
        }
        if (s.durable && s.up && !s.secondSees) {
            to.accept(s.next(t -> t.secondSees = true));
        }
        if (s.secondSees && s.toldAt == NEVER) {
            to.accept(s.next(State::told));
        }
        boolean secondKnows =
                s.heard || s.now > s.renewedUntil + LEASE || fault == Fault.WRITES_DESPITE_AN_OLDER_LAUNCH;
        if (s.leaderRecord == SECOND && s.up && !s.durable && secondKnows) {
            to.accept(s.next(t -> {
                t.durable = true;
                t.secondSees = true;
                t.told();
            }));
        }
        // The first one answers from memory that the job is live.
        boolean inDoubt = s.writtenAt != NEVER && fault != Fault.TELLS_WHAT_IS_IN_DOUBT;
        if (s.now <= s.entitledUntil() && !inDoubt && !s.answered && s.toldAt != NEVER) {
            to.accept(s.next(t -> t.broken = Rule.WENT_BACK));
        }
    }

    private static void machine(State s, Consumer<State> to) {
        if (s.launchUnderWay) {
            to.accept(s.next(t -> {
                t.launchUnderWay = false;
                t.there = t.seenToken == FIRST; // a lower token is refused
                boolean late = t.toldAt != NEVER && t.now > t.toldAt + CANCEL;
                t.broken = t.there && t.elsewhere ? Rule.RAN_TWICE : t.there && late ? Rule.RAN_CANCELLED : null;
            }));
        }
        if (s.there && !s.shown && s.firstActs()) {
            to.accept(s.next(t -> t.shown = true)); // the launch's own answer
        }
        // A question brings the token and renews nothing.
        if (s.leaderRecord == SECOND || s.firstActs()) {
            to.accept(s.next(t -> t.seenToken = Math.max(t.seenToken, t.leaderRecord)));
        }
        if (s.reportAt < s.now) {
            to.accept(s.next(t -> {
                t.reportAt = t.now;
                t.reportShows = t.there;
                t.reportToken = t.seenToken;
                t.answerToken = 0; // the one to the report before comes too late
            }));
        }
        if (s.answerToken != 0) {
            to.accept(s.next(t -> {
                if (t.answerToken >= t.seenToken) {
                    t.seenToken = t.answerToken;
                    t.leaseFrom = t.reportAt;
                    t.there &= !t.answerKills;
                }
                t.answerToken = 0;
            }));
        }
    }

    /** The newest report arrives, for the first or the tenth time, at either controller. */
    private static void reports(State s, Fault fault, Consumer<State> to) {
        if (s.reportAt == NEVER) {
            return;
        }
        int keptUntil = s.entitledUntil() + WINDOW + (fault == Fault.KEEPS_TOO_LONG ? 2 : 0);
        int token = s.leaderRecord == FENCED || s.secondFollowsAFence ? FENCED : FIRST;
        if (s.answerToken == 0 && s.reportToken <= token && s.now <= keptUntil) {
            to.accept(s.next(t -> {
                t.shown |= t.reportShows;
                t.heard |= t.leaderRecord == FENCED && t.reportToken == FENCED;
                t.answerToken = token;
                t.answerKills = t.reportShows && (fault == Fault.ONLY_WHAT_IS_DURABLE_GOES ? t.answered : t.asked);
            }));
        }
        if (s.leaderRecord == SECOND) {
            if (s.answerToken == 0) {
                to.accept(s.next(t -> {
                    t.heard |= t.reportToken == SECOND;
                    t.renewedUntil = Math.max(t.renewedUntil, t.now);
                    t.answerToken = SECOND;
                    t.answerKills = t.secondSees && t.reportShows;
                }));
            }
            boolean heard = s.reportToken == SECOND || fault == Fault.A_COPY_IS_PROOF;
            if (!s.elsewhere && ((heard && !s.reportShows) || s.now > s.renewedUntil + LEASE)) {
                to.accept(s.next(t -> {
                    t.elsewhere = true;
                    t.broken = t.there ? Rule.RAN_TWICE : t.broken;
                }));
            }
        }
    }

    private static StateSearch.Result<State> search(Fault fault) {
        State launching = new State();
        State running = launching.next(t -> {
            t.launchUnderWay = false;
            t.there = true;
            t.shown = true;
        });
        LongOpenHashSet seen = new LongOpenHashSet();
        return StateSearch.run(
                List.of(launching, running),
                (s, to) -> next(s, fault, t -> to.add("", t)),
                s -> s.broken != null,
                s -> seen.add(s.key()));
    }

    @Test
    void aCancelledTaskIsGoneInTimeWhateverMeets() {
        StateSearch.Result<State> result = search(Fault.NONE);
        assertFalse(result.broken(), () -> "" + result.trace());
        assertTrue(result.states() > 50_000, "states " + result.states());
        System.out.println("cancellation model: states " + result.states());
    }

    @Test
    void eachFaultIsFound() {
        Map<Fault, Rule> found = new HashMap<>();
        for (Fault fault : Fault.values()) {
            if (fault != Fault.NONE) {
                StateSearch.Result<State> result = search(fault);
                assertTrue(result.broken(), fault.toString());
                found.put(fault, result.last().broken);
                System.out.println("cancellation model: " + fault + " found after "
                        + result.trace().size() + " steps: " + found.get(fault));
            }
        }
        assertEquals(Rule.WENT_BACK, found.get(Fault.TELLS_WHAT_IS_IN_DOUBT));
        assertEquals(Rule.RAN_TWICE, found.get(Fault.A_COPY_IS_PROOF));
        assertEquals(Rule.RAN_CANCELLED, found.get(Fault.ONLY_WHAT_IS_DURABLE_GOES));
        assertEquals(Rule.RAN_CANCELLED, found.get(Fault.WRITES_DESPITE_A_LAUNCH));
    }
}
