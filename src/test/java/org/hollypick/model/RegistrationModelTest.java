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
 * Explores a machine that comes up between its scale-out request and its registration, gets a task at once, and whose
 * leader is deposed.
 *
 * <p>Bounds: one task, submitted before the failover; one new machine, requested by the first leader, and another one
 * that is healthy, known to both leaders and empty; two leaders, one failover; {@value #LAST_TICK} ticks of time, a
 * lease of {@value #LEASE_TICKS}. The machine may be up before the response to the scale-out request comes, or without
 * one, and before or after the cloud's list shows it. Heartbeats, responses, launches and the responses to launches may
 * be lost or delayed by any time; one copy of a heartbeat is held back. Two compare-and-swaps register the machine,
 * each carried out at any time or never, its response lost or not. The machine may be terminated at any time; its lease
 * expiry takes it out of play.
 *
 * <p>Invariant: the task isn't on both machines ({@code ran_twice}).
 */
class RegistrationModelTest {
    private static final int LAST_TICK = 4;
    private static final int LEASE_TICKS = 2;
    private static final int NEVER = -1;
    private static final int NO_TOKEN = 0;
    private static final int MAX_WRITES = 2;

    /** The two leaders, which are also their fencing tokens. */
    private static final int FIRST = 1;

    private static final int SECOND = 2;

    /** Defects that the model can be given, to prove that it finds them. */
    private enum Fault {
        NONE,
        LAUNCHES_BEFORE_REGISTRATION_IS_CONFIRMED,
        TREATS_LOST_RESPONSE_AS_REGISTERED,
        TRUSTS_DELAYED_HEARTBEAT,
        IGNORES_UNRECONCILED_MACHINES,
        TREATS_UNLISTED_AS_TERMINATED,
        COUNTS_LEASE_FROM_HEARTBEAT
    }

    /** The compare-and-swap that registers the machine, as its writer knows it. */
    private enum Write {
        NONE,
        IN_FLIGHT,
        CARRIED_OUT
    }

    /** One state of the model; copied for each transition, and not changed once handed to the search. */
    private static final class State implements Cloneable {
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
        /** The cloud lists the machine. */
        boolean listed;
        /** The task is on the other machine. */
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
        /** A copy of a heartbeat, held back; it was sent before the task came. */
        boolean heartbeatCopyHeld;

        // The registration.
        Write write = Write.NONE;
        int writesSent;
        boolean lateWriteInFlight;
        boolean registrationDurable;

        // What the present leader knows of the machine.
        boolean known;
        /** The leader has received a heartbeat of the machine. */
        boolean anyHeartbeatReceived;

        boolean registrationConfirmed;
        /** The leader knows whether the task may be on the machine. */
        boolean reconciled = true;
        /** The leader has received a heartbeat that was sent under its own token. */
        boolean confirmedLive;

        boolean leaseExpired;
        /** From when the leader counts the machine's lease. */
        int leaseCountedFrom = NEVER;
        /** The leader assigned the task to the machine. */
        boolean assigned;
        /** A heartbeat, or the launch's response, confirmed that assignment. */
        boolean assignmentConfirmed;
        /** The leader counts the machine as terminated. */
        boolean countedAsTerminated;

        boolean seenInList;
        /** The invariant is violated. */
        boolean ranTwice;

        State after(Consumer<State> transition) {
            try {
                State copy = (State) clone();
                transition.accept(copy);
                copy.ranTwice = copy.taskRunning && copy.startedElsewhere;
                return copy;
            } catch (CloneNotSupportedException e) {
                throw new AssertionError(e);
            }
        }

        StateKey.Packed key() {
            StateKey key = new StateKey().number(now, 3).flag(leader == FIRST).number(termStart, 3);
            key.flag(booted).flag(terminated).flag(taskRunning).time(leaseStart, 3);
            key.number(machineToken, 2).flag(listed).flag(startedElsewhere);
            key.time(heartbeatAt, 3).flag(heartbeatShowsTask).number(heartbeatToken, 2);
            key.flag(heartbeatReceived).number(responseToken, 2);
            key.flag(responseLaunchesTask).flag(launchInFlight).flag(heartbeatCopyHeld);
            key.number(write.ordinal(), 2).number(writesSent, 2);
            key.flag(lateWriteInFlight).flag(registrationDurable);
            key.flag(known)
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

        /** Time passes: the agent's lease may expire, and so may the lease by the leader's account. */
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
            return known && !countedAsTerminated && now > Math.max(leaseCountedFrom, termStart) + LEASE_TICKS;
        }

        /** The machine goes, with everything on it and on its way to it. */
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

        /** The leader knows that nothing can be on the machine. */
        private void markEmpty() {
            assigned = false;
            assignmentConfirmed = false;
            reconciled = true;
        }

        void boot() {
            booted = true;
            leaseStart = now;
        }

        void seeInList() {
            seenInList = true;
            known = true;
        }

        void missInList() {
            countedAsTerminated = true;
            markEmpty();
        }

        void sendRegistration() {
            write = Write.IN_FLIGHT;
            writesSent++;
        }

        void carryOutRegistration() {
            write = Write.CARRIED_OUT;
            registrationDurable = true;
        }

        void carryOutLateRegistration() {
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

        /** The machine sends a heartbeat; a response to the one before would come too late. */
        void sendHeartbeat() {
            heartbeatAt = now;
            heartbeatShowsTask = taskRunning;
            heartbeatToken = machineToken;
            heartbeatReceived = false;
            dropResponse();
        }

        /** The response arrives; under an older token it is ignored. */
        void receiveResponse() {
            if (responseToken >= machineToken) {
                machineToken = responseToken;
                leaseStart = heartbeatAt;
                taskRunning |= responseLaunchesTask;
            }
            dropResponse();
        }

        /** The launch arrives; the machine refuses it under a token lower than the highest it has seen. */
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
            leaseCountedFrom = fault == Fault.COUNTS_LEASE_FROM_HEARTBEAT ? heartbeatAt - 1 : now;
            responseToken = leader;
            responseLaunchesTask = firstLeads() && assigned && !assignmentConfirmed;
        }

        void receiveHeartbeatCopy(Fault fault) {
            heartbeatCopyHeld = false;
            applyHeartbeat(false, FIRST, fault);
            leaseCountedFrom = now;
        }

        private void applyHeartbeat(boolean showsTask, int token, Fault fault) {
            if (!known) {
                known = true;
                reconciled = true; // it isn't registered: no earlier leader can have assigned a task to it
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

        /** The launch's response arrives; an older heartbeat that doesn't show the task no longer counts. */
        void receiveLaunchResponse() {
            assignmentConfirmed = true;
            heartbeatReceived |= !heartbeatShowsTask;
        }

        /**
         * The second leader knows the machines whose registration is durable; where the task is, it has to find out.
         */
        void failOver() {
            leader = SECOND;
            termStart = now;
            known = registrationDurable;
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
            boolean tooEarly = fault == Fault.LAUNCHES_BEFORE_REGISTRATION_IS_CONFIRMED && write != Write.NONE;
            boolean live = anyHeartbeatReceived && confirmedLive && !leaseExpired && !countedAsTerminated;
            return (registrationConfirmed || tooEarly) && live;
        }

        /** Whether the leader must wait, since an earlier leader may have started the task on the machine. */
        boolean mustWaitForMachine(Fault fault) {
            return !firstLeads() && known && !reconciled && fault != Fault.IGNORES_UNRECONCILED_MACHINES;
        }
    }

    /** Adds every state that may follow; the order decides which of several shortest traces is found. */
    private static void addSuccessors(State state, Fault fault, Successors<State> successors) {
        if (state.now < LAST_TICK) {
            successors.add("time passes", state.after(State::tick));
        }
        addMachineLifecycle(state, successors);
        addCloudAnswers(state, fault, successors);
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
            successors.add("the machine comes up", state.after(State::boot));
        }
        if (state.isMachineRunning()) {
            successors.add("the machine is terminated", state.after(State::terminate));
        }
    }

    private static void addCloudAnswers(State state, Fault fault, Successors<State> successors) {
        if (!state.known && state.firstLeads()) {
            successors.add("the scale-out request is answered", state.after(next -> next.known = true));
        }
        if (!state.listed && !state.terminated) {
            successors.add("the list shows the machine", state.after(next -> next.listed = true));
        }
        if (state.listed && !state.terminated && !state.seenInList) {
            successors.add("the leader sees it in the list", state.after(State::seeInList));
        }
        if (state.known && isMissingInList(state, fault) && !state.countedAsTerminated) {
            successors.add("the leader misses it in the list", state.after(State::missInList));
        }
    }

    /** Once listed, the machine stays so until it is terminated. */
    private static boolean isMissingInList(State state, Fault fault) {
        boolean listedTooLate = fault == Fault.TREATS_UNLISTED_AS_TERMINATED && !state.listed;
        return (state.seenInList && state.terminated) || listedTooLate;
    }

    /** Writes are conditional on the leader record. */
    private static void addRegistrationWrites(State state, Successors<State> successors) {
        boolean wanted = state.anyHeartbeatReceived && !state.registrationConfirmed;
        if (wanted && state.write == Write.NONE && state.writesSent < MAX_WRITES) {
            successors.add("the leader registers the machine", state.after(State::sendRegistration));
        }
        if (state.write == Write.IN_FLIGHT) {
            successors.add("the registration is carried out", state.after(State::carryOutRegistration));
        }
        if (state.lateWriteInFlight) {
            successors.add("the late registration is carried out", state.after(State::carryOutLateRegistration));
        }
    }

    private static void addRegistrationResponses(State state, Fault fault, Successors<State> successors) {
        if (state.write == Write.CARRIED_OUT) {
            successors.add("the leader learns that the machine is registered", state.after(State::confirmRegistration));
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
        if (state.leader > state.machineToken && state.known) {
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
            successors.add("a copy of the heartbeat is held back", state.after(next -> next.heartbeatCopyHeld = true));
        }
    }

    private static void addHeartbeatCopy(State state, Fault fault, Successors<State> successors) {
        boolean accepted = !state.anyHeartbeatReceived && !state.countedAsTerminated;
        if (!state.firstLeads() && state.heartbeatCopyHeld && accepted) {
            successors.add("the copy reaches the leader", state.after(next -> next.receiveHeartbeatCopy(fault)));
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
            successors.add("the launch is answered", state.after(State::receiveLaunchResponse));
        }
        successors.add("the second leader takes over", state.after(State::failOver));
    }

    private static Result<State> search(Fault fault) {
        Set<StateKey.Packed> visitedKeys = new HashSet<>();
        return StateSearch.run(
                List.of(new State()),
                (state, successors) -> addSuccessors(state, fault, successors),
                state -> state.ranTwice,
                state -> visitedKeys.add(state.key()));
    }

    @Test
    void taskIsNeverOnTwoMachines() {
        Result<State> result = search(Fault.NONE);
        assertFalse(result.broken(), () -> result.actions() + "\n" + result.trace());
        assertTrue(result.states() > 50_000, "states " + result.states());
        System.out.println("registration model: states " + result.states());
    }

    @Test
    void findsEachInjectedFault() {
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
