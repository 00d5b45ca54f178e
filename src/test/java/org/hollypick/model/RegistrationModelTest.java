package org.hollypick.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hollypick.model.StateSearch.Result;
import org.hollypick.model.StateSearch.Successors;
import org.junit.jupiter.api.Test;

/**
 * Explores every interleaving around a machine that boots between its scale-out request and its registration and is
 * assigned a task at once, while the leader changes.
 *
 * <p>Bounds: one task, submitted before the failover; one new machine, requested by the first leader, and another one
 * that is healthy, known to both leaders and empty; two leaders, one failover; {@value #LAST_TICK} ticks of time, a
 * lease of {@value #LEASE_TICKS}. The machine may boot before the leader receives the response to the scale-out
 * request, or without any response, and before or after the cloud's list shows it. Heartbeats, responses, launches and
 * the responses to launches may be lost or delayed by any time; one heartbeat may be duplicated, and the copy delayed.
 * Up to two compare-and-swaps register the machine: each may be applied at any time or never, and its response may be
 * lost. The machine may be terminated at any time, and is when its lease expires.
 *
 * <p>Invariant: the task doesn't run on both machines ({@link State#ranOnTwoMachines}).
 */
class RegistrationModelTest {
    private static final int LAST_TICK = 4;
    private static final int LEASE_TICKS = 2;
    private static final int NEVER = -1;
    private static final int NO_TOKEN = 0;
    private static final int MAX_WRITES = 2;

    /** The two leaders; each number is the leader's fencing token too. */
    private static final int FIRST = 1;

    private static final int SECOND = 2;

    /** Defects that can be built into the model, to prove that the search detects each of them. */
    private enum Fault {
        NONE,
        LAUNCHES_BEFORE_REGISTRATION_IS_CONFIRMED,
        TREATS_LOST_RESPONSE_AS_REGISTERED,
        TRUSTS_DELAYED_HEARTBEAT,
        IGNORES_UNRECONCILED_MACHINES,
        TREATS_UNLISTED_AS_TERMINATED,
        COUNTS_LEASE_FROM_BEFORE_HEARTBEAT
    }

    /**
     * The state of the leader's compare-and-swap that registers the machine, until its response is received or lost.
     */
    private enum Write {
        NONE,
        IN_FLIGHT,
        APPLIED
    }

    /** One state of the model; copied for each transition, and not changed once passed to the search. */
    private static final class State extends CopyableState<State> {
        int now;
        int leader = FIRST;
        int termStart;

        // The machine and its agent.
        boolean booted;
        /** The machine was terminated, or its lease expired. */
        boolean terminated;

        boolean taskRunning;
        int leaseStart = NEVER;
        /** The highest fencing token that the machine has seen. */
        int machineToken = NO_TOKEN;
        /** The cloud's list shows the machine. */
        boolean listedByCloud;
        /** The task was started on the other machine. */
        boolean startedElsewhere;

        // Messages.
        /** When the newest heartbeat was sent. */
        int heartbeatAt = NEVER;

        boolean heartbeatShowsTask;
        int heartbeatToken;
        boolean heartbeatReceived;
        /** The token of the response in flight to the newest heartbeat. */
        int responseToken = NO_TOKEN;
        /** The response in flight launches the task. */
        boolean responseLaunchesTask;

        boolean launchInFlight;
        /** A copy of a heartbeat is delayed; the heartbeat was sent before the task started. */
        boolean heartbeatCopyHeld;

        // The registration.
        Write write = Write.NONE;
        int writesSent;
        boolean lateWriteInFlight;
        boolean registrationDurable;

        // The current leader's view of the machine.
        boolean knownToLeader;
        /** The leader has received a heartbeat from the machine. */
        boolean anyHeartbeatReceived;

        boolean registrationConfirmed;
        /** The task can't be on the machine unless the leader's view has it assigned there. */
        boolean reconciled = true;
        /** The leader has received a heartbeat that was sent under its own token. */
        boolean confirmedLive;

        boolean leaseExpired;
        /** The start of the machine's lease as the leader counts it. */
        int leaseCountedFrom = NEVER;
        /** The leader has assigned the task to the machine. */
        boolean assigned;
        /** A heartbeat, or the response to the launch, has confirmed the assignment. */
        boolean assignmentConfirmed;
        /** The leader regards the machine as terminated. */
        boolean countedAsTerminated;

        /** The leader has seen the machine in the cloud's list. */
        boolean seenInList;
        /** The task runs on the new machine although it was started on the other one: the invariant is violated. */
        boolean ranOnTwoMachines;

        @Override
        void transitionApplied() {
            ranOnTwoMachines = taskRunning && startedElsewhere;
        }

        StateKey.Packed key() {
            StateKey key = new StateKey().number(now, 3).flag(leader == FIRST).number(termStart, 3);
            key.flag(booted).flag(terminated).flag(taskRunning).time(leaseStart, 3);
            key.number(machineToken, 2).flag(listedByCloud).flag(startedElsewhere);
            key.time(heartbeatAt, 3).flag(heartbeatShowsTask).number(heartbeatToken, 2);
            key.flag(heartbeatReceived).number(responseToken, 2);
            key.flag(responseLaunchesTask).flag(launchInFlight).flag(heartbeatCopyHeld);
            key.number(write.ordinal(), 2).number(writesSent, 2);
            key.flag(lateWriteInFlight).flag(registrationDurable);
            key.flag(knownToLeader)
                    .flag(anyHeartbeatReceived)
                    .flag(registrationConfirmed)
                    .flag(reconciled);
            key.flag(confirmedLive).flag(leaseExpired).time(leaseCountedFrom, 3);
            key.flag(assigned)
                    .flag(assignmentConfirmed)
                    .flag(countedAsTerminated)
                    .flag(seenInList);
            return key.packed();
        }

        @Override
        public String toString() {
            return "now=" + now + " leader=" + leader + " booted=" + booted + " taskRunning=" + taskRunning
                    + " registrationDurable=" + registrationDurable + " registrationConfirmed="
                    + registrationConfirmed + " reconciled=" + reconciled + " assigned=" + assigned
                    + " startedElsewhere=" + startedElsewhere + "\n";
        }

        boolean firstLeads() {
            return leader == FIRST;
        }

        boolean isMachineRunning() {
            return booted && !terminated;
        }

        /** Time passes: the lease may expire on the agent, and as the leader counts it. */
        void tick() {
            now++;
            if (isMachineRunning() && now > leaseStart + LEASE_TICKS) {
                terminate();
            }
            if (isLeaseExpiredForLeader() && (!reconciled || anyHeartbeatReceived)) {
                leaseExpired |= anyHeartbeatReceived;
                markEmpty();
            }
        }

        private boolean isLeaseExpiredForLeader() {
            return knownToLeader && !countedAsTerminated && now > Math.max(leaseCountedFrom, termStart) + LEASE_TICKS;
        }

        /** The machine is terminated; the task on it ends, and messages in flight to it are lost. */
        void terminate() {
            terminated = true;
            taskRunning = false;
            launchInFlight = false;
            dropResponse();
        }

        private void dropResponse() {
            responseToken = NO_TOKEN;
            responseLaunchesTask = false;
        }

        /** The leader concludes that the task can't be on the machine. */
        private void markEmpty() {
            assigned = false;
            assignmentConfirmed = false;
            reconciled = true;
        }

        void boot() {
            booted = true;
            leaseStart = now;
        }

        void discoverInList() {
            seenInList = true;
            knownToLeader = true;
        }

        void markTerminated() {
            countedAsTerminated = true;
            markEmpty();
        }

        void sendRegistration() {
            write = Write.IN_FLIGHT;
            writesSent++;
        }

        void applyRegistration() {
            write = Write.APPLIED;
            registrationDurable = true;
        }

        void applyLateRegistration() {
            lateWriteInFlight = false;
            registrationDurable = true;
        }

        void confirmRegistration() {
            write = Write.NONE;
            registrationConfirmed = true;
        }

        void loseRegistrationResponse(Fault fault) {
            lateWriteInFlight |= write == Write.IN_FLIGHT;
            write = Write.NONE;
            registrationConfirmed = fault == Fault.TREATS_LOST_RESPONSE_AS_REGISTERED;
        }

        /** The machine sends a heartbeat, and no longer accepts a response to the previous one. */
        void sendHeartbeat() {
            heartbeatAt = now;
            heartbeatShowsTask = taskRunning;
            heartbeatToken = machineToken;
            heartbeatReceived = false;
            dropResponse();
        }

        /** The response arrives. A machine that has seen a higher token ignores the response. */
        void receiveResponse() {
            if (responseToken >= machineToken) {
                machineToken = responseToken;
                leaseStart = heartbeatAt;
                taskRunning |= responseLaunchesTask;
            }
            dropResponse();
        }

        /** The launch arrives. A machine that has seen a higher token rejects the launch. */
        void receiveLaunch() {
            launchInFlight = false;
            if (machineToken <= FIRST) {
                machineToken = FIRST;
                taskRunning = true;
            }
        }

        void receiveHeartbeat(Fault fault) {
            heartbeatReceived = true;
            applyHeartbeat(heartbeatShowsTask, heartbeatToken, fault);
            leaseCountedFrom = fault == Fault.COUNTS_LEASE_FROM_BEFORE_HEARTBEAT ? heartbeatAt - 1 : now;
            responseToken = leader;
            responseLaunchesTask = firstLeads() && assigned && !assignmentConfirmed;
        }

        void receiveHeartbeatCopy(Fault fault) {
            heartbeatCopyHeld = false;
            applyHeartbeat(false, FIRST, fault);
            leaseCountedFrom = now;
        }

        private void applyHeartbeat(boolean showsTask, int token, Fault fault) {
            if (!knownToLeader) {
                knownToLeader = true;
                reconciled = true; // the machine isn't registered: no earlier leader can have assigned a task to it
            }
            anyHeartbeatReceived = true;
            boolean current = token == leader || fault == Fault.TRUSTS_DELAYED_HEARTBEAT;
            reconciled |= current;
            confirmedLive |= current;
            if (showsTask && !startedElsewhere) {
                assigned = true;
                assignmentConfirmed = true;
            } else if (!showsTask && assignmentConfirmed) {
                assigned = false;
                assignmentConfirmed = false;
            }
        }

        void startOnMachine() {
            assigned = true;
            assignmentConfirmed = false;
            launchInFlight = !terminated;
        }

        /**
         * The leader receives the response to the launch, and ignores an older heartbeat that doesn't show the task.
         */
        void receiveLaunchResponse() {
            assignmentConfirmed = true;
            heartbeatReceived |= !heartbeatShowsTask;
        }

        /**
         * The second leader takes over. Its view includes the machine if the registration is durable, but not where the
         * task runs.
         */
        void failOver() {
            leader = SECOND;
            termStart = now;
            knownToLeader = registrationDurable;
            registrationConfirmed = registrationDurable;
            reconciled = !registrationDurable;
            anyHeartbeatReceived = false;
            confirmedLive = false;
            leaseExpired = false;
            countedAsTerminated = false;
            seenInList = false;
            leaseCountedFrom = NEVER;
            assigned = false;
            assignmentConfirmed = false;
            heartbeatReceived = false;
            write = Write.NONE;
            lateWriteInFlight = false;
        }

        /** Whether the leader may launch a task on the machine. */
        boolean isUsable(Fault fault) {
            boolean usableTooEarly = fault == Fault.LAUNCHES_BEFORE_REGISTRATION_IS_CONFIRMED && write != Write.NONE;
            boolean live = anyHeartbeatReceived && confirmedLive && !leaseExpired && !countedAsTerminated;
            return (registrationConfirmed || usableTooEarly) && live;
        }

        /**
         * Whether the leader must not start the task elsewhere, since an earlier one may have started it on the
         * machine.
         */
        boolean mustWaitForMachine(Fault fault) {
            return !firstLeads() && knownToLeader && !reconciled && fault != Fault.IGNORES_UNRECONCILED_MACHINES;
        }
    }

    /** Adds every state that may follow; the order decides which of several shortest traces is found. */
    private static void addSuccessors(State state, Fault fault, Successors<State> successors) {
        if (state.now < LAST_TICK) {
            successors.add("time passes", state.after(State::tick));
        }
        addMachineLifecycle(state, successors);
        addCloudResponses(state, fault, successors);
        if (state.firstLeads()) {
            addRegistrationWrites(state, successors);
            addRegistrationResponses(state, fault, successors);
        }
        if (state.isMachineRunning()) {
            addAgentTransitions(state, successors);
        }
        addHeartbeatTransitions(state, fault, successors);
        addHeartbeatCopy(state, fault, successors);
        addScheduling(state, fault, successors);
        addLaunchResponseAndFailover(state, successors);
    }

    private static void addMachineLifecycle(State state, Successors<State> successors) {
        if (!state.booted && !state.terminated) {
            successors.add("the machine boots", state.after(State::boot));
        }
        if (state.isMachineRunning()) {
            successors.add("the machine is terminated", state.after(State::terminate));
        }
    }

    private static void addCloudResponses(State state, Fault fault, Successors<State> successors) {
        if (!state.knownToLeader && state.firstLeads()) {
            successors.add(
                    "the leader receives the response to the scale-out request",
                    state.after(next -> next.knownToLeader = true));
        }
        if (!state.listedByCloud && !state.terminated) {
            successors.add("the cloud's list shows the machine", state.after(next -> next.listedByCloud = true));
        }
        if (state.listedByCloud && !state.terminated && !state.seenInList) {
            successors.add("the leader sees the machine in the cloud's list", state.after(State::discoverInList));
        }
        if (state.knownToLeader && isMissingInList(state, fault) && !state.countedAsTerminated) {
            successors.add(
                    "the leader finds that the cloud's list lacks the machine", state.after(State::markTerminated));
        }
    }

    /** Whether the cloud's list lacks the machine. Once listed, a machine stays listed until it is terminated. */
    private static boolean isMissingInList(State state, Fault fault) {
        boolean notListedYet = fault == Fault.TREATS_UNLISTED_AS_TERMINATED && !state.listedByCloud;
        return (state.seenInList && state.terminated) || notListedYet;
    }

    /** Registration writes are conditional on the leader record: only those of the current leader can succeed. */
    private static void addRegistrationWrites(State state, Successors<State> successors) {
        boolean wanted = state.anyHeartbeatReceived && !state.registrationConfirmed;
        if (wanted && state.write == Write.NONE && state.writesSent < MAX_WRITES) {
            successors.add("the leader registers the machine", state.after(State::sendRegistration));
        }
        if (state.write == Write.IN_FLIGHT) {
            successors.add("the registration is applied", state.after(State::applyRegistration));
        }
        if (state.lateWriteInFlight) {
            successors.add("the delayed registration is applied", state.after(State::applyLateRegistration));
        }
    }

    private static void addRegistrationResponses(State state, Fault fault, Successors<State> successors) {
        if (state.write == Write.APPLIED) {
            successors.add(
                    "the leader receives the response to the registration", state.after(State::confirmRegistration));
        }
        if (state.write != Write.NONE) {
            successors.add(
                    "the response to the registration is lost",
                    state.after(next -> next.loseRegistrationResponse(fault)));
        }
    }

    private static void addAgentTransitions(State state, Successors<State> successors) {
        boolean changed = state.taskRunning != state.heartbeatShowsTask || state.machineToken != state.heartbeatToken;
        if (state.heartbeatAt < state.now || changed) {
            successors.add("the machine sends a heartbeat", state.after(State::sendHeartbeat));
        }
        if (state.responseToken != NO_TOKEN) {
            successors.add("the response reaches the machine", state.after(State::receiveResponse));
        }
        if (state.launchInFlight) {
            successors.add("the launch reaches the machine", state.after(State::receiveLaunch));
        }
        if (state.leader > state.machineToken && state.knownToLeader) {
            successors.add(
                    "a status request reaches the machine", state.after(next -> next.machineToken = next.leader));
        }
    }

    private static void addHeartbeatTransitions(State state, Fault fault, Successors<State> successors) {
        if (state.heartbeatAt == NEVER) {
            return;
        }
        boolean accepted = state.heartbeatToken <= state.leader && !state.leaseExpired && !state.countedAsTerminated;
        if (!state.heartbeatReceived && accepted) {
            successors.add("the heartbeat reaches the leader", state.after(next -> next.receiveHeartbeat(fault)));
        }
        if (state.firstLeads() && !state.heartbeatShowsTask && !state.heartbeatCopyHeld) {
            successors.add("a copy of the heartbeat is delayed", state.after(next -> next.heartbeatCopyHeld = true));
        }
    }

    private static void addHeartbeatCopy(State state, Fault fault, Successors<State> successors) {
        boolean accepted = !state.anyHeartbeatReceived && !state.countedAsTerminated;
        if (!state.firstLeads() && state.heartbeatCopyHeld && accepted) {
            successors.add(
                    "the delayed copy reaches the leader", state.after(next -> next.receiveHeartbeatCopy(fault)));
        }
    }

    private static void addScheduling(State state, Fault fault, Successors<State> successors) {
        boolean pending = !state.assigned && !state.startedElsewhere;
        if (state.firstLeads() && pending && state.isUsable(fault) && !state.launchInFlight) {
            successors.add("the leader starts the task on the machine", state.after(State::startOnMachine));
        }
        if (pending && !state.mustWaitForMachine(fault)) {
            successors.add("the leader starts the task elsewhere", state.after(next -> next.startedElsewhere = true));
        }
    }

    private static void addLaunchResponseAndFailover(State state, Successors<State> successors) {
        if (!state.firstLeads()) {
            return;
        }
        if (state.assigned && !state.assignmentConfirmed && state.taskRunning) {
            successors.add("the leader receives the response to the launch", state.after(State::receiveLaunchResponse));
        }
        successors.add("the second leader takes over", state.after(State::failOver));
    }

    private static Result<State> search(Fault fault) {
        return StateSearch.runByKey(
                List.of(new State()),
                (state, successors) -> addSuccessors(state, fault, successors),
                state -> state.ranOnTwoMachines,
                State::key);
    }

    @Test
    void taskNeverRunsOnTwoMachines() {
        Result<State> result = search(Fault.NONE);
        assertFalse(result.violationFound(), () -> result.actions() + "\n" + result.trace());
        assertTrue(result.stateCount() > 50_000, "states " + result.stateCount());
        System.out.println("registration model: states " + result.stateCount());
    }

    @Test
    void everyInjectedFaultViolatesTheInvariant() {
        for (Fault fault : Fault.values()) {
            if (fault != Fault.NONE) {
                Result<State> result = search(fault);
                assertTrue(result.violationFound(), fault.toString());
                System.out.println(
                        "registration model: " + fault + " after " + result.actionCount() + ": " + result.actions());
            }
        }
    }
}
