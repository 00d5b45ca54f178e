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

/** Requests the termination of machines from the cloud until it is confirmed. Confined to the event loop. */
final class InstanceTerminator {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceTerminator.class);

    private final TermContext term;
    private final Scheduler scheduler;
    private final CloudClient cloud;
    /** Ids of the machines in requests that have not completed yet. */
    private final Set<String> machineIdsInFlight = new HashSet<>();

    InstanceTerminator(TermContext term, CloudClient cloud) {
        this.term = term;
        this.scheduler = term.scheduler();
        this.cloud = cloud;
    }

    /**
     * Requests the termination of machines, up to the limit of one request, and marks them as terminated in the
     * scheduler once the cloud confirms.
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

    /** Repeats the termination requests that completed without confirmation. */
    void retryUnconfirmed() {
        List<Machine> unconfirmed = scheduler.machines().stream()
                .filter(machine -> machine.isScalingIn() && !machineIdsInFlight.contains(machine.id))
                .toList();
        terminate(unconfirmed, TerminationReason.RETRY);
    }
}
