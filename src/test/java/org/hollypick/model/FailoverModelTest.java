package org.hollypick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * All that can happen when a leader gives up its lead, or ends and is started again at once, while two other
 * controllers pass its answers on: every order of messages, each of them lost, late or doubled, one controller standing
 * still at any moment, up to a number of ticks of time. The clocks run alike: drift is taken off and added where rights
 * are counted, and {@code WorkerLeasesTest} and {@code FreezeTest} are about that. What must hold (docs/safety.md): no
 * answer of the old leader reaches a machine once its successor has begun.
 */
class FailoverModelTest {
    private static final int TICKS = 6;
    /** For how long an answer may be passed on, by the leader's word. */
    private static final int RIGHT = 2;

    private static final int RELAYS = 2;

    private enum Fault {
        NONE,
        COUNTS_FROM_THE_ANSWER,
        ENDS_AT_ONCE,
        ONE_WORD_IS_ENOUGH,
        SAYS_SO_AND_DOES_NOT,
        FORGETS_WHAT_COMES_LATER
    }

    /** A controller that passes on: -1 for times that there aren't. */
    private record Relay(
            int sentAt, boolean asks, int right, boolean answerUnderWay, int until, boolean released, boolean saidSo) {}

    /**
     * {@code gaveUpAt}: the leader's, -1 while it acts; {@code asked}, {@code told}: release asked of that relay, and
     * its word, under way or there.
     */
    private record State(
            int now,
            int gaveUpAt,
            boolean holdEnded,
            boolean begun,
            boolean wrong,
            int frozen,
            List<Relay> relays,
            int asked,
            int told) {}

    private static State with(State s, int i, Relay r) {
        List<Relay> relays = new ArrayList<>(s.relays);
        relays.set(i, r);
        return new State(
                s.now, s.gaveUpAt, s.holdEnded, s.begun, s.wrong, s.frozen, List.copyOf(relays), s.asked, s.told);
    }

    private static void next(State s, Fault fault, Consumer<State> to) {
        if (s.now < TICKS) {
            to.accept(new State(
                    s.now + 1, s.gaveUpAt, s.holdEnded, s.begun, s.wrong, s.frozen, s.relays, s.asked, s.told));
        }
        // One stands still for as long as it likes; nothing of it happens meanwhile.
        if (s.frozen < 0) {
            for (int i = 0; i < RELAYS; i++) {
                to.accept(new State(s.now, s.gaveUpAt, s.holdEnded, s.begun, s.wrong, i, s.relays, s.asked, s.told));
            }
        } else if (s.frozen < RELAYS) {
            to.accept(new State(s.now, s.gaveUpAt, s.holdEnded, s.begun, s.wrong, RELAYS, s.relays, s.asked, s.told));
        }
        for (int i = 0; i < RELAYS; i++) {
            relay(s, fault, i, to);
        }
        if (s.gaveUpAt < 0) {
            to.accept(new State(
                    s.now,
                    s.now,
                    fault == Fault.ENDS_AT_ONCE,
                    s.begun,
                    s.wrong,
                    s.frozen,
                    s.relays,
                    (1 << RELAYS) - 1,
                    0));
        } else if (!s.holdEnded) {
            int words = Integer.bitCount(s.told);
            if (words == RELAYS || (fault == Fault.ONE_WORD_IS_ENOUGH && words > 0) || s.now >= s.gaveUpAt + RIGHT) {
                to.accept(new State(s.now, s.gaveUpAt, true, s.begun, s.wrong, s.frozen, s.relays, s.asked, s.told));
            }
        } else if (!s.begun) {
            to.accept(new State(s.now, s.gaveUpAt, true, true, s.wrong, s.frozen, s.relays, s.asked, s.told));
        }
    }

    private static void relay(State s, Fault fault, int i, Consumer<State> to) {
        Relay r = s.relays.get(i);
        if (r.asks && s.gaveUpAt < 0 && !r.answerUnderWay) {
            // The leader answers, and may act until then at most. The question may come a second time: it stays under
            // way.
            to.accept(with(s, i, new Relay(r.sentAt, true, RIGHT, true, r.until, r.released, r.saidSo)));
        }
        if (s.frozen == i) {
            return;
        }
        if (!r.asks) {
            to.accept(with(s, i, new Relay(s.now, true, -1, false, -1, r.released, r.saidSo)));
        }
        if (r.answerUnderWay && r.until < 0) {
            int from = fault == Fault.COUNTS_FROM_THE_ANSWER ? s.now : r.sentAt;
            boolean released = r.released && fault != Fault.FORGETS_WHAT_COMES_LATER;
            to.accept(with(s, i, new Relay(r.sentAt, true, r.right, true, from + r.right, released, r.saidSo)));
        }
        if (r.until > s.now && !r.released && s.begun) {
            to.accept(new State(s.now, s.gaveUpAt, s.holdEnded, true, true, s.frozen, s.relays, s.asked, s.told));
        }
        if ((s.asked >> i & 1) == 1) {
            State said = with(
                    s,
                    i,
                    new Relay(
                            r.sentAt,
                            r.asks,
                            r.right,
                            r.answerUnderWay,
                            r.until,
                            fault != Fault.SAYS_SO_AND_DOES_NOT,
                            true));
            // The question stays under way, since it may come again; the word may get lost, or come at any later
            // moment.
            to.accept(said);
        }
        if (r.saidSo) {
            to.accept(new State(
                    s.now, s.gaveUpAt, s.holdEnded, s.begun, s.wrong, s.frozen, s.relays, s.asked, s.told | 1 << i));
        }
    }

    private static StateSearch.Result<State> search(Fault fault) {
        Relay fresh = new Relay(-1, false, -1, false, -1, false, false);
        State first = new State(0, -1, false, false, false, -1, List.of(fresh, fresh), 0, 0);
        Set<State> seen = new HashSet<>();
        return StateSearch.run(List.of(first), (s, to) -> next(s, fault, t -> to.add("", t)), s -> s.wrong, seen::add);
    }

    @Test
    void nothingOfTheOldLeaderIsPassedOnOnceAnotherHasBegun() {
        StateSearch.Result<State> result = search(Fault.NONE);
        assertFalse(result.broken(), () -> "" + result.trace());
        assertTrue(result.states() > 50_000, "states " + result.states());
        System.out.println("handover model: states " + result.states());
    }

    @Test
    void eachFaultIsFound() {
        for (Fault fault : Fault.values()) {
            StateSearch.Result<State> result = search(fault);
            assertEquals(fault != Fault.NONE, result.broken(), fault.toString());
            assertTrue(fault == Fault.NONE || result.last().wrong, fault.toString());
        }
    }
}
