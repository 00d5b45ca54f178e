package org.hollypick.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hollypick.core.assignment.Machine;

/**
 * The effects of a scheduler's decisions that others have to carry out: commands to send, freed room to schedule on,
 * completions and registrations to write, a scheduling cycle to run. Each set keeps the order in which its members were
 * added. Confined to the event loop.
 */
public final class SchedulerOutbox {
    private final Set<Machine> machinesWithUrgentCommands = new LinkedHashSet<>();
    private final Set<Machine> machinesWithPendingCommands = new LinkedHashSet<>();
    private final Set<Machine> machinesWithFreedCapacity = new LinkedHashSet<>();
    private final Set<Job> jobsWithNewCompletions = new LinkedHashSet<>();
    private final Set<Job> jobsWithNewCompletionsView = Collections.unmodifiableSet(jobsWithNewCompletions);
    private final Set<Machine> machinesToRegister = new LinkedHashSet<>();
    private final Set<String> machinesToUnregister = new LinkedHashSet<>();
    private boolean cycleRequested;

    SchedulerOutbox() {}

    // ---- commands ----

    void addPendingCommands(Machine machine) {
        machinesWithPendingCommands.add(machine);
    }

    /** Commands that concern services go out before all others. */
    void addUrgentCommands(Machine machine) {
        machinesWithUrgentCommands.add(machine);
    }

    /** Removes and returns the first machines, {@code limit} at most, whose commands concern services. */
    public List<Machine> takeMachinesWithUrgentCommands(int limit) {
        return takeFirst(machinesWithUrgentCommands, limit);
    }

    /** Removes and returns the first machines, {@code limit} at most, that may need commands. */
    public List<Machine> takeMachinesWithPendingCommands(int limit) {
        return takeFirst(machinesWithPendingCommands, limit);
    }

    private static List<Machine> takeFirst(Set<Machine> machines, int limit) {
        List<Machine> taken = new ArrayList<>();
        Iterator<Machine> remaining = machines.iterator();
        while (remaining.hasNext() && taken.size() < limit) {
            taken.add(remaining.next());
            remaining.remove();
        }
        return taken;
    }

    /** The machine gets all its commands by another path. */
    public void commandsDelivered(Machine machine) {
        machinesWithPendingCommands.remove(machine);
        machinesWithUrgentCommands.remove(machine);
    }

    /** Whether machines wait for commands or, since room came free there, for tasks. */
    public boolean hasPendingMachineWork() {
        return !machinesWithUrgentCommands.isEmpty()
                || !machinesWithPendingCommands.isEmpty()
                || !machinesWithFreedCapacity.isEmpty();
    }

    // ---- freed room ----

    void addFreedCapacity(Machine machine) {
        machinesWithFreedCapacity.add(machine);
    }

    /** Whether room came free on the machine and nobody has taken this up since; the caller does now. */
    public boolean takeFreedCapacity(Machine machine) {
        return machinesWithFreedCapacity.remove(machine);
    }

    /** Removes and returns all machines on which room came free. */
    public List<Machine> takeMachinesWithFreedCapacity() {
        List<Machine> taken = new ArrayList<>(machinesWithFreedCapacity);
        machinesWithFreedCapacity.clear();
        return taken;
    }

    /** A cycle over all machines is about to run and makes use of the freed room. */
    public void discardFreedCapacity() {
        machinesWithFreedCapacity.clear();
    }

    boolean hasFreedCapacity(Machine machine) {
        return machinesWithFreedCapacity.contains(machine);
    }

    // ---- scheduling cycle ----

    /** Asks for a scheduling cycle over all machines. */
    public void requestCycle() {
        cycleRequested = true;
    }

    /** Asks for a scheduling cycle if the condition holds; an earlier request stays in any case. */
    public void requestCycleIf(boolean condition) {
        cycleRequested |= condition;
    }

    /** Whether a scheduling cycle was asked for since the last one began. */
    public boolean cycleRequested() {
        return cycleRequested;
    }

    void cycleStarted() {
        cycleRequested = false;
    }

    // ---- completions ----

    /** The job completed tasks, or all of it, and its records don't say so yet. */
    public void addNewCompletions(Job job) {
        jobsWithNewCompletions.add(job);
    }

    /** The job's completions are being written, or needn't be any more. */
    public void removeNewCompletions(Job job) {
        jobsWithNewCompletions.remove(job);
    }

    /** Whether any job has completions to write. */
    public boolean hasNewCompletions() {
        return !jobsWithNewCompletions.isEmpty();
    }

    /** The jobs with completions to write, as a view that can't be modified. */
    public Set<Job> jobsWithNewCompletions() {
        return jobsWithNewCompletionsView;
    }

    // ---- registrations ----

    void addToRegister(Machine machine) {
        machinesToRegister.add(machine);
    }

    void addToUnregister(String machineId) {
        machinesToUnregister.add(machineId);
    }

    /** Removes and returns the machines that were heard of and aren't registered yet. */
    public List<Machine> takeMachinesToRegister() {
        List<Machine> taken = new ArrayList<>(machinesToRegister);
        machinesToRegister.clear();
        return taken;
    }

    /** Removes and returns the ids of terminated machines, whose durable records have to go. */
    public List<String> takeMachinesToUnregister() {
        List<String> taken = new ArrayList<>(machinesToUnregister);
        machinesToUnregister.clear();
        return taken;
    }

    /** The machine is terminated: nothing has to be done about it any more but to unregister it. */
    void discard(Machine machine) {
        machinesWithPendingCommands.remove(machine);
        machinesWithUrgentCommands.remove(machine);
        machinesToRegister.remove(machine);
        machinesWithFreedCapacity.remove(machine);
    }
}
