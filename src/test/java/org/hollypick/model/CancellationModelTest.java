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
 * Explores every interleaving around one task on one machine while the task is cancelled: two controllers that lead in
 * turn, a key-value store that fails and recovers, a delayed launch, heartbeats and responses that are lost, late or
 * duplicated, and a write whose response is lost. The invariants (docs/safety.md, "Who may renew a lease"): once any
 * user was told that the task is cancelled it stops in time, it isn't started elsewhere while it may still run, and no
 * user is given an older answer afterwards. The first leader launched the task, and its store session is modelled.
 * Times are in ticks; clock drift is covered by {@code WorkerLeasesTest}.
 */
class CancellationModelTest {
    private static final int LAST_TICK = 8;
    private static final int LEASE_TICKS = 3;
    /** A cancelled task must have stopped this long after its cancellation was confirmed. */
    private static final int CANCELLATION_TICKS = 5;

    private static final int SESSION_TICKS = 1;
    private static final int PEER_GRANT_TICKS = 1;
    /**
     * How long a controller may renew leases after a cancellation may be confirmed, or after its leader lease ended.
     */
    private static final int RENEWAL_TICKS = CANCELLATION_TICKS - LEASE_TICKS;

    private static final int NEVER = -1;
    private static final int NO_TOKEN = 0;

    /** Fencing tokens: the first leader's, the first leader's after it fenced itself, the second leader's. */
    private static final int FIRST = 1;

    private static final int FENCED = 2;
    private static final int SECOND = 3;

    /** Defects that the model can be given, to prove that it finds them. */
    private enum Fault {
        NONE,
        STOPS_TASK_ONLY_ONCE_DURABLE,
        WRITES_BEFORE_LAUNCH_IS_RESOLVED,
        WRITES_BEFORE_RECONCILIATION,
        TRUSTS_HEARTBEAT_WITH_OLD_TOKEN,
        LEADS_DESPITE_PEER_GRANT,
        RENEWS_TOO_LONG,
        ANSWERS_DURING_UNRESOLVED_WRITE
    }

    /** The invariants, named by how they are violated. */
    private enum Violation {
        RAN_AFTER_CANCELLATION,
        RAN_TWICE,
        ANSWER_WENT_BACK
    }

    /** One state of the model; copied for each transition, and not changed once handed to the search. */
    private static final class State implements Cloneable {
        int now;
        boolean storeReachable = true;
        /** Until when the first leader counts on its store session. */
        int firstCountsOnSessionUntil = SESSION_TICKS;

        /** Until when the store keeps the first leader's session. */
        int storeKeepsSessionUntil = SESSION_TICKS;

        /** Until when the second controller's lease grant to the first leader lasts. */
        int peerGrantUntil = NEVER;

        boolean sessionExpired;
        /** The fencing token of the leader record. */
        int leaderToken = FIRST;
        /**
         * Until when the second leader may have renewed the lease, or the first leader and whoever renews under its
         * token.
         */
        int renewalPossibleUntil = NEVER;

        boolean secondFollowsFence;
        /** The token that the write of the cancellation is conditional on. */
        int writeToken = NO_TOKEN;

        boolean cancellationDurable;
        /** The first leader knows that the cancellation is durable. */
        boolean firstKnowsDurable;

        boolean secondKnowsDurable;
        /** The first leader has been asked to cancel the task. */
        boolean cancellationRequested;

        /** Since when the first leader's write may be carried out. */
        int writeSentAt = NEVER;
        /** When a user was first told that the task is cancelled. */
        int confirmedAt = NEVER;

        boolean launchInFlight = true;
        boolean taskRunning;
        /** The first leader knows that the launch arrived. */
        boolean launchAcknowledged;
        /** The machine sent a heartbeat under the leader record's token, if that isn't the launch's token. */
        boolean reconciled;

        int leaseStart;
        /** The highest fencing token that the machine has seen. */
        int machineToken = FIRST;
        /** When the newest heartbeat was sent. */
        int heartbeatAt = NEVER;

        boolean heartbeatShowsTask;
        int heartbeatToken;
        /** The token of the response in flight to the newest heartbeat. */
        int responseToken = NO_TOKEN;

        boolean responseStopsTask;
        boolean startedElsewhere;
        /** The invariant that this state violates, null if none. */
        Violation violation;

        State after(Consumer<State> transition) {
            try {
                State copy = (State) clone();
                transition.accept(copy);
                return copy;
            } catch (CloneNotSupportedException e) {
                throw new AssertionError(e);
            }
        }

        /** Everything that bears on what may happen next, in 64 bits. */
        long key() {
            long key = 0;
            for (int time : relevantTimes()) {
                key = key << 4 | time + 1;
            }
            for (int token : new int[] {leaderToken, writeToken, machineToken, heartbeatToken, responseToken}) {
                key = key << 2 | token;
            }
            for (boolean flag : flags()) {
                key = key << 1 | (flag ? 1 : 0);
            }
            return key;
        }

        /** The times, with NEVER for those that have no effect any more. */
        private int[] relevantTimes() {
            boolean leaseMatters = now <= leaderLeaseUntil() + RENEWAL_TICKS + 2;
            boolean sessionMatters = leaderToken != SECOND && !sessionExpired;
            return new int[] {
                now,
                leaseMatters ? leaderLeaseUntil() : NEVER,
                sessionMatters ? storeKeepsSessionUntil : NEVER,
                now <= peerGrantUntil ? peerGrantUntil : NEVER,
                renewalPossibleUntil,
                writeSentAt,
                confirmedAt,
                leaseStart,
                heartbeatAt
            };
        }

        private boolean[] flags() {
            return new boolean[] {
                storeReachable,
                sessionExpired,
                secondFollowsFence,
                cancellationDurable,
                firstKnowsDurable,
                secondKnowsDurable,
                cancellationRequested,
                launchInFlight,
                taskRunning,
                launchAcknowledged,
                reconciled,
                heartbeatShowsTask,
                responseStopsTask,
                startedElsewhere
            };
        }

        @Override
        public String toString() {
            return "now=" + now + " storeReachable=" + storeReachable + " leaderLeaseUntil=" + leaderLeaseUntil()
                    + " peerGrantUntil=" + peerGrantUntil + " leaderToken=" + leaderToken + " writeSentAt="
                    + writeSentAt + " cancellationDurable=" + cancellationDurable + " confirmedAt=" + confirmedAt
                    + " launchInFlight=" + launchInFlight + " taskRunning=" + taskRunning + " launchAcknowledged="
                    + launchAcknowledged + " leaseStart=" + leaseStart + " machineToken=" + machineToken
                    + " heartbeatAt=" + heartbeatAt + " responseToken=" + responseToken + " startedElsewhere="
                    + startedElsewhere + " violation=" + violation + "\n";
        }

        /** Until when the first leader holds a leader lease, from its store session or from its peer. */
        int leaderLeaseUntil() {
            return Math.max(firstCountsOnSessionUntil, peerGrantUntil);
        }

        boolean secondLeads() {
            return leaderToken == SECOND;
        }

        boolean firstHoldsLeaderLease() {
            return !secondLeads() && now <= leaderLeaseUntil();
        }

        /** A user is told that the task is cancelled. */
        void confirmCancellation() {
            confirmedAt = confirmedAt == NEVER ? now : confirmedAt;
        }

        boolean isCancellationOverdue() {
            return confirmedAt != NEVER && now > confirmedAt + CANCELLATION_TICKS;
        }

        boolean isWorkerLeaseValid() {
            return now <= leaseStart + LEASE_TICKS;
        }

        /** Time passes, and the store drops a session that wasn't renewed. */
        void tick() {
            now++;
            sessionExpired |= storeReachable && !secondLeads() && now > storeKeepsSessionUntil;
            if (taskRunning && isCancellationOverdue() && isWorkerLeaseValid()) {
                violation = Violation.RAN_AFTER_CANCELLATION;
            }
        }

        /** The store fails or recovers; when it recovers, sessions have their full time again. */
        void toggleStore() {
            storeReachable = !storeReachable;
            storeKeepsSessionUntil = storeReachable ? now + SESSION_TICKS : storeKeepsSessionUntil;
        }

        void renewSession() {
            firstCountsOnSessionUntil = now + SESSION_TICKS;
            storeKeepsSessionUntil = now + SESSION_TICKS;
        }

        /**
         * The first leader raises its own token. A cancellation that isn't durable yet never will be, and is forgotten;
         * one that is durable is loaded under the new token.
         */
        void fence() {
            leaderToken = FENCED;
            reconciled = false;
            cancellationRequested = cancellationDurable;
            firstKnowsDurable = cancellationDurable;
            writeSentAt = NEVER;
            writeToken = NO_TOKEN;
        }

        void failOverToSecond() {
            secondFollowsFence = leaderToken == FENCED;
            leaderToken = SECOND;
            reconciled = false;
            renewalPossibleUntil = now + RENEWAL_TICKS;
            secondKnowsDurable = cancellationDurable;
        }

        /** The first leader sends the write of the cancellation, conditional on its token. */
        void sendWrite() {
            writeToken = leaderToken;
            writeSentAt = now;
        }

        /** The first leader learns that its write was carried out, and answers its user. */
        void receiveWriteResponse() {
            firstKnowsDurable = true;
            confirmCancellation();
        }

        /** The second leader cancels the task and answers its user. */
        void cancelBySecond() {
            cancellationDurable = true;
            secondKnowsDurable = true;
            confirmCancellation();
        }

        /** The launch arrives; the machine refuses it under a token lower than the highest it has seen. */
        void receiveLaunch() {
            launchInFlight = false;
            taskRunning = machineToken == FIRST;
            if (taskRunning && startedElsewhere) {
                violation = Violation.RAN_TWICE;
            } else if (taskRunning && isCancellationOverdue()) {
                violation = Violation.RAN_AFTER_CANCELLATION;
            } else {
                violation = null;
            }
        }

        /** The machine sends a heartbeat; a response to the one before would come too late. */
        void sendHeartbeat() {
            heartbeatAt = now;
            heartbeatShowsTask = taskRunning;
            heartbeatToken = machineToken;
            responseToken = NO_TOKEN;
        }

        /** The response arrives; under an older token it is ignored. */
        void receiveResponse() {
            if (responseToken >= machineToken) {
                machineToken = responseToken;
                leaseStart = heartbeatAt;
                taskRunning &= !responseStopsTask;
            }
            responseToken = NO_TOKEN;
        }

        /** The token under which the first leader answers heartbeats, also after it was deposed. */
        int firstLeadersToken() {
            return leaderToken == FENCED || secondFollowsFence ? FENCED : FIRST;
        }

        void receiveHeartbeatAtFirst(Fault fault) {
            int token = firstLeadersToken();
            launchAcknowledged |= heartbeatShowsTask;
            reconciled |= leaderToken == FENCED && heartbeatToken == FENCED;
            responseToken = token;
            responseStopsTask = heartbeatShowsTask
                    && (fault == Fault.STOPS_TASK_ONLY_ONCE_DURABLE ? firstKnowsDurable : cancellationRequested);
        }

        void receiveHeartbeatAtSecond() {
            reconciled |= heartbeatToken == SECOND;
            renewalPossibleUntil = Math.max(renewalPossibleUntil, now);
            responseToken = SECOND;
            responseStopsTask = secondKnowsDurable && heartbeatShowsTask;
        }

        void startElsewhere() {
            startedElsewhere = true;
            violation = taskRunning ? Violation.RAN_TWICE : violation;
        }
    }

    /** Adds every state that may follow; the order decides which of several shortest traces is found. */
    private static void addSuccessors(State state, Fault fault, Consumer<State> successors) {
        addTick(state, successors);
        addStoreTransitions(state, successors);
        addLeaderTransitions(state, fault, successors);
        addCancellationByFirst(state, fault, successors);
        addCancellationBySecond(state, fault, successors);
        addStaleAnswer(state, fault, successors);
        addMachineTransitions(state, successors);
        if (state.heartbeatAt != NEVER) {
            addHeartbeatAtFirst(state, fault, successors);
            addHeartbeatAtSecond(state, fault, successors);
        }
    }

    /** Worker lease expiry ends the task and refuses the launch: nothing more can happen here. */
    private static void addTick(State state, Consumer<State> successors) {
        if (state.now < LAST_TICK) {
            State later = state.after(State::tick);
            if (later.isWorkerLeaseValid()) {
                successors.accept(later);
            }
        }
    }

    private static void addStoreTransitions(State state, Consumer<State> successors) {
        successors.accept(state.after(State::toggleStore));
        if (state.storeReachable && !state.sessionExpired && !state.secondLeads()) {
            successors.accept(state.after(State::renewSession));
            if (state.leaderToken == FIRST && state.firstHoldsLeaderLease()) {
                successors.accept(state.after(State::fence));
            }
        }
    }

    /** The second controller grants the first leader a lease, or becomes the leader itself. */
    private static void addLeaderTransitions(State state, Fault fault, Consumer<State> successors) {
        if (state.secondLeads()) {
            return;
        }
        if (!state.sessionExpired) {
            successors.accept(state.after(next -> next.peerGrantUntil = next.now + PEER_GRANT_TICKS));
        }
        boolean boundByGrant = state.now <= state.peerGrantUntil && fault != Fault.LEADS_DESPITE_PEER_GRANT;
        if (state.storeReachable && state.sessionExpired && !boundByGrant) {
            successors.accept(state.after(State::failOverToSecond));
        }
    }

    private static void addCancellationByFirst(State state, Fault fault, Consumer<State> successors) {
        boolean firstLeads = state.firstHoldsLeaderLease();
        if (firstLeads && !state.cancellationRequested) {
            successors.accept(state.after(next -> next.cancellationRequested = true));
        }
        if (firstLeads && mayFirstWrite(state, fault)) {
            successors.accept(state.after(State::sendWrite));
        }
        // Carried out at any later time, unless the leader record has changed.
        if (state.storeReachable && state.writeToken == state.leaderToken && !state.cancellationDurable) {
            successors.accept(state.after(next -> next.cancellationDurable = true));
        }
        if (state.cancellationDurable && firstLeads && !state.firstKnowsDurable) {
            successors.accept(state.after(State::receiveWriteResponse));
        }
    }

    private static boolean mayFirstWrite(State state, Fault fault) {
        return state.cancellationRequested
                && !state.cancellationDurable
                && state.writeToken == NO_TOKEN
                && !mayLaunchStillArrive(state, fault);
    }

    /**
     * Whether the first leader must reckon with its launch: until the launch is acknowledged, or after a fence until a
     * heartbeat comes that was sent under the new token.
     */
    private static boolean mayLaunchStillArrive(State state, Fault fault) {
        return state.leaderToken == FIRST
                ? !state.launchAcknowledged && fault != Fault.WRITES_BEFORE_LAUNCH_IS_RESOLVED
                : !state.reconciled && fault != Fault.WRITES_BEFORE_RECONCILIATION;
    }

    private static void addCancellationBySecond(State state, Fault fault, Consumer<State> successors) {
        if (state.cancellationDurable && state.storeReachable && !state.secondKnowsDurable) {
            successors.accept(state.after(next -> next.secondKnowsDurable = true));
        }
        if (state.secondKnowsDurable && state.confirmedAt == NEVER) {
            successors.accept(state.after(State::confirmCancellation));
        }
        boolean taskStateKnown = state.reconciled
                || state.now > state.renewalPossibleUntil + LEASE_TICKS
                || fault == Fault.WRITES_BEFORE_RECONCILIATION;
        if (state.secondLeads() && state.storeReachable && !state.cancellationDurable && taskStateKnown) {
            successors.accept(state.after(State::cancelBySecond));
        }
    }

    /** The first leader answers from memory that the job is live, after a user was told that it is cancelled. */
    private static void addStaleAnswer(State state, Fault fault, Consumer<State> successors) {
        boolean writeUnresolved = state.writeSentAt != NEVER && fault != Fault.ANSWERS_DURING_UNRESOLVED_WRITE;
        boolean answersAsLive = state.now <= state.leaderLeaseUntil() && !writeUnresolved && !state.firstKnowsDurable;
        if (answersAsLive && state.confirmedAt != NEVER) {
            successors.accept(state.after(next -> next.violation = Violation.ANSWER_WENT_BACK));
        }
    }

    private static void addMachineTransitions(State state, Consumer<State> successors) {
        if (state.launchInFlight) {
            successors.accept(state.after(State::receiveLaunch));
        }
        if (state.taskRunning && !state.launchAcknowledged && state.firstHoldsLeaderLease()) {
            successors.accept(state.after(next -> next.launchAcknowledged = true)); // the response to the launch itself
        }
        // A status request brings the token and renews nothing.
        if (state.secondLeads() || state.firstHoldsLeaderLease()) {
            successors.accept(state.after(next -> next.machineToken = Math.max(next.machineToken, next.leaderToken)));
        }
        if (state.heartbeatAt < state.now) {
            successors.accept(state.after(State::sendHeartbeat));
        }
        if (state.responseToken != NO_TOKEN) {
            successors.accept(state.after(State::receiveResponse));
        }
    }

    /** The newest heartbeat, or a duplicate of it, reaches the first leader. */
    private static void addHeartbeatAtFirst(State state, Fault fault, Consumer<State> successors) {
        int renewsUntil = state.leaderLeaseUntil() + RENEWAL_TICKS + (fault == Fault.RENEWS_TOO_LONG ? 2 : 0);
        boolean acceptsToken = state.heartbeatToken <= state.firstLeadersToken();
        if (state.responseToken == NO_TOKEN && acceptsToken && state.now <= renewsUntil) {
            successors.accept(state.after(next -> next.receiveHeartbeatAtFirst(fault)));
        }
    }

    /** The newest heartbeat, or a duplicate of it, reaches the second leader, which may start the task elsewhere. */
    private static void addHeartbeatAtSecond(State state, Fault fault, Consumer<State> successors) {
        if (!state.secondLeads()) {
            return;
        }
        if (state.responseToken == NO_TOKEN) {
            successors.accept(state.after(State::receiveHeartbeatAtSecond));
        }
        boolean confirmsState = state.heartbeatToken == SECOND || fault == Fault.TRUSTS_HEARTBEAT_WITH_OLD_TOKEN;
        boolean taskAbsent = confirmsState && !state.heartbeatShowsTask;
        if (!state.startedElsewhere && (taskAbsent || state.now > state.renewalPossibleUntil + LEASE_TICKS)) {
            successors.accept(state.after(State::startElsewhere));
        }
    }

    private static StateSearch.Result<State> search(Fault fault) {
        State launching = new State();
        State running = launching.after(next -> {
            next.launchInFlight = false;
            next.taskRunning = true;
            next.launchAcknowledged = true;
        });
        LongOpenHashSet visitedKeys = new LongOpenHashSet();
        return StateSearch.run(
                List.of(launching, running),
                (state, successors) -> addSuccessors(state, fault, next -> successors.add("", next)),
                state -> state.violation != null,
                state -> visitedKeys.add(state.key()));
    }

    @Test
    void cancelledTaskStopsInTimeInEveryInterleaving() {
        StateSearch.Result<State> result = search(Fault.NONE);
        assertFalse(result.broken(), () -> "" + result.trace());
        assertTrue(result.states() > 50_000, "states " + result.states());
        System.out.println("cancellation model: states " + result.states());
    }

    @Test
    void findsEachInjectedFault() {
        Map<Fault, Violation> violations = new HashMap<>();
        for (Fault fault : Fault.values()) {
            if (fault != Fault.NONE) {
                StateSearch.Result<State> result = search(fault);
                assertTrue(result.broken(), fault.toString());
                violations.put(fault, result.last().violation);
                System.out.println("cancellation model: " + fault + " found after "
                        + result.trace().size() + " steps: " + violations.get(fault));
            }
        }
        assertEquals(Violation.ANSWER_WENT_BACK, violations.get(Fault.ANSWERS_DURING_UNRESOLVED_WRITE));
        assertEquals(Violation.RAN_TWICE, violations.get(Fault.TRUSTS_HEARTBEAT_WITH_OLD_TOKEN));
        assertEquals(Violation.RAN_AFTER_CANCELLATION, violations.get(Fault.STOPS_TASK_ONLY_ONCE_DURABLE));
        assertEquals(Violation.RAN_AFTER_CANCELLATION, violations.get(Fault.WRITES_BEFORE_LAUNCH_IS_RESOLVED));
    }
}
