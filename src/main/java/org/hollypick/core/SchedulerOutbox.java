package org.hollypick.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hollypick.core.assignment.Machine;

/**
 * Collects the effects of scheduling decisions that other components carry out: commands to send, freed capacity to
 * schedule on, completions and registrations to write, a scheduling cycle to run. Each set keeps insertion order.
 * Confined to the event loop.
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

    /** Adds a machine whose commands concern services: these are sent before all others. */
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

    /**
     * To be called when all the machine's commands are sent in the response to its heartbeat: no direct call is needed.
     */
    public void commandsDelivered(Machine machine) {
        machinesWithPendingCommands.remove(machine);
        machinesWithUrgentCommands.remove(machine);
    }

    /** Whether any machines need commands, or have freed capacity to schedule on. */
    public boolean hasPendingMachineWork() {
        return !machinesWithUrgentCommands.isEmpty()
                || !machinesWithPendingCommands.isEmpty()
                || !machinesWithFreedCapacity.isEmpty();
    }

    // ---- freed capacity ----

    void addFreedCapacity(Machine machine) {
        machinesWithFreedCapacity.add(machine);
    }

    /**
     * Removes the machine from those with freed capacity, for the caller to schedule on it. Returns false if it wasn't
     * among them.
     */
    public boolean takeFreedCapacity(Machine machine) {
        return machinesWithFreedCapacity.remove(machine);
    }

    /** Removes and returns all machines with freed capacity. */
    public List<Machine> takeMachinesWithFreedCapacity() {
        List<Machine> taken = new ArrayList<>(machinesWithFreedCapacity);
        machinesWithFreedCapacity.clear();
        return taken;
    }

    /** To be called before a scheduling cycle over all machines, which uses the freed capacity. */
    public void discardFreedCapacity() {
        machinesWithFreedCapacity.clear();
    }

    boolean hasFreedCapacity(Machine machine) {
        return machinesWithFreedCapacity.contains(machine);
    }

    // ---- scheduling cycle ----

    /** Requests a scheduling cycle over all machines. */
    public void requestCycle() {
        cycleRequested = true;
    }

    /** Requests a scheduling cycle if the condition holds; an earlier request stays in any case. */
    public void requestCycleIf(boolean condition) {
        cycleRequested |= condition;
    }

    /** Whether a scheduling cycle was requested since the last one began. */
    public boolean cycleRequested() {
        return cycleRequested;
    }

    void cycleStarted() {
        cycleRequested = false;
    }

    // ---- completions ----

    /** Adds a job with completed tasks, or a completed job, whose records don't say so yet. */
    public void addNewCompletions(Job job) {
        jobsWithNewCompletions.add(job);
    }

    /** Removes a job whose completions are being written, or needn't be written any more. */
    public void removeNewCompletions(Job job) {
        jobsWithNewCompletions.remove(job);
    }

    /** Whether any job has completions to write. */
    public boolean hasNewCompletions() {
        return !jobsWithNewCompletions.isEmpty();
    }

    /** An unmodifiable view of the jobs with completions to write. */
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

    /** Removes and returns the machines that sent a heartbeat and have no durable record yet. */
    public List<Machine> takeMachinesToRegister() {
        List<Machine> taken = new ArrayList<>(machinesToRegister);
        machinesToRegister.clear();
        return taken;
    }

    /** Removes and returns the ids of terminated machines, whose durable records have to be deleted. */
    public List<String> takeMachinesToUnregister() {
        List<String> taken = new ArrayList<>(machinesToUnregister);
        machinesToUnregister.clear();
        return taken;
    }

    /** Drops all pending effects of a terminated machine except its removal from the durable records. */
    void discard(Machine machine) {
        machinesWithPendingCommands.remove(machine);
        machinesWithUrgentCommands.remove(machine);
        machinesToRegister.remove(machine);
        machinesWithFreedCapacity.remove(machine);
    }
}
