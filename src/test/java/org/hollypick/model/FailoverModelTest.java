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
 * Explores every interleaving of a failover in which a leader resigns, or crashes and is restarted at once, while two
 * other controllers relay its responses to machines. Each message may be lost, delayed or duplicated, and one of the
 * relays may be paused once, at any time and for any time.
 *
 * <p>Bounds: one failover, two relays with one grant each, {@value #LAST_TICK} ticks of time. All clocks run at the
 * same rate: the durations of grants allow for clock drift, which {@code WorkerLeasesTest} and {@code ProcessPauseTest}
 * cover.
 *
 * <p>Invariant (docs/safety.md): no response of the old leader is relayed to a machine once its successor leads.
 */
class FailoverModelTest {
    private static final int LAST_TICK = 6;
    /** How long a relay may relay responses under one grant of the leader. */
    private static final int GRANT_TICKS = 2;

    private static final int RELAY_COUNT = 2;
    private static final int NEVER = -1;
    private static final int NO_PAUSE_YET = -1;
    /** A relay was paused and runs again; there is no second pause. */
    private static final int PAUSE_ENDED = RELAY_COUNT;

    /** Defects that can be built into the model, to prove that the search detects each of them. */
    private enum Fault {
        NONE,
        COUNTS_GRANT_FROM_RECEIPT,
        ENDS_SESSION_ON_RESIGNATION,
        ENDS_SESSION_AFTER_FIRST_CONFIRMATION,
        CONFIRMS_REVOCATION_BUT_KEEPS_RELAYING,
        LATE_GRANT_RESUMES_RELAYING
    }

    /**
     * A controller that relays the leader's responses under a grant of the leader.
     *
     * @param requestedAt when the relay requested a grant, or {@link #NEVER}
     * @param requestInFlight whether the request was sent and may be delivered, once or repeatedly
     * @param grantTicks the duration of the grant, or {@link #NEVER}
     * @param grantIssued whether the leader has sent the grant
     * @param grantedUntil when the grant that the relay received expires, or {@link #NEVER}
     * @param revoked whether the relay has stopped relaying because its grant was revoked
     * @param revocationConfirmed whether the relay has confirmed the revocation
     */
    private record Relay(
            int requestedAt,
            boolean requestInFlight,
            int grantTicks,
            boolean grantIssued,
            int grantedUntil,
            boolean revoked,
            boolean revocationConfirmed) {
        Relay requestGrant(int now) {
            return new Relay(now, true, NEVER, false, NEVER, revoked, revocationConfirmed);
        }

        Relay withGrantIssued() {
            return new Relay(requestedAt, true, GRANT_TICKS, true, grantedUntil, revoked, revocationConfirmed);
        }

        Relay withGrantReceived(int countedFrom, boolean staysRevoked) {
            return new Relay(
                    requestedAt,
                    requestInFlight,
                    grantTicks,
                    true,
                    countedFrom + grantTicks,
                    staysRevoked,
                    revocationConfirmed);
        }

        Relay confirmRevocation(boolean stopsRelaying) {
            return new Relay(requestedAt, requestInFlight, grantTicks, grantIssued, grantedUntil, stopsRelaying, true);
        }
    }

    /**
     * The state of the leader, its relays and its successor.
     *
     * @param resignedAt when the leader resigned, or {@link #NEVER}
     * @param sessionEnded whether the old leader's store session has ended
     * @param successorLeads whether another controller leads
     * @param violated whether a response of the old leader was relayed while its successor led
     * @param pausedRelay the index of the relay that is paused, {@link #NO_PAUSE_YET} or {@link #PAUSE_ENDED}
     * @param revocationRequests the relays that were sent a revocation, one bit each
     * @param confirmations the relays whose confirmation the old leader received, one bit each
     */
    private record State(
            int now,
            int resignedAt,
            boolean sessionEnded,
            boolean successorLeads,
            boolean violated,
            int pausedRelay,
            List<Relay> relays,
            int revocationRequests,
            int confirmations) {
        boolean hasResigned() {
            return resignedAt != NEVER;
        }

        boolean isRevocationRequested(int relay) {
            return (revocationRequests >> relay & 1) == 1;
        }

        State withTime(int time) {
            return new State(
                    time,
                    resignedAt,
                    sessionEnded,
                    successorLeads,
                    violated,
                    pausedRelay,
                    relays,
                    revocationRequests,
                    confirmations);
        }

        State withPausedRelay(int relay) {
            return new State(
                    now,
                    resignedAt,
                    sessionEnded,
                    successorLeads,
                    violated,
                    relay,
                    relays,
                    revocationRequests,
                    confirmations);
        }

        State withRelay(int index, Relay relay) {
            List<Relay> changed = new ArrayList<>(relays);
            changed.set(index, relay);
            return new State(
                    now,
                    resignedAt,
                    sessionEnded,
                    successorLeads,
                    violated,
                    pausedRelay,
                    List.copyOf(changed),
                    revocationRequests,
                    confirmations);
        }

        State resign(boolean endsSession) {
            int allRelays = (1 << RELAY_COUNT) - 1;
            return new State(now, now, endsSession, successorLeads, violated, pausedRelay, relays, allRelays, 0);
        }

        State endSession() {
            return new State(
                    now,
                    resignedAt,
                    true,
                    successorLeads,
                    violated,
                    pausedRelay,
                    relays,
                    revocationRequests,
                    confirmations);
        }

        State startSuccessor() {
            return new State(
                    now, resignedAt, true, true, violated, pausedRelay, relays, revocationRequests, confirmations);
        }

        State withViolation() {
            return new State(
                    now, resignedAt, sessionEnded, true, true, pausedRelay, relays, revocationRequests, confirmations);
        }

        State withConfirmation(int relay) {
            return new State(
                    now,
                    resignedAt,
                    sessionEnded,
                    successorLeads,
                    violated,
                    pausedRelay,
                    relays,
                    revocationRequests,
                    confirmations | 1 << relay);
        }
    }

    /** Adds every state that may follow. */
    private static void addSuccessors(State state, Fault fault, Consumer<State> successors) {
        if (state.now < LAST_TICK) {
            successors.accept(state.withTime(state.now + 1));
        }
        addPauseTransitions(state, successors);
        for (int i = 0; i < RELAY_COUNT; i++) {
            addGrant(state, i, successors);
            if (state.pausedRelay != i) {
                addRelayTransitions(state, fault, i, successors);
                addRevocationTransitions(state, fault, i, successors);
            }
        }
        addLeaderTransitions(state, fault, successors);
    }

    /** One relay may be paused for any time; a paused relay takes no step. */
    private static void addPauseTransitions(State state, Consumer<State> successors) {
        if (state.pausedRelay == NO_PAUSE_YET) {
            for (int i = 0; i < RELAY_COUNT; i++) {
                successors.accept(state.withPausedRelay(i));
            }
        } else if (state.pausedRelay != PAUSE_ENDED) {
            successors.accept(state.withPausedRelay(PAUSE_ENDED));
        }
    }

    /** The leader issues the requested grant, unless it has resigned. */
    private static void addGrant(State state, int index, Consumer<State> successors) {
        Relay relay = state.relays.get(index);
        if (relay.requestInFlight && !state.hasResigned() && !relay.grantIssued) {
            successors.accept(state.withRelay(index, relay.withGrantIssued()));
        }
    }

    /** The relay requests a grant, receives it, or relays a response of the old leader. */
    private static void addRelayTransitions(State state, Fault fault, int index, Consumer<State> successors) {
        Relay relay = state.relays.get(index);
        if (!relay.requestInFlight) {
            successors.accept(state.withRelay(index, relay.requestGrant(state.now)));
        }
        if (relay.grantIssued && relay.grantedUntil < 0) {
            int countedFrom = fault == Fault.COUNTS_GRANT_FROM_RECEIPT ? state.now : relay.requestedAt;
            boolean staysRevoked = relay.revoked && fault != Fault.LATE_GRANT_RESUMES_RELAYING;
            successors.accept(state.withRelay(index, relay.withGrantReceived(countedFrom, staysRevoked)));
        }
        if (relay.grantedUntil > state.now && !relay.revoked && state.successorLeads) {
            successors.accept(state.withViolation());
        }
    }

    /** The revocation may be delivered any number of times; its confirmation may be lost or delayed. */
    private static void addRevocationTransitions(State state, Fault fault, int index, Consumer<State> successors) {
        Relay relay = state.relays.get(index);
        if (state.isRevocationRequested(index)) {
            boolean stopsRelaying = fault != Fault.CONFIRMS_REVOCATION_BUT_KEEPS_RELAYING;
            successors.accept(state.withRelay(index, relay.confirmRevocation(stopsRelaying)));
        }
        if (relay.revocationConfirmed) {
            successors.accept(state.withConfirmation(index));
        }
    }

    /**
     * The leader resigns. It ends its store session once all relays have confirmed the revocation or their grants have
     * expired; then its successor leads.
     */
    private static void addLeaderTransitions(State state, Fault fault, Consumer<State> successors) {
        if (!state.hasResigned()) {
            successors.accept(state.resign(fault == Fault.ENDS_SESSION_ON_RESIGNATION));
        } else if (!state.sessionEnded) {
            int confirmations = Integer.bitCount(state.confirmations);
            if (confirmations == RELAY_COUNT
                    || (fault == Fault.ENDS_SESSION_AFTER_FIRST_CONFIRMATION && confirmations > 0)
                    || state.now >= state.resignedAt + GRANT_TICKS) {
                successors.accept(state.endSession());
            }
        } else if (!state.successorLeads) {
            successors.accept(state.startSuccessor());
        }
    }

    private static StateSearch.Result<State> search(Fault fault) {
        Relay idle = new Relay(NEVER, false, NEVER, false, NEVER, false, false);
        State initial = new State(0, NEVER, false, false, false, NO_PAUSE_YET, List.of(idle, idle), 0, 0);
        Set<State> visited = new HashSet<>();
        return StateSearch.run(
                List.of(initial),
                (state, successors) -> addSuccessors(state, fault, successor -> successors.add("", successor)),
                State::violated,
                visited::add);
    }

    @Test
    void oldLeadersAnswersAreNotRelayedOnceItsSuccessorLeads() {
        StateSearch.Result<State> result = search(Fault.NONE);
        assertFalse(result.violationFound(), () -> "" + result.trace());
        assertTrue(result.stateCount() > 50_000, "states " + result.stateCount());
        System.out.println("failover model: states " + result.stateCount());
    }

    @Test
    void everyInjectedFaultViolatesTheInvariant() {
        for (Fault fault : Fault.values()) {
            StateSearch.Result<State> result = search(fault);
            assertEquals(fault != Fault.NONE, result.violationFound(), fault.toString());
            assertTrue(fault == Fault.NONE || result.violatingState().violated, fault.toString());
        }
    }
}
