package org.hollypick.control.machines;

import java.util.function.Consumer;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.control.TermContext;
import org.hollypick.core.assignment.Machine;

/**
 * Probes all machines that are not reconciled yet after a failover, the fastest way to find out which tasks run on
 * them. Confined to the event loop.
 */
final class ReconciliationProbe {
    private final TermContext term;
    private final Consumer<Machine> probe;

    /**
     * Creates the reconciliation probe; {@code probe} calls a machine directly, unless too many calls are in flight.
     */
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

    /**
     * Whether the next heartbeat is due at once: an agent sends one as soon as a response has shown it a new fencing
     * token, and the response to its last heartbeat was just sent.
     */
    private static boolean isHeartbeatExpected(Machine machine, long now) {
        return machine.heartbeatReceived()
                && now - machine.heartbeatAcknowledgedAt() < FailureDetectionConstants.NEXT_HEARTBEAT_MS;
    }
}
