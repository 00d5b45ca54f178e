package org.hollypick.core;

import java.util.Collection;
import org.hollypick.core.assignment.Machine;

/** Tracks whether all machines have been reconciled in this term. Confined to the event loop. */
final class ReconciliationProgress {
    private static final long NEVER = -1;

    private final Collection<Machine> machines;
    private boolean complete;
    private boolean allReconciled;
    private long allReconciledCheckedAt = NEVER;

    /** @param machines a view of the scheduler's machines */
    ReconciliationProgress(Collection<Machine> machines) {
        this.machines = machines;
    }

    void machineAdded(Machine machine) {
        complete &= machine.accountedFor();
    }

    /** Whether no machine can hold unknown tasks. Once true, this stays true until such a machine is added. */
    boolean isComplete() {
        if (!complete) {
            complete = machines.stream().allMatch(Machine::accountedFor);
        }
        return complete;
    }

    /** The result of the last {@link #isComplete}, without checking the machines again. */
    boolean wasComplete() {
        return complete;
    }

    /**
     * Whether every machine was reconciled or can't hold tasks of earlier terms. Once true, this stays true; until then
     * the machines are checked once for each {@code now}, even if the method is called for many jobs.
     */
    boolean allReconciled(long now) {
        if (!allReconciled && allReconciledCheckedAt != now) {
            allReconciledCheckedAt = now;
            allReconciled = machines.stream().allMatch(machine -> machine.reconciled());
        }
        return allReconciled;
    }
}
