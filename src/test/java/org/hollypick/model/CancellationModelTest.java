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
 * Explores every interleaving around one task on one machine while a user cancels the task.
 *
 * <p>Bounds: two controllers that lead one after the other, the first of which launched the task and may lose its store
 * session; a key-value store that fails and recovers; a launch that may be delayed, heartbeats and responses that may
 * be lost, delayed or duplicated, and a write whose response may be lost; {@value #LAST_TICK} ticks of time. Clock
 * drift is covered by {@code WorkerLeasesTest}.
 *
 * <p>Invariants (docs/safety.md, "Who may renew a lease"): once any user was told that the task is cancelled, the task
 * runs for at most {@value #CANCELLATION_TICKS} more ticks ({@code RAN_AFTER_CANCELLATION}) and no user is given an
 * older answer ({@code OLDER_ANSWER_GIVEN}); the task isn't started on another machine while it may run
 * ({@code RAN_ON_TWO_MACHINES}).
 */
class CancellationModelTest {
    private static final int LAST_TICK = 8;
    private static final int LEASE_TICKS = 3;
    /** The longest time that a task may run after its cancellation was confirmed to a user. */
    private static final int CANCELLATION_TICKS = 5;

    private static final int SESSION_TICKS = 1;
    private static final int PEER_GRANT_TICKS = 1;
    /**
     * How long a controller may renew worker leases after a cancellation may have been confirmed, or after its leader
     * lease expired.
     */
    private static final int MAX_RENEWAL_TICKS = CANCELLATION_TICKS - LEASE_TICKS;

    private static final int NEVER = -1;
    private static final int NO_TOKEN = 0;

    /** The first leader's fencing token. */
    private static final int FIRST_TOKEN = 1;

    /** The first leader's fencing token after it rewrote the leader record. */
    private static final int RAISED_TOKEN = 2;
    /** The second leader's fencing token. */
    private static final int SECOND_TOKEN = 3;

    /** Defects that can be built into the model, to prove that the search detects each of them. */
    private enum Fault {
        NONE,
        STOPS_TASK_ONLY_ONCE_DURABLE,
        WRITES_BEFORE_LAUNCH_IS_RESOLVED,
        WRITES_BEFORE_RECONCILIATION,
        TRUSTS_HEARTBEAT_WITH_OLD_TOKEN,
        LEADS_DESPITE_PEER_GRANT,
        RENEWS_LEASE_TOO_LONG,
        ANSWERS_DURING_UNRESOLVED_WRITE
    }

    /** The invariants, named by how they are violated. */
    private enum Violation {
        RAN_AFTER_CANCELLATION,
        RAN_ON_TWO_MACHINES,
        OLDER_ANSWER_GIVEN
    }

    /** One state of the model; copied for each transition, and not changed once passed to the search. */
    private static final class State extends CopyableState<State> {
        int now;
        boolean storeReachable = true;
        /** Until when the first leader assumes that its store session is valid. */
        int firstAssumesSessionUntil = SESSION_TICKS;

        /** When the first leader's session expires in the store. */
        int storeKeepsSessionUntil = SESSION_TICKS;

        /** When the leader lease that the second controller granted the first leader expires. */
        int peerGrantUntil = NEVER;

        boolean sessionExpired;
        /** The fencing token of the leader record. */
        int leaderToken = FIRST_TOKEN;
        /**
         * Until when the worker lease may have been renewed, by the second leader or under a token of the first one.
         */
        int renewalPossibleUntil = NEVER;

        /** The first leader had raised its token when the second one took over. */
        boolean firstRaisedToken;
        /** The token that the write of the cancellation is conditional on. */
        int writeToken = NO_TOKEN;

        boolean cancellationDurable;
        /** The first leader has received the response to its write, or has loaded the durable cancellation. */
        boolean firstKnowsDurable;

        /** The second controller has loaded the durable cancellation, or written it as leader. */
        boolean secondKnowsDurable;
        /** The first leader has been asked to cancel the task. */
        boolean cancellationRequested;

        /** When the first leader sent its write of the cancellation. */
        int writeSentAt = NEVER;
        /** When a user was first told that the task is cancelled. */
        int confirmedAt = NEVER;

        boolean launchInFlight = true;
        boolean taskRunning;
        /** The first leader has received the response to the launch, or a heartbeat that shows the task. */
        boolean launchAcknowledged;
        /** The leader has received a heartbeat sent under its token, which is newer than the launch's token. */
        boolean reconciled;

        int leaseStart;
        /** The highest fencing token that the machine has seen. */
        int machineToken = FIRST_TOKEN;
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

        /** Packs everything that affects which states may follow into 64 bits. */
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

        /** The times, with {@link #NEVER} for those that no longer affect which states may follow. */
        private int[] relevantTimes() {
            boolean leaseMatters = now <= leaderLeaseUntil() + MAX_RENEWAL_TICKS + 2;
            boolean sessionMatters = leaderToken != SECOND_TOKEN && !sessionExpired;
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
                firstRaisedToken,
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

        /** When the first leader's lease expires, whether it rests on its store session or on its peer's grant. */
        int leaderLeaseUntil() {
            return Math.max(firstAssumesSessionUntil, peerGrantUntil);
        }

        boolean secondLeads() {
            return leaderToken == SECOND_TOKEN;
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

        /** Time passes. A session that wasn't renewed expires, if the store is reachable. */
        void tick() {
            now++;
            sessionExpired |= storeReachable && !secondLeads() && now > storeKeepsSessionUntil;
            if (taskRunning && isCancellationOverdue() && isWorkerLeaseValid()) {
                violation = Violation.RAN_AFTER_CANCELLATION;
            }
        }

        /** The store fails or recovers. When it recovers, sessions get their full timeout again. */
        void toggleStore() {
            storeReachable = !storeReachable;
            storeKeepsSessionUntil = storeReachable ? now + SESSION_TICKS : storeKeepsSessionUntil;
        }

        void renewSession() {
            firstAssumesSessionUntil = now + SESSION_TICKS;
            storeKeepsSessionUntil = now + SESSION_TICKS;
        }

        /**
         * The first leader rewrites the leader record, which raises its token. Writes under the old token fail from now
         * on: a cancellation that isn't durable yet is dropped, and a durable one is loaded under the new token.
         */
        void raiseToken() {
            leaderToken = RAISED_TOKEN;
            reconciled = false;
            cancellationRequested = cancellationDurable;
            firstKnowsDurable = cancellationDurable;
            writeSentAt = NEVER;
            writeToken = NO_TOKEN;
        }

        void failOverToSecond() {
            firstRaisedToken = leaderToken == RAISED_TOKEN;
            leaderToken = SECOND_TOKEN;
            reconciled = false;
            renewalPossibleUntil = now + MAX_RENEWAL_TICKS;
            secondKnowsDurable = cancellationDurable;
        }

        /** The first leader sends the write of the cancellation, conditional on its token. */
        void sendWrite() {
            writeToken = leaderToken;
            writeSentAt = now;
        }

        /** The first leader receives the response that its write was applied, and answers its user. */
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

        /** The launch arrives. A machine that has seen a higher token rejects the launch. */
        void receiveLaunch() {
            launchInFlight = false;
            taskRunning = machineToken == FIRST_TOKEN;
            if (taskRunning && startedElsewhere) {
                violation = Violation.RAN_ON_TWO_MACHINES;
            } else if (taskRunning && isCancellationOverdue()) {
                violation = Violation.RAN_AFTER_CANCELLATION;
            } else {
                violation = null;
            }
        }

        /** The machine sends a heartbeat, and no longer accepts a response to the previous one. */
        void sendHeartbeat() {
            heartbeatAt = now;
            heartbeatShowsTask = taskRunning;
            heartbeatToken = machineToken;
            responseToken = NO_TOKEN;
        }

        /** The response arrives. A machine that has seen a higher token ignores the response. */
        void receiveResponse() {
            if (responseToken >= machineToken) {
                machineToken = responseToken;
                leaseStart = heartbeatAt;
                taskRunning &= !responseStopsTask;
            }
            responseToken = NO_TOKEN;
        }

        /** The token under which the first leader responds to heartbeats, also after it was replaced. */
        int tokenOfFirstLeader() {
            return leaderToken == RAISED_TOKEN || firstRaisedToken ? RAISED_TOKEN : FIRST_TOKEN;
        }

        void receiveHeartbeatAtFirst(Fault fault) {
            int token = tokenOfFirstLeader();
            launchAcknowledged |= heartbeatShowsTask;
            reconciled |= leaderToken == RAISED_TOKEN && heartbeatToken == RAISED_TOKEN;
            responseToken = token;
            responseStopsTask = heartbeatShowsTask
                    && (fault == Fault.STOPS_TASK_ONLY_ONCE_DURABLE ? firstKnowsDurable : cancellationRequested);
        }

        void receiveHeartbeatAtSecond() {
            reconciled |= heartbeatToken == SECOND_TOKEN;
            renewalPossibleUntil = Math.max(renewalPossibleUntil, now);
            responseToken = SECOND_TOKEN;
            responseStopsTask = secondKnowsDurable && heartbeatShowsTask;
        }

        void startElsewhere() {
            startedElsewhere = true;
            violation = taskRunning ? Violation.RAN_ON_TWO_MACHINES : violation;
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

    /**
     * Adds the next tick, unless the worker lease has expired by then. Lease expiry kills the task and makes the
     * machine reject the launch: nothing more can happen to the task.
     */
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
            if (state.leaderToken == FIRST_TOKEN && state.firstHoldsLeaderLease()) {
                successors.accept(state.after(State::raiseToken));
            }
        }
    }

    /** The second controller grants the first one a leader lease, or becomes the leader itself. */
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
        if (firstLeads && mayFirstSendWrite(state, fault)) {
            successors.accept(state.after(State::sendWrite));
        }
        // The write may be applied at any later time, unless the leader record has changed.
        if (state.storeReachable && state.writeToken == state.leaderToken && !state.cancellationDurable) {
            successors.accept(state.after(next -> next.cancellationDurable = true));
        }
        if (state.cancellationDurable && firstLeads && !state.firstKnowsDurable) {
            successors.accept(state.after(State::receiveWriteResponse));
        }
    }

    private static boolean mayFirstSendWrite(State state, Fault fault) {
        return state.cancellationRequested
                && !state.cancellationDurable
                && state.writeToken == NO_TOKEN
                && !mayLaunchStillArrive(state, fault);
    }

    /**
     * Whether the launch may still start the task, in the first leader's view: until the launch is acknowledged or, if
     * the first leader has raised its token, until it receives a heartbeat sent under the new token.
     */
    private static boolean mayLaunchStillArrive(State state, Fault fault) {
        return state.leaderToken == FIRST_TOKEN
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

    /** The first leader answers from memory that the job is live, after a user was told that the job is cancelled. */
    private static void addStaleAnswer(State state, Fault fault, Consumer<State> successors) {
        boolean writeUnresolved = state.writeSentAt != NEVER && fault != Fault.ANSWERS_DURING_UNRESOLVED_WRITE;
        boolean answersAsLive = state.now <= state.leaderLeaseUntil() && !writeUnresolved && !state.firstKnowsDurable;
        if (answersAsLive && state.confirmedAt != NEVER) {
            successors.accept(state.after(next -> next.violation = Violation.OLDER_ANSWER_GIVEN));
        }
    }

    private static void addMachineTransitions(State state, Consumer<State> successors) {
        if (state.launchInFlight) {
            successors.accept(state.after(State::receiveLaunch));
        }
        if (state.taskRunning && !state.launchAcknowledged && state.firstHoldsLeaderLease()) {
            successors.accept(state.after(next -> next.launchAcknowledged = true)); // the response to the launch itself
        }
        // A status request carries the leader's token, and renews no lease.
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
        int renewsUntil = state.leaderLeaseUntil() + MAX_RENEWAL_TICKS + (fault == Fault.RENEWS_LEASE_TOO_LONG ? 2 : 0);
        boolean acceptsToken = state.heartbeatToken <= state.tokenOfFirstLeader();
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
        boolean confirmsState = state.heartbeatToken == SECOND_TOKEN || fault == Fault.TRUSTS_HEARTBEAT_WITH_OLD_TOKEN;
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
        assertFalse(result.violationFound(), () -> "" + result.trace());
        assertTrue(result.stateCount() > 50_000, "states " + result.stateCount());
        System.out.println("cancellation model: states " + result.stateCount());
    }

    @Test
    void everyInjectedFaultViolatesAnInvariant() {
        Map<Fault, Violation> violations = new HashMap<>();
        for (Fault fault : Fault.values()) {
            if (fault != Fault.NONE) {
                StateSearch.Result<State> result = search(fault);
                assertTrue(result.violationFound(), fault.toString());
                violations.put(fault, result.violatingState().violation);
                System.out.println("cancellation model: " + fault + " found after "
                        + result.trace().size() + " steps: " + violations.get(fault));
            }
        }
        assertEquals(Violation.OLDER_ANSWER_GIVEN, violations.get(Fault.ANSWERS_DURING_UNRESOLVED_WRITE));
        assertEquals(Violation.RAN_ON_TWO_MACHINES, violations.get(Fault.TRUSTS_HEARTBEAT_WITH_OLD_TOKEN));
        assertEquals(Violation.RAN_AFTER_CANCELLATION, violations.get(Fault.STOPS_TASK_ONLY_ONCE_DURABLE));
        assertEquals(Violation.RAN_AFTER_CANCELLATION, violations.get(Fault.WRITES_BEFORE_LAUNCH_IS_RESOLVED));
    }
}
