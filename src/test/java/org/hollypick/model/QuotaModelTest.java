package org.hollypick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.hollypick.model.StateSearch.Result;
import org.hollypick.model.StateSearch.Successors;
import org.junit.jupiter.api.Test;

/**
 * Explores every interleaving around a team at its quota while one of its jobs is cancelled, a machine hangs and the
 * leader changes.
 *
 * <p>Bounds: three jobs of one task each (the first may be cancelled, the second ends at some time, the third is
 * submitted before or after the failover); a quota of two tasks with the first two jobs running, or of one with only
 * the second running; two leaders, one failover; {@value #LAST_TICK} ticks of time, a lease of {@value #LEASE_TICKS}.
 * Each of two machines has capacity for two tasks. The first one may hang: its heartbeats, their responses and a launch
 * to it may be delayed by any time or lost, and it is assigned no task but the first job's. The second one is healthy:
 * each of its heartbeats and the response are delivered at once, or not at all; where the quota is one, a copy of one
 * of its heartbeats may be delayed until the second leader receives it. A machine whose lease expired is terminated and
 * not used again. Writes and responses to users are immediate and never lost: {@link CancellationModelTest} covers
 * their losses.
 *
 * <p>Invariants: the number of running tasks never exceeds the quota ({@code QUOTA_EXCEEDED}); no task runs on two
 * machines ({@code RAN_ON_TWO_MACHINES}); a cancelled job's task doesn't run later than {@value #CANCELLATION_TICKS}
 * ticks after its cancellation was confirmed ({@code RAN_AFTER_CANCELLATION}).
 */
class QuotaModelTest {
    private static final int LAST_TICK = 3;
    private static final int LEASE_TICKS = 1;
    private static final int CANCELLATION_TICKS = 1;
    private static final int NEVER = -1;
    private static final int MACHINES = 2;
    /** The index of the second machine; the first one may hang. */
    private static final int HEALTHY_MACHINE = 1;
    /** How many tasks fit on a machine. */
    private static final int TASKS_PER_MACHINE = 2;

    /** The tasks of the three jobs; a set of tasks has one bit for each. */
    private static final int CANCELLED_TASK = 1;

    private static final int ENDING_TASK = 2;
    private static final int SUBMITTED_TASK = 4;
    private static final int[] TASKS = {CANCELLED_TASK, ENDING_TASK, SUBMITTED_TASK};

    private static final int NO_TOKEN = 0;

    /** The two leaders; each number is the leader's fencing token too. */
    private static final int FIRST = 1;

    private static final int SECOND = 2;

    /** Defects that can be built into the model, to prove that the search detects each of them. */
    private enum Fault {
        NONE,
        FREES_QUOTA_WHEN_HEARTBEATS_ARE_MISSING,
        FREES_QUOTA_ON_CANCELLATION_REQUEST,
        COUNTS_ONLY_INHERITED_TASKS,
        IGNORES_ORPHANED_TASKS,
        TRUSTS_OLD_HEARTBEAT_FOR_INHERITED_TASKS,
        STARTS_OLDER_JOBS_BEFORE_RECONCILIATION
    }

    /** The invariants, named by how they are violated. */
    private enum Violation {
        QUOTA_EXCEEDED,
        RAN_ON_TWO_MACHINES,
        RAN_AFTER_CANCELLATION
    }

    /** A machine with its agent, the messages in flight from and to it, and the current leader's view of it. */
    private static final class Machine implements Cloneable {
        boolean terminated;
        int runningTasks;
        /** The agent reports the second job's task as done. */
        boolean reportsEndingTaskDone;

        int leaseStart;
        /** The highest fencing token that the machine has seen. */
        int machineToken = FIRST;
        /** When the newest heartbeat was sent. */
        int heartbeatAt = NEVER;

        int heartbeatTasks;
        boolean heartbeatReportsDone;
        int heartbeatToken = FIRST;
        /** The current leader has received the newest heartbeat. */
        boolean heartbeatReceived;
        /** The leader has received a newer response to a launch: the heartbeat only renews the lease. */
        boolean heartbeatOutdated;
        /** The token of the response in flight to the newest heartbeat. */
        int responseToken = NO_TOKEN;
        /** The tasks that this response stops. */
        int tasksToStop;
        /** The token of the launch in flight. */
        int launchToken = NO_TOKEN;
        /** The task of the launch in flight, 0 for none. */
        int launchTask;

        // The current leader's view of the machine.
        /** The leader has received a heartbeat of the machine. */
        boolean anyHeartbeatReceived = true;
        /** The leader has received a heartbeat sent under its own token, or counts the lease as expired. */
        boolean reconciled = true;

        /** The newest heartbeat shows a task that the leader neither assigned to the machine nor adopted. */
        boolean hasOrphanedTasks;
        /** The start of the lease as the leader counts it. */
        int leaseCountedFrom;

        int assignedTasks;
        /** The assigned tasks that were confirmed by a heartbeat or by the response to the launch. */
        int confirmedTasks;

        Machine copy() {
            try {
                return (Machine) clone();
            } catch (CloneNotSupportedException e) {
                throw new AssertionError(e);
            }
        }

        /** Whether every task on the machine is assigned to the machine in the leader's view. */
        boolean isAccountedFor() {
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

        /** The lease expires on the agent, which kills all tasks on the machine. */
        void terminate() {
            terminated = true;
            runningTasks = 0;
            reportsEndingTaskDone = false;
            responseToken = NO_TOKEN;
            launchTask = 0;
            leaseStart = NEVER;
        }

        /** The leader concludes that no task runs on the machine. */
        void markEmpty() {
            assignedTasks = 0;
            confirmedTasks = 0;
            hasOrphanedTasks = false;
            reconciled = true;
        }

        boolean hasChangedSinceHeartbeat() {
            return runningTasks != heartbeatTasks
                    || reportsEndingTaskDone != heartbeatReportsDone
                    || machineToken != heartbeatToken;
        }

        /** The machine sends a heartbeat, and no longer accepts a response to the previous one. */
        void sendHeartbeat(int now) {
            heartbeatAt = now;
            heartbeatTasks = runningTasks;
            heartbeatReportsDone = reportsEndingTaskDone;
            heartbeatToken = machineToken;
            heartbeatReceived = false;
            heartbeatOutdated = false;
            responseToken = NO_TOKEN;
            tasksToStop = 0;
        }

        /** The response arrives. A machine that has seen a higher token ignores the response. */
        void receiveResponse() {
            if (responseToken >= machineToken) {
                machineToken = responseToken;
                leaseStart = heartbeatAt;
                runningTasks &= ~tasksToStop;
            }
            responseToken = NO_TOKEN;
            tasksToStop = 0;
        }

        /** The launch arrives. A machine that has seen a higher token rejects the launch. */
        void receiveLaunch() {
            if (launchToken >= machineToken) {
                machineToken = launchToken;
                runningTasks |= launchTask;
            }
            launchTask = 0;
            launchToken = NO_TOKEN;
        }

        /** The launch arrives, and the leader receives the response to it. */
        void receiveLaunchAndRespond() {
            int task = launchTask;
            receiveLaunch();
            confirmedTasks |= task & runningTasks;
            heartbeatOutdated = true;
        }

        void endTask() {
            runningTasks &= ~ENDING_TASK;
            reportsEndingTaskDone = true;
        }

        /** Clears the leader's view of the machine: a new leader has received nothing from it. */
        void resetForNewLeader() {
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
            key.flag(terminated)
                    .number(runningTasks, 3)
                    .flag(reportsEndingTaskDone)
                    .time(leaseStart, 3);
            key.number(machineToken, 2).time(heartbeatAt, 3).number(heartbeatTasks, 3);
            key.flag(heartbeatReportsDone).number(heartbeatToken, 2);
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

    /** A delayed copy of a heartbeat; {@code machine} is the index of its sender. */
    private record HeartbeatCopy(int machine, int tasks, boolean reportsDone) {}

    /** One state of the model; copied for each transition, and not changed once passed to the search. */
    private static final class State extends CopyableState<State> {
        final int quota;
        int now;
        int leader = FIRST;
        int termStart;
        Machine[] machines = {new Machine(), new Machine()};
        /** The delayed copy of a heartbeat, null if there is none. */
        HeartbeatCopy heartbeatCopy;
        /** The token of the leader at the time when the third job was submitted. */
        int submittedUnderToken = NO_TOKEN;
        /** The leader has received a heartbeat that reports the second job's task as done. */
        boolean endingTaskKnownDone;
        /** The leader has been asked to cancel the first job. */
        boolean cancellationRequested;

        boolean cancellationDurable;
        /** When the user was told that the job is cancelled. */
        int confirmedAt = NEVER;
        /** Tasks that an earlier leader started and this leader has found running. */
        int inheritedTasks;
        /** All machines were accounted for at some time in the leader's term. */
        boolean reconciliationComplete = true;
        /** Tasks whose latest attempt was started on the second machine. */
        int startedLastOnSecondMachine = ENDING_TASK;
        /** Tasks whose latest attempt was started by the second leader. */
        int startedBySecondLeader;
        /** The invariant that this state violates, null if none. */
        Violation violation;

        State(int quota) {
            this.quota = quota;
        }

        @Override
        void detach() {
            machines = new Machine[] {machines[0].copy(), machines[1].copy()};
        }

        @Override
        void transitionApplied() {
            checkInvariants();
            normalize();
        }

        /** Resets values that no longer affect which states may follow, to reduce the number of states. */
        private void normalize() {
            for (Machine machine : machines) {
                if (now > machine.leaseCountedFrom + LEASE_TICKS) {
                    machine.leaseCountedFrom = NEVER;
                }
                boolean noFurtherReceipt = !firstLeads() || machine == machines[HEALTHY_MACHINE];
                if (machine.responseToken == NO_TOKEN && machine.heartbeatReceived && noFurtherReceipt) {
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
            boolean copyInFlight = heartbeatCopy != null;
            StateKey key = new StateKey().flag(quota == 1).number(now, 3);
            key.flag(firstLeads()).time(firstLeads() ? NEVER : termStart, 3);
            key.number(submittedUnderToken, 2).flag(endingTaskKnownDone);
            key.flag(cancellationRequested).flag(cancellationDurable).time(confirmedAt, 3);
            key.number(inheritedTasks, 3).flag(reconciliationComplete);
            key.number(startedLastOnSecondMachine, 3).number(startedBySecondLeader, 3);
            key.flag(copyInFlight).number(copyInFlight ? heartbeatCopy.machine : 0, 1);
            key.number(copyInFlight ? heartbeatCopy.tasks : 0, 3).flag(copyInFlight && heartbeatCopy.reportsDone);
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
                violation = Violation.RAN_ON_TWO_MACHINES;
            } else if (cancellationOverdue && ((first | second) & CANCELLED_TASK) != 0) {
                violation = Violation.RAN_AFTER_CANCELLATION;
            }
        }

        boolean firstLeads() {
            return leader == FIRST;
        }

        boolean isAssigned(int task) {
            return machines[0].isAssigned(task) || machines[1].isAssigned(task);
        }

        /** Whether a launch of the first job's task may be in flight, in the leader's view. */
        boolean mayLaunchStillArrive() {
            int unconfirmed = machines[0].unconfirmedTasks() | machines[1].unconfirmedTasks();
            return (unconfirmed & CANCELLED_TASK) != 0 || !machines[0].reconciled || !machines[1].reconciled;
        }

        /** Whether the lease has certainly expired, as the leader computes it in {@code WorkerLeases.isExpired}. */
        boolean isLeaseExpired(Machine machine) {
            return now > Math.max(machine.leaseCountedFrom, termStart) + LEASE_TICKS;
        }

        /** Time passes: leases expire on the agents, and as the leader counts them. */
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
            reconciliationComplete |= machines[0].isAccountedFor() && machines[1].isAccountedFor();
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
                        new HeartbeatCopy(index, machine.heartbeatTasks, machine.heartbeatReportsDone),
                        machine.heartbeatToken,
                        fault);
            }
            machine.responseToken = leader;
            machine.tasksToStop = unwantedTasks(machine);
        }

        /** The delayed copy reaches the leader. Its agent no longer waits for a response. */
        void receiveHeartbeatCopy(Fault fault) {
            applyHeartbeat(heartbeatCopy, FIRST, fault);
            heartbeatCopy = null;
        }

        /** The machine sends a heartbeat and receives the response at once. */
        void exchangeHeartbeat(int index, Fault fault) {
            machines[index].sendHeartbeat(now);
            receiveHeartbeat(index, fault);
            machines[index].receiveResponse();
        }

        private void applyHeartbeat(HeartbeatCopy heartbeat, int token, Fault fault) {
            Machine machine = machines[heartbeat.machine];
            machine.anyHeartbeatReceived = true;
            machine.leaseCountedFrom = now;
            endingTaskKnownDone |= heartbeat.reportsDone;
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
         * Adopts a running task that isn't assigned to this machine, unless the task has ended, or it is assigned to
         * the other machine by a newer attempt. An older assignment to the other machine is removed.
         *
         * @return whether the task was adopted
         */
        private boolean adopt(int index, int task) {
            Machine other = machines[1 - index];
            boolean newestOnSecond = (startedLastOnSecondMachine & task) != 0;
            boolean newestElsewhere = newestOnSecond != (index == 1);
            if (isKnownEnded(task) || (other.isAssigned(task) && newestElsewhere)) {
                return false;
            }
            other.unassign(task);
            return true;
        }

        private boolean isKnownEnded(int task) {
            return task == CANCELLED_TASK ? cancellationDurable : task == ENDING_TASK && endingTaskKnownDone;
        }

        /** The tasks in the machine's newest heartbeat that the response to it stops. */
        private int unwantedTasks(Machine machine) {
            int ended = (cancellationRequested ? CANCELLED_TASK : 0) | (endingTaskKnownDone ? ENDING_TASK : 0);
            return machine.heartbeatTasks & (~machine.assignedTasks | ended);
        }

        /**
         * The cancellation is written and confirmed at once, which is the hardest case: a later confirmation would
         * leave the task more time to stop.
         */
        void cancel() {
            cancellationDurable = true;
            confirmedAt = now;
        }

        /** The second leader takes over and loads what is durable, which doesn't include the assignments. */
        void failOver() {
            leader = SECOND;
            termStart = now;
            endingTaskKnownDone = false;
            cancellationRequested = cancellationDurable;
            reconciliationComplete = false;
            for (Machine machine : machines) {
                machine.resetForNewLeader();
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
            if (index == HEALTHY_MACHINE) {
                machine.receiveLaunch();
                machine.confirm(task);
            }
        }

        boolean mayStart(int index, int task, Fault fault) {
            // The machine that may hang is assigned only the task that may be cancelled.
            boolean withinBounds = index == HEALTHY_MACHINE || (firstLeads() && task == CANCELLED_TASK);
            return withinBounds
                    && isWanted(task)
                    && !isAssigned(task)
                    && !mustWaitForReconciliation(task, fault)
                    && isUsable(machines[index])
                    && isWithinQuota(fault);
        }

        private boolean isWanted(int task) {
            if (task == CANCELLED_TASK) {
                return !cancellationRequested;
            }
            return task == ENDING_TASK ? !endingTaskKnownDone : submittedUnderToken != NO_TOKEN;
        }

        /** Whether the task may be running already, on a machine that isn't reconciled yet, under an earlier leader. */
        private boolean mustWaitForReconciliation(int task, Fault fault) {
            boolean olderThanTerm = task != SUBMITTED_TASK || submittedUnderToken != leader;
            return olderThanTerm && !reconciliationComplete && fault != Fault.STARTS_OLDER_JOBS_BEFORE_RECONCILIATION;
        }

        private boolean isUsable(Machine machine) {
            return machine.reconciled
                    && machine.anyHeartbeatReceived
                    && !isLeaseExpired(machine)
                    && Integer.bitCount(machine.assignedTasks) < TASKS_PER_MACHINE
                    && machine.launchTask == 0;
        }

        /** Whether one more task stays within the quota, as {@code TeamUsage} counts it. */
        private boolean isWithinQuota(Fault fault) {
            int used = 0;
            int unaccountedCapacity = 0;
            int freed =
                    fault == Fault.FREES_QUOTA_ON_CANCELLATION_REQUEST && cancellationRequested ? CANCELLED_TASK : 0;
            for (Machine machine : machines) {
                boolean heartbeatMissing = now > Math.max(machine.leaseCountedFrom, termStart);
                if (!heartbeatMissing || fault != Fault.FREES_QUOTA_WHEN_HEARTBEATS_ARE_MISSING) {
                    used += Integer.bitCount(machine.assignedTasks & ~freed);
                    unaccountedCapacity += machine.isAccountedFor() ? 0 : TASKS_PER_MACHINE;
                }
            }
            int quotaLeftByInherited = quota - Integer.bitCount(inheritedTasks);
            boolean countsUnaccounted = !reconciliationComplete && fault != Fault.COUNTS_ONLY_INHERITED_TASKS;
            return used + (countsUnaccounted ? Math.min(unaccountedCapacity, quotaLeftByInherited) : 0) + 1 <= quota;
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
        if (index == HEALTHY_MACHINE) {
            successors.add(
                    "machine " + index + " sends a heartbeat and receives the response",
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
        if ((machine.runningTasks & ENDING_TASK) != 0) {
            successors.add("task " + ENDING_TASK + " ends", state.after(next -> next.machines[index].endTask()));
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
                    "launch reaches machine " + index + ", and the leader receives the response",
                    state.after(next -> next.machines[index].receiveLaunchAndRespond()));
        }
    }

    /** Heartbeats of the machine that may hang arrive after any delay. */
    private static void addHeartbeatTransitions(State state, int index, Fault fault, Successors<State> successors) {
        Machine machine = state.machines[index];
        boolean inFlight = machine.heartbeatAt != NEVER && !machine.heartbeatReceived;
        boolean expired = machine.anyHeartbeatReceived && state.isLeaseExpired(machine);
        if (index != HEALTHY_MACHINE && inFlight && machine.heartbeatToken <= state.leader && !expired) {
            successors.add(
                    "heartbeat of machine " + index + " reaches the leader",
                    state.after(next -> next.receiveHeartbeat(index, fault)));
        }
    }

    private static void addHeartbeatCopy(State state, int index, Fault fault, Successors<State> successors) {
        Machine machine = state.machines[index];
        boolean mayDelayCopy = index == HEALTHY_MACHINE && state.quota == 1 && state.firstLeads();
        if (mayDelayCopy && state.heartbeatCopy == null && (machine.heartbeatTasks & ENDING_TASK) != 0) {
            successors.add(
                    "a copy of the heartbeat of machine " + index + " is delayed",
                    state.after(next -> next.heartbeatCopy =
                            new HeartbeatCopy(index, machine.heartbeatTasks, machine.heartbeatReportsDone)));
        }
        if (state.heartbeatCopy != null && state.heartbeatCopy.machine == index && !state.firstLeads()) {
            successors.add(
                    "the delayed copy reaches the leader", state.after(next -> next.receiveHeartbeatCopy(fault)));
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
        if (state.submittedUnderToken == NO_TOKEN && !state.firstLeads()) {
            successors.add(
                    "task " + SUBMITTED_TASK + " is submitted",
                    state.after(next -> next.submittedUnderToken = next.leader));
        }
        if (!state.cancellationRequested) {
            successors.add(
                    "a user cancels task " + CANCELLED_TASK, state.after(next -> next.cancellationRequested = true));
        }
        if (state.cancellationRequested && !state.cancellationDurable && !state.mayLaunchStillArrive()) {
            successors.add("the cancellation becomes durable and is confirmed", state.after(State::cancel));
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
        State secondRuns = withRunningTask(new State(1), 1, ENDING_TASK);
        State bothRun = withRunningTask(withRunningTask(new State(2), 0, CANCELLED_TASK), 1, ENDING_TASK);
        State bothRunAndThirdPends = bothRun.after(next -> next.submittedUnderToken = FIRST);
        return StateSearch.runByKey(
                List.of(bothRun, bothRunAndThirdPends, secondRuns),
                (state, successors) -> addSuccessors(state, fault, successors),
                state -> state.violation != null,
                State::key);
    }

    @Test
    void quotaIsKeptAndCancelledTaskStopsInTime() {
        Result<State> result = search(Fault.NONE);
        assertFalse(result.violationFound(), () -> "" + result.trace());
        assertTrue(result.stateCount() > 50_000, "states " + result.stateCount());
        System.out.println("quota model: states " + result.stateCount());
    }

    @Test
    void everyInjectedFaultViolatesAnInvariant() {
        Map<Fault, Violation> violations = new EnumMap<>(Fault.class);
        for (Fault fault : Fault.values()) {
            if (fault != Fault.NONE) {
                Result<State> result = search(fault);
                assertTrue(result.violationFound(), fault.toString());
                violations.put(fault, result.violatingState().violation);
                System.out.println("quota model: " + fault + " " + result.violatingState().violation + " after "
                        + result.actionCount() + ": " + result.actions());
            }
        }
        assertEquals(Violation.RAN_ON_TWO_MACHINES, violations.get(Fault.STARTS_OLDER_JOBS_BEFORE_RECONCILIATION));
    }
}
