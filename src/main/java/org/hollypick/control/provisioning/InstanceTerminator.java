package org.hollypick.control.provisioning;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hollypick.cloud.CloudClient;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.control.TermContext;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Has the cloud terminate machines, again until it confirms. Confined to the event loop. */
final class InstanceTerminator {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceTerminator.class);

    private final TermContext term;
    private final Scheduler scheduler;
    private final CloudClient cloud;
    /** Ids of the machines in requests that aren't answered yet. */
    private final Set<String> machineIdsInFlight = new HashSet<>();

    InstanceTerminator(TermContext term, CloudClient cloud) {
        this.term = term;
        this.scheduler = term.scheduler();
        this.cloud = cloud;
    }

    /**
     * Requests the termination of machines, of the first ones if there are too many for a request, and drops them from
     * the scheduler when it is confirmed.
     */
    void terminate(List<Machine> machines, TerminationReason reason) {
        int count = Math.min(machines.size(), AutoscalingConstants.MAX_TERMINATIONS_PER_REQUEST);
        List<String> machineIds = new ArrayList<>();
        for (Machine machine : machines.subList(0, count)) {
            if (machineIdsInFlight.add(machine.id)) {
                machine.beginScaleIn();
                machineIds.add(machine.id);
            }
        }
        if (machineIds.isEmpty()) {
            return;
        }
        LOG.info("scale_in.requested machines={} reason={}", machineIds, reason);
        cloud.terminate(machineIds, term.leaderLeaseHeld(), confirmed -> completed(machineIds, confirmed));
    }

    private void completed(List<String> machineIds, boolean confirmed) {
        machineIds.forEach(machineIdsInFlight::remove);
        if (confirmed) {
            machineIds.forEach(scheduler::markTerminated);
        }
        term.requestReconcile();
    }

    /** Requests again the termination of machines for which it wasn't confirmed. */
    void retryUnconfirmed() {
        List<Machine> unconfirmed = scheduler.machines().stream()
                .filter(machine -> machine.isScalingIn() && !machineIdsInFlight.contains(machine.id))
                .toList();
        terminate(unconfirmed, TerminationReason.RETRY);
    }
}
