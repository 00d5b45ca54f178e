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
 * Explores a team at its quota while one of its jobs is cancelled, a machine hangs and the leader changes.
 *
 * <p>Bounds: three jobs of one task each (the first may be cancelled, the second ends at some time, the third is
 * submitted before or after the failover); a quota of two tasks with the first two jobs running, or of one with only
 * the second running; two leaders, one failover; {@value #LAST_TICK} ticks of time, a lease of {@value #LEASE_TICKS}.
 * Each of two machines has room for two tasks. The first one may hang: its heartbeats, their responses and a launch to
 * it are delayed by any time or lost, and it gets no task but the first job's. The second one is healthy: its
 * heartbeats are answered at once, or not at all; where the quota is one, a copy of one of them is held back for the
 * second leader. A machine whose lease expired takes no part any more. Writes succeed at once, and users are answered
 * at once: {@link CancellationModelTest} has their losses.
 *
 * <p>Invariants: what runs on machines never exceeds the quota ({@code QUOTA_EXCEEDED}); no task runs on two machines
 * ({@code RAN_TWICE}); nothing of a cancelled job runs, or starts, later than {@value #CANCELLATION_TICKS} ticks after
 * its cancellation was confirmed ({@code RAN_AFTER_CANCELLATION}).
 */
class LimitModelTest {
    private static final int LAST_TICK = 3;
    private static final int LEASE_TICKS = 1;
    private static final int CANCELLATION_TICKS = 1;
    private static final int NEVER = -1;
    private static final int MACHINES = 2;
    /** The index of the second machine; the first one may hang. */
    private static final int HEALTHY = 1;
    /** How many tasks a machine has room for. */
    private static final int TASKS_PER_MACHINE = 2;

    /** The tasks; a set of tasks is a sum of these. */
    private static final int CANCELLED = 1;

    private static final int ENDING = 2;
    private static final int SUBMITTED = 4;
    private static final int[] TASKS = {CANCELLED, ENDING, SUBMITTED};

    private static final int NO_TOKEN = 0;

    /** The two leaders, which are also their fencing tokens. */
    private static final int FIRST = 1;

    private static final int SECOND = 2;

    /** Defects that the model can be given, to prove that it finds them. */
    private enum Fault {
        NONE,
        FREES_QUOTA_OF_SILENT_MACHINES,
        FREES_QUOTA_WHEN_TOLD_TO_STOP,
        COUNTS_ONLY_INHERITED_TASKS,
        IGNORES_ORPHANED_TASKS,
        TRUSTS_OLD_HEARTBEAT_FOR_INHERITED_TASKS,
        STARTS_OLDER_JOBS_AT_ONCE
    }

    /** The invariants, named by how they are violated. */
    private enum Violation {
        QUOTA_EXCEEDED,
        RAN_TWICE,
        RAN_AFTER_CANCELLATION
    }

    /** A machine with its agent, the messages in flight from and to it, and what the present leader knows of it. */
    private static final class Machine implements Cloneable {
        boolean terminated;
        int runningTasks;
        /** The agent lists the second job's task as done. */
        boolean listsDone;

        int leaseStart;
        /** The highest fencing token that the machine has seen. */
        int machineToken = FIRST;
        /** When the newest heartbeat was sent. */
        int heartbeatAt = NEVER;

        int heartbeatTasks;
        boolean heartbeatListsDone;
        int heartbeatToken = FIRST;
        /** The present leader has received the newest heartbeat. */
        boolean heartbeatReceived;
        /** The leader has a newer response to a launch: the heartbeat renews the lease, and nothing else. */
        boolean heartbeatOutdated;
        /** The token of the response in flight to the newest heartbeat. */
        int responseToken = NO_TOKEN;
        /** The tasks that this response stops. */
        int tasksToStop;
        /** The token of the launch in flight. */
        int launchToken = NO_TOKEN;
        /** The task of the launch in flight, 0 for none. */
        int launchTask;

        // The leader's view of the machine.
        /** The leader has received a heartbeat. */
        boolean anyHeartbeatReceived = true;
        /** The leader has received a heartbeat sent under its own token, or knows that the lease expired. */
        boolean reconciled = true;

        boolean hasOrphanedTasks;
        /** From when the leader counts the lease. */
        int leaseCountedFrom;

        int assignedTasks;
        /** The assigned tasks that a heartbeat, or a launch's response, has confirmed. */
        int confirmedTasks;

        Machine copy() {
            try {
                return (Machine) clone();
            } catch (CloneNotSupportedException e) {
                throw new AssertionError(e);
            }
        }

        /** The leader knows every task on the machine. */
        boolean isFullyKnown() {
            return reconciled && !hasOrphanedTasks;
        }

        boolean isAssigned(int task) {
            return (assignedTasks & task) != 0;
        }

        void assign(int task) {
            assignedTasks |= task;
        }

        void confirm(int task) {
            assignedTasks |= task;
            confirmedTasks |= task;
        }

        void unassign(int task) {
            assignedTasks &= ~task;
            confirmedTasks &= ~task;
        }

        int unconfirmedTasks() {
            return assignedTasks & ~confirmedTasks;
        }

        /** The agent's lease expires, which stops everything on the machine. */
        void terminate() {
            terminated = true;
            runningTasks = 0;
            listsDone = false;
            responseToken = NO_TOKEN;
            launchTask = 0;
            leaseStart = NEVER;
        }

        /** The leader knows that nothing runs on the machine any more. */
        void markEmpty() {
            assignedTasks = 0;
            confirmedTasks = 0;
            hasOrphanedTasks = false;
            reconciled = true;
        }

        boolean hasChangedSinceHeartbeat() {
            return runningTasks != heartbeatTasks || listsDone != heartbeatListsDone || machineToken != heartbeatToken;
        }

        /** The machine sends a heartbeat; a response to the one before would come too late. */
        void sendHeartbeat(int now) {
            heartbeatAt = now;
            heartbeatTasks = runningTasks;
            heartbeatListsDone = listsDone;
            heartbeatToken = machineToken;
            heartbeatReceived = false;
            heartbeatOutdated = false;
            responseToken = NO_TOKEN;
            tasksToStop = 0;
        }

        /** The response arrives; under an older token it is ignored. */
        void receiveResponse() {
            if (responseToken >= machineToken) {
                machineToken = responseToken;
                leaseStart = heartbeatAt;
                runningTasks &= ~tasksToStop;
            }
            responseToken = NO_TOKEN;
            tasksToStop = 0;
        }

        /** The launch arrives; the machine refuses it under an older token. */
        void receiveLaunch() {
            if (launchToken >= machineToken) {
                machineToken = launchToken;
                runningTasks |= launchTask;
            }
            launchTask = 0;
            launchToken = NO_TOKEN;
        }

        /** The launch arrives, and its response reaches the leader. */
        void receiveLaunchAndRespond() {
            int task = launchTask;
            receiveLaunch();
            confirmedTasks |= task & runningTasks;
            heartbeatOutdated = true;
        }

        void endTask() {
            runningTasks &= ~ENDING;
            listsDone = true;
        }

        /** A new leader knows nothing of the machine. */
        void forgetByLeader() {
            heartbeatReceived = false;
            heartbeatOutdated = false;
            anyHeartbeatReceived = false;
            reconciled = false;
            hasOrphanedTasks = false;
            leaseCountedFrom = NEVER;
            assignedTasks = 0;
            confirmedTasks = 0;
        }

        void addTo(StateKey key) {
            key.flag(terminated).number(runningTasks, 3).flag(listsDone).time(leaseStart, 3);
            key.number(machineToken, 2).time(heartbeatAt, 3).number(heartbeatTasks, 3);
            key.flag(heartbeatListsDone).number(heartbeatToken, 2);
            key.flag(heartbeatReceived).flag(heartbeatOutdated);
            key.number(responseToken, 2).number(tasksToStop, 3);
            key.number(launchToken, 2).number(launchTask, 3);
            key.flag(anyHeartbeatReceived).flag(reconciled).flag(hasOrphanedTasks);
            key.time(leaseCountedFrom, 3).number(assignedTasks, 3).number(confirmedTasks, 3);
        }

        @Override
        public String toString() {
            return "{runningTasks=" + runningTasks + (terminated ? " terminated" : "") + " assignedTasks="
                    + assignedTasks + " reconciled=" + reconciled + " hasOrphanedTasks=" + hasOrphanedTasks + "}";
        }
    }

    /** A copy of a heartbeat, held back; {@code machine} is the index of its sender. */
    private record HeartbeatCopy(int machine, int tasks, boolean listsDone) {}

    /** One state of the model; copied for each transition, and not changed once handed to the search. */
    private static final class State implements Cloneable {
        final int quota;
        int now;
        int leader = FIRST;
        int termStart;
        Machine[] machines = {new Machine(), new Machine()};
        /** The copy that is held back, null if none. */
        HeartbeatCopy heartbeatCopy;
        /** The token under which the third job was submitted. */
        int submittedUnder = NO_TOKEN;
        /** The leader knows that the second job's task is done. */
        boolean knownDone;
        /** The leader has been asked to cancel the first job. */
        boolean cancellationRequested;

        boolean cancellationDurable;
        /** When the user was told that the job is cancelled. */
        int confirmedAt = NEVER;
        /** Tasks of the leader before that this leader has found running. */
        int inheritedTasks;
        /** The leader has once known every task on all machines. */
        boolean reconciliationComplete = true;
        /** Tasks whose latest attempt was started on the second machine. */
        int startedLastOnSecondMachine = ENDING;
        /** Tasks whose latest attempt was started by the second leader. */
        int startedBySecondLeader;
        /** The invariant that this state violates, null if none. */
        Violation violation;

        State(int quota) {
            this.quota = quota;
        }

        State after(Consumer<State> transition) {
            try {
                State copy = (State) clone();
                copy.machines = new Machine[] {machines[0].copy(), machines[1].copy()};
                transition.accept(copy);
                copy.checkInvariants();
                copy.normalize();
                return copy;
            } catch (CloneNotSupportedException e) {
                throw new AssertionError(e);
            }
        }

        /** Gives everything that has no effect any more the same value in all states. */
        private void normalize() {
            for (Machine machine : machines) {
                if (now > machine.leaseCountedFrom + LEASE_TICKS) {
                    machine.leaseCountedFrom = NEVER;
                }
                boolean receivedForGood = !firstLeads() || machine == machines[HEALTHY];
                if (machine.responseToken == NO_TOKEN && machine.heartbeatReceived && receivedForGood) {
                    machine.heartbeatAt = now == machine.heartbeatAt ? now : NEVER;
                }
            }
            if (firstLeads()) {
                return;
            }
            if (heartbeatCopy != null && machines[heartbeatCopy.machine].anyHeartbeatReceived) {
                heartbeatCopy = null;
            }
            if (now > termStart + LEASE_TICKS) {
                termStart = NEVER;
            }
        }

        StateKey.Packed key() {
            boolean copyHeld = heartbeatCopy != null;
            StateKey key = new StateKey().flag(quota == 1).number(now, 3);
            key.flag(firstLeads()).time(firstLeads() ? NEVER : termStart, 3);
            key.number(submittedUnder, 2).flag(knownDone);
            key.flag(cancellationRequested).flag(cancellationDurable).time(confirmedAt, 3);
            key.number(inheritedTasks, 3).flag(reconciliationComplete);
            key.number(startedLastOnSecondMachine, 3).number(startedBySecondLeader, 3);
            key.flag(copyHeld).number(copyHeld ? heartbeatCopy.machine : 0, 1);
            key.number(copyHeld ? heartbeatCopy.tasks : 0, 3).flag(copyHeld && heartbeatCopy.listsDone);
            machines[0].addTo(key);
            machines[1].addTo(key);
            return key.packed();
        }

        private void checkInvariants() {
            int first = machines[0].runningTasks;
            int second = machines[1].runningTasks;
            boolean cancellationOverdue = confirmedAt != NEVER && now > confirmedAt + CANCELLATION_TICKS;
            if (Integer.bitCount(first) + Integer.bitCount(second) > quota) {
                violation = Violation.QUOTA_EXCEEDED;
            } else if ((first & second) != 0) {
                violation = Violation.RAN_TWICE;
            } else if (cancellationOverdue && ((first | second) & CANCELLED) != 0) {
                violation = Violation.RAN_AFTER_CANCELLATION;
            }
        }

        boolean firstLeads() {
            return leader == FIRST;
        }

        boolean isAssigned(int task) {
            return machines[0].isAssigned(task) || machines[1].isAssigned(task);
        }

        /** Whether the first job's task may still be launched by a message that nobody has accounted for. */
        boolean mayLaunchStillArrive() {
            int unconfirmed = machines[0].unconfirmedTasks() | machines[1].unconfirmedTasks();
            return (unconfirmed & CANCELLED) != 0 || !machines[0].reconciled || !machines[1].reconciled;
        }

        /** By the leader's account, as {@code WorkerLeases.isExpired} has it. */
        boolean isLeaseExpired(Machine machine) {
            return now > Math.max(machine.leaseCountedFrom, termStart) + LEASE_TICKS;
        }

        /** Time passes: leases expire by the agents' account and by the leader's. */
        void tick() {
            now++;
            for (Machine machine : machines) {
                if (!machine.terminated && now > machine.leaseStart + LEASE_TICKS) {
                    machine.terminate();
                }
                if (isLeaseExpired(machine)) {
                    machine.markEmpty();
                }
            }
            updateReconciliation();
        }

        private void updateReconciliation() {
            reconciliationComplete |= machines[0].isFullyKnown() && machines[1].isFullyKnown();
            inheritedTasks = reconciliationComplete ? 0 : inheritedTasks;
        }

        /** The newest heartbeat of a machine reaches the leader, which responds. */
        void receiveHeartbeat(int index, Fault fault) {
            Machine machine = machines[index];
            machine.heartbeatReceived = true;
            if (machine.heartbeatOutdated) {
                machine.leaseCountedFrom = now;
            } else {
                applyHeartbeat(
                        new HeartbeatCopy(index, machine.heartbeatTasks, machine.heartbeatListsDone),
                        machine.heartbeatToken,
                        fault);
            }
            machine.responseToken = leader;
            machine.tasksToStop = unwantedTasks(machine);
        }

        /** The copy that was held back reaches the leader; its agent waits for no response any more. */
        void receiveHeartbeatCopy(Fault fault) {
            applyHeartbeat(heartbeatCopy, FIRST, fault);
            heartbeatCopy = null;
        }

        void exchangeHeartbeat(int index, Fault fault) {
            machines[index].sendHeartbeat(now);
            receiveHeartbeat(index, fault);
            machines[index].receiveResponse();
        }

        private void applyHeartbeat(HeartbeatCopy heartbeat, int token, Fault fault) {
            Machine machine = machines[heartbeat.machine];
            machine.anyHeartbeatReceived = true;
            machine.leaseCountedFrom = now;
            knownDone |= heartbeat.listsDone;
            machine.hasOrphanedTasks = false;
            boolean current = token == leader || fault == Fault.TRUSTS_OLD_HEARTBEAT_FOR_INHERITED_TASKS;
            for (int task : TASKS) {
                if ((heartbeat.tasks & task) == 0) {
                    machine.unassign(task & machine.confirmedTasks);
                } else if (machine.isAssigned(task) || adopt(heartbeat.machine, task)) {
                    machine.confirm(task);
                    inheritedTasks |= current && !reconciliationComplete ? task & ~startedBySecondLeader : 0;
                } else {
                    machine.hasOrphanedTasks |= fault != Fault.IGNORES_ORPHANED_TASKS;
                }
            }
            machine.reconciled |= token == leader;
            updateReconciliation();
        }

        /**
         * Takes up a task that the leader didn't know to be on this machine, unless the task is over. If it is assigned
         * elsewhere too, the newer attempt counts.
         *
         * @return whether the task was taken up
         */
        private boolean adopt(int index, int task) {
            Machine other = machines[1 - index];
            boolean newestOnSecond = (startedLastOnSecondMachine & task) != 0;
            boolean newestElsewhere = newestOnSecond != (index == 1);
            if (isOver(task) || (other.isAssigned(task) && newestElsewhere)) {
                return false;
            }
            other.unassign(task);
            return true;
        }

        private boolean isOver(int task) {
            return task == CANCELLED ? cancellationDurable : task == ENDING && knownDone;
        }

        /** The tasks in the machine's newest heartbeat that the response stops. */
        private int unwantedTasks(Machine machine) {
            int over = (cancellationRequested ? CANCELLED : 0) | (knownDone ? ENDING : 0);
            return machine.heartbeatTasks & (~machine.assignedTasks | over);
        }

        /** The cancellation is written and confirmed at once; a later confirmation would be easier to keep. */
        void cancel() {
            cancellationDurable = true;
            confirmedAt = now;
        }

        /** The second leader knows what is durable, and not which task is on which machine. */
        void failOver() {
            leader = SECOND;
            termStart = now;
            knownDone = false;
            cancellationRequested = cancellationDurable;
            reconciliationComplete = false;
            for (Machine machine : machines) {
                machine.forgetByLeader();
            }
        }

        void startTask(int index, int task) {
            Machine machine = machines[index];
            machine.assign(task);
            machine.launchTask = task;
            machine.launchToken = leader;
            startedLastOnSecondMachine =
                    index == 1 ? startedLastOnSecondMachine | task : startedLastOnSecondMachine & ~task;
            startedBySecondLeader |= firstLeads() ? 0 : task;
            if (index == HEALTHY) {
                machine.receiveLaunch();
                machine.confirm(task);
            }
        }

        boolean mayStart(int index, int task, Fault fault) {
            // The machine that may hang gets nothing but the task that is cancelled.
            boolean withinBounds = index == HEALTHY || (firstLeads() && task == CANCELLED);
            return withinBounds
                    && isWanted(task)
                    && !isAssigned(task)
                    && !mustWaitForReconciliation(task, fault)
                    && isUsable(machines[index])
                    && isWithinQuota(fault);
        }

        private boolean isWanted(int task) {
            if (task == CANCELLED) {
                return !cancellationRequested;
            }
            return task == ENDING ? !knownDone : submittedUnder != NO_TOKEN;
        }

        /** Jobs older than the leader's term may be running on a machine that isn't reconciled yet. */
        private boolean mustWaitForReconciliation(int task, Fault fault) {
            boolean olderThanTerm = task != SUBMITTED || submittedUnder != leader;
            return olderThanTerm && !reconciliationComplete && fault != Fault.STARTS_OLDER_JOBS_AT_ONCE;
        }

        private boolean isUsable(Machine machine) {
            return machine.reconciled
                    && machine.anyHeartbeatReceived
                    && !isLeaseExpired(machine)
                    && Integer.bitCount(machine.assignedTasks) < TASKS_PER_MACHINE
                    && machine.launchTask == 0;
        }

        /** Whether one more task keeps the quota, as {@code TeamUsage} counts it. */
        private boolean isWithinQuota(Fault fault) {
            int used = 0;
            int roomOfUnknown = 0;
            int freed = fault == Fault.FREES_QUOTA_WHEN_TOLD_TO_STOP && cancellationRequested ? CANCELLED : 0;
            for (Machine machine : machines) {
                boolean silent = now > Math.max(machine.leaseCountedFrom, termStart);
                if (!silent || fault != Fault.FREES_QUOTA_OF_SILENT_MACHINES) {
                    used += Integer.bitCount(machine.assignedTasks & ~freed);
                    roomOfUnknown += machine.isFullyKnown() ? 0 : TASKS_PER_MACHINE;
                }
            }
            int leftByInherited = quota - Integer.bitCount(inheritedTasks);
            boolean countsUnknown = !reconciliationComplete && fault != Fault.COUNTS_ONLY_INHERITED_TASKS;
            return used + (countsUnknown ? Math.min(roomOfUnknown, leftByInherited) : 0) + 1 <= quota;
        }

        @Override
        public String toString() {
            return "now=" + now + " leader=" + leader + " confirmedAt=" + confirmedAt + " inheritedTasks="
                    + inheritedTasks + " " + List.of(machines) + " violation=" + violation + "\n";
        }
    }

    /** Adds every state that may follow; the order decides which of several shortest traces is found. */
    private static void addSuccessors(State state, Fault fault, Successors<State> successors) {
        if (state.now < LAST_TICK) {
            successors.add("time passes", state.after(State::tick));
        }
        for (int index = 0; index < MACHINES; index++) {
            if (!state.machines[index].terminated) {
                addAgentTransitions(state, index, fault, successors);
            }
            addHeartbeatTransitions(state, index, fault, successors);
            addHeartbeatCopy(state, index, fault, successors);
            addStarts(state, index, fault, successors);
        }
        addUserRequestsAndFailover(state, successors);
    }

    private static void addAgentTransitions(State state, int index, Fault fault, Successors<State> successors) {
        Machine machine = state.machines[index];
        if (index == HEALTHY) {
            successors.add(
                    "machine " + index + " sends a heartbeat and is answered",
                    state.after(next -> next.exchangeHeartbeat(index, fault)));
        } else if (machine.heartbeatAt < state.now || machine.hasChangedSinceHeartbeat()) {
            successors.add(
                    "machine " + index + " sends a heartbeat",
                    state.after(next -> next.machines[index].sendHeartbeat(next.now)));
        }
        if (machine.responseToken != NO_TOKEN) {
            successors.add(
                    "response reaches machine " + index, state.after(next -> next.machines[index].receiveResponse()));
        }
        addLaunchArrivals(state, index, successors);
        if (state.leader > machine.machineToken) {
            successors.add(
                    "status request reaches machine " + index,
                    state.after(next -> next.machines[index].machineToken = next.leader));
        }
        if ((machine.runningTasks & ENDING) != 0) {
            successors.add("task " + ENDING + " ends", state.after(next -> next.machines[index].endTask()));
        }
    }

    private static void addLaunchArrivals(State state, int index, Successors<State> successors) {
        Machine machine = state.machines[index];
        if (machine.launchTask == 0) {
            return;
        }
        successors.add("launch reaches machine " + index, state.after(next -> next.machines[index].receiveLaunch()));
        if (machine.launchToken == state.leader) {
            successors.add(
                    "launch reaches machine " + index + " and is answered",
                    state.after(next -> next.machines[index].receiveLaunchAndRespond()));
        }
    }

    /** The heartbeats of the machine that may hang arrive at any time. */
    private static void addHeartbeatTransitions(State state, int index, Fault fault, Successors<State> successors) {
        Machine machine = state.machines[index];
        boolean inFlight = machine.heartbeatAt != NEVER && !machine.heartbeatReceived;
        boolean expired = machine.anyHeartbeatReceived && state.isLeaseExpired(machine);
        if (index != HEALTHY && inFlight && machine.heartbeatToken <= state.leader && !expired) {
            successors.add(
                    "heartbeat of machine " + index + " reaches the leader",
                    state.after(next -> next.receiveHeartbeat(index, fault)));
        }
    }

    private static void addHeartbeatCopy(State state, int index, Fault fault, Successors<State> successors) {
        Machine machine = state.machines[index];
        boolean mayHoldBack = index == HEALTHY && state.quota == 1 && state.firstLeads();
        if (mayHoldBack && state.heartbeatCopy == null && (machine.heartbeatTasks & ENDING) != 0) {
            successors.add(
                    "a copy of the heartbeat of machine " + index + " is held back",
                    state.after(next -> next.heartbeatCopy =
                            new HeartbeatCopy(index, machine.heartbeatTasks, machine.heartbeatListsDone)));
        }
        if (state.heartbeatCopy != null && state.heartbeatCopy.machine == index && !state.firstLeads()) {
            successors.add("the copy reaches the leader", state.after(next -> next.receiveHeartbeatCopy(fault)));
        }
    }

    private static void addStarts(State state, int index, Fault fault, Successors<State> successors) {
        for (int task : TASKS) {
            if (state.mayStart(index, task, fault)) {
                successors.add(
                        "leader starts task " + task + " on machine " + index,
                        state.after(next -> next.startTask(index, task)));
            }
        }
    }

    private static void addUserRequestsAndFailover(State state, Successors<State> successors) {
        if (state.submittedUnder == NO_TOKEN && !state.firstLeads()) {
            successors.add(
                    "task " + SUBMITTED + " is submitted", state.after(next -> next.submittedUnder = next.leader));
        }
        if (!state.cancellationRequested) {
            successors.add(
                    "its user cancels task " + CANCELLED, state.after(next -> next.cancellationRequested = true));
        }
        if (state.cancellationRequested && !state.cancellationDurable && !state.mayLaunchStillArrive()) {
            successors.add("the cancellation is durable and confirmed", state.after(State::cancel));
        }
        if (state.firstLeads()) {
            successors.add("the second leader takes over", state.after(State::failOver));
        }
    }

    private static State withRunningTask(State state, int index, int task) {
        return state.after(next -> {
            next.machines[index].runningTasks = task;
            next.machines[index].assignedTasks = task;
            next.machines[index].confirmedTasks = task;
        });
    }

    private static Result<State> search(Fault fault) {
        State secondRuns = withRunningTask(new State(1), 1, ENDING);
        State bothRun = withRunningTask(withRunningTask(new State(2), 0, CANCELLED), 1, ENDING);
        State bothRunAndThirdPends = bothRun.after(next -> next.submittedUnder = FIRST);
        Set<StateKey.Packed> visitedKeys = new HashSet<>();
        return StateSearch.run(
                List.of(bothRun, bothRunAndThirdPends, secondRuns),
                (state, successors) -> addSuccessors(state, fault, successors),
                state -> state.violation != null,
                state -> visitedKeys.add(state.key()));
    }

    @Test
    void quotaIsKeptAndCancelledTaskStopsInTime() {
        Result<State> result = search(Fault.NONE);
        assertFalse(result.broken(), () -> "" + result.trace());
        assertTrue(result.states() > 50_000, "states " + result.states());
        System.out.println("limit model: states " + result.states());
    }

    @Test
    void findsEachInjectedFault() {
        Map<Fault, Violation> violations = new EnumMap<>(Fault.class);
        for (Fault fault : Fault.values()) {
            if (fault != Fault.NONE) {
                Result<State> result = search(fault);
                assertTrue(result.broken(), fault.toString());
                violations.put(fault, result.last().violation);
                System.out.println("limit model: " + fault + " " + result.last().violation + " after " + result.steps()
                        + ": " + result.actions());
            }
        }
        assertEquals(Violation.RAN_TWICE, violations.get(Fault.STARTS_OLDER_JOBS_AT_ONCE));
    }
}
