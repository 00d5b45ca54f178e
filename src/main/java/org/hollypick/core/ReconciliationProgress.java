package org.hollypick.core;

import java.util.Collection;
import org.hollypick.core.assignment.Machine;

/** How far the reconciliation of this term has come, over all machines. Confined to the event loop. */
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

    /** Whether no machine can hold tasks that aren't known. Stays so until such a machine is added. */
    boolean isComplete() {
        if (!complete) {
            complete = machines.stream().allMatch(Machine::accountedFor);
        }
        return complete;
    }

    /** The result of the last {@link #isComplete}, without going through the machines. */
    boolean wasComplete() {
        return complete;
    }

    /**
     * Whether each machine was reconciled or can't hold anything of earlier terms. Once so, it stays so; otherwise the
     * machines are gone through once for each {@code now}, however many jobs ask.
     */
    boolean allReconciled(long now) {
        if (!allReconciled && allReconciledCheckedAt != now) {
            allReconciledCheckedAt = now;
            allReconciled = machines.stream().allMatch(machine -> machine.reconciled());
        }
        return allReconciled;
    }
}
