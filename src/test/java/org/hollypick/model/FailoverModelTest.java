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
 * Explores all that can happen when a leader resigns, or crashes and is restarted at once, while two other controllers
 * relay its answers: every order of messages, each of them lost, late or duplicated, one controller frozen at any
 * moment, up to a number of ticks of time. The clocks run alike: drift is accounted for where lease grants are counted,
 * and {@code WorkerLeasesTest} and {@code ProcessPauseTest} are about that. The invariant (docs/safety.md): no answer
 * of the old leader reaches a machine once its successor acts.
 */
class FailoverModelTest {
    private static final int TICKS = 6;
    /** For how long an answer may be relayed under a grant of the leader. */
    private static final int GRANT = 2;

    private static final int RELAYS = 2;
    private static final int NEVER = -1;
    private static final int NOBODY = -1;
    /** One was frozen already and runs again: none freezes any more. */
    private static final int THAWED = RELAYS;

    private enum Fault {
        NONE,
        COUNTS_FROM_THE_ANSWER,
        ENDS_SESSION_AT_ONCE,
        ONE_CONFIRMATION_IS_ENOUGH,
        CONFIRMS_WITHOUT_RELEASING,
        GRANT_UNDOES_RELEASE
    }

    /**
     * A controller that relays answers under a grant of the leader; {@link #NEVER} for times that there aren't.
     *
     * @param sentAt when it asked for a grant
     * @param isAsking whether its question is in flight
     * @param grant how long the leader grants
     * @param isGrantInFlight whether the leader's answer is in flight
     * @param until when the grant that it got ends
     * @param hasReleased whether it relays nothing any more
     * @param hasConfirmed whether it confirmed that
     */
    private record Relay(
            int sentAt,
            boolean isAsking,
            int grant,
            boolean isGrantInFlight,
            int until,
            boolean hasReleased,
            boolean hasConfirmed) {
        Relay ask(int now) {
            return new Relay(now, true, NEVER, false, NEVER, hasReleased, hasConfirmed);
        }

        Relay grantSent() {
            return new Relay(sentAt, true, GRANT, true, until, hasReleased, hasConfirmed);
        }

        Relay grantReceived(int from, boolean staysReleased) {
            return new Relay(sentAt, isAsking, grant, true, from + grant, staysReleased, hasConfirmed);
        }

        Relay confirmRelease(boolean releases) {
            return new Relay(sentAt, isAsking, grant, isGrantInFlight, until, releases, true);
        }
    }

    /**
     * The state of the leader, its relays and its successor.
     *
     * @param resignedAt when the leader resigned; {@link #NEVER} while it acts
     * @param sessionEnded whether its store session has ended
     * @param successorActs whether another controller leads
     * @param isViolated whether an answer of the old leader was relayed then
     * @param frozen the relay that is frozen, {@link #NOBODY} or {@link #THAWED}
     * @param releaseRequests relays that were asked to release, as bits
     * @param confirmations relays whose confirmation the old leader got, as bits
     */
    private record State(
            int now,
            int resignedAt,
            boolean sessionEnded,
            boolean successorActs,
            boolean isViolated,
            int frozen,
            List<Relay> relays,
            int releaseRequests,
            int confirmations) {
        boolean hasResigned() {
            return resignedAt != NEVER;
        }

        boolean isReleaseRequested(int relay) {
            return (releaseRequests >> relay & 1) == 1;
        }

        State at(int time) {
            return new State(
                    time,
                    resignedAt,
                    sessionEnded,
                    successorActs,
                    isViolated,
                    frozen,
                    relays,
                    releaseRequests,
                    confirmations);
        }

        State withFrozen(int relay) {
            return new State(
                    now,
                    resignedAt,
                    sessionEnded,
                    successorActs,
                    isViolated,
                    relay,
                    relays,
                    releaseRequests,
                    confirmations);
        }

        State with(int index, Relay relay) {
            List<Relay> changed = new ArrayList<>(relays);
            changed.set(index, relay);
            return new State(
                    now,
                    resignedAt,
                    sessionEnded,
                    successorActs,
                    isViolated,
                    frozen,
                    List.copyOf(changed),
                    releaseRequests,
                    confirmations);
        }

        State resign(boolean endsSession) {
            int allRelays = (1 << RELAYS) - 1;
            return new State(now, now, endsSession, successorActs, isViolated, frozen, relays, allRelays, 0);
        }

        State endSession() {
            return new State(
                    now, resignedAt, true, successorActs, isViolated, frozen, relays, releaseRequests, confirmations);
        }

        State startSuccessor() {
            return new State(now, resignedAt, true, true, isViolated, frozen, relays, releaseRequests, confirmations);
        }

        State violate() {
            return new State(now, resignedAt, sessionEnded, true, true, frozen, relays, releaseRequests, confirmations);
        }

        State confirmed(int relay) {
            return new State(
                    now,
                    resignedAt,
                    sessionEnded,
                    successorActs,
                    isViolated,
                    frozen,
                    relays,
                    releaseRequests,
                    confirmations | 1 << relay);
        }
    }

    private static void next(State state, Fault fault, Consumer<State> successors) {
        if (state.now < TICKS) {
            successors.accept(state.at(state.now + 1));
        }
        freezeOrThaw(state, successors);
        for (int i = 0; i < RELAYS; i++) {
            grant(state, i, successors);
            if (state.frozen != i) {
                relay(state, fault, i, successors);
                release(state, fault, i, successors);
            }
        }
        leader(state, fault, successors);
    }

    /** One is frozen for as long as it likes; nothing of it happens meanwhile. */
    private static void freezeOrThaw(State state, Consumer<State> successors) {
        if (state.frozen == NOBODY) {
            for (int i = 0; i < RELAYS; i++) {
                successors.accept(state.withFrozen(i));
            }
        } else if (state.frozen != THAWED) {
            successors.accept(state.withFrozen(THAWED));
        }
    }

    /** The leader grants, while it acts. The question may arrive a second time: it stays in flight. */
    private static void grant(State state, int index, Consumer<State> successors) {
        Relay relay = state.relays.get(index);
        if (relay.isAsking && !state.hasResigned() && !relay.isGrantInFlight) {
            successors.accept(state.with(index, relay.grantSent()));
        }
    }

    private static void relay(State state, Fault fault, int index, Consumer<State> successors) {
        Relay relay = state.relays.get(index);
        if (!relay.isAsking) {
            successors.accept(state.with(index, relay.ask(state.now)));
        }
        if (relay.isGrantInFlight && relay.until < 0) {
            int from = fault == Fault.COUNTS_FROM_THE_ANSWER ? state.now : relay.sentAt;
            boolean staysReleased = relay.hasReleased && fault != Fault.GRANT_UNDOES_RELEASE;
            successors.accept(state.with(index, relay.grantReceived(from, staysReleased)));
        }
        if (relay.until > state.now && !relay.hasReleased && state.successorActs) {
            successors.accept(state.violate());
        }
    }

    /** The request stays in flight, since it may come again; the confirmation may get lost, or come at any time. */
    private static void release(State state, Fault fault, int index, Consumer<State> successors) {
        Relay relay = state.relays.get(index);
        if (state.isReleaseRequested(index)) {
            boolean releases = fault != Fault.CONFIRMS_WITHOUT_RELEASING;
            successors.accept(state.with(index, relay.confirmRelease(releases)));
        }
        if (relay.hasConfirmed) {
            successors.accept(state.confirmed(index));
        }
    }

    /** The leader resigns, ends its store session once all relays have released, and another one acts. */
    private static void leader(State state, Fault fault, Consumer<State> successors) {
        if (!state.hasResigned()) {
            successors.accept(state.resign(fault == Fault.ENDS_SESSION_AT_ONCE));
        } else if (!state.sessionEnded) {
            int confirmations = Integer.bitCount(state.confirmations);
            if (confirmations == RELAYS
                    || (fault == Fault.ONE_CONFIRMATION_IS_ENOUGH && confirmations > 0)
                    || state.now >= state.resignedAt + GRANT) {
                successors.accept(state.endSession());
            }
        } else if (!state.successorActs) {
            successors.accept(state.startSuccessor());
        }
    }

    private static StateSearch.Result<State> search(Fault fault) {
        Relay idle = new Relay(NEVER, false, NEVER, false, NEVER, false, false);
        State initial = new State(0, NEVER, false, false, false, NOBODY, List.of(idle, idle), 0, 0);
        Set<State> seen = new HashSet<>();
        return StateSearch.run(
                List.of(initial),
                (state, successors) -> next(state, fault, successor -> successors.add("", successor)),
                State::isViolated,
                seen::add);
    }

    @Test
    void nothingOfTheOldLeaderIsRelayedOnceItsSuccessorActs() {
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
            assertTrue(fault == Fault.NONE || result.last().isViolated, fault.toString());
        }
    }
}
