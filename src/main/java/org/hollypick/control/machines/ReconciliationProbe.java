package org.hollypick.control.machines;

import java.util.function.Consumer;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.control.TermContext;
import org.hollypick.core.assignment.Machine;

/**
 * After a failover, calls every machine that isn't reconciled yet: no other way shows sooner what runs where. Confined
 * to the event loop.
 */
final class ReconciliationProbe {
    private final TermContext term;
    private final Consumer<Machine> probe;

    /** {@code probe} calls a machine directly, unless too many calls are in flight. */
    ReconciliationProbe(TermContext term, Consumer<Machine> probe) {
        this.term = term;
        this.probe = probe;
    }

    /** Probes the machines that aren't reconciled; does nothing once reconciliation is complete. */
    void probeUnreconciled() {
        if (term.scheduler().reconciliationComplete()) {
            return;
        }
        long now = term.now();
        for (Machine machine : term.scheduler().machines()) {
            if (!machine.reconciled() && !isHeartbeatExpected(machine, now)) {
                probe.accept(machine);
            }
        }
    }

    /** Its last heartbeat was just answered with a new token, so the agent sends the next one at once. */
    private static boolean isHeartbeatExpected(Machine machine, long now) {
        return machine.heartbeatReceived()
                && now - machine.heartbeatAcknowledgedAt() < FailureDetectionConstants.NEXT_HEARTBEAT_MS;
    }
}
