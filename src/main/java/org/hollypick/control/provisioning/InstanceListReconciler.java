package org.hollypick.control.provisioning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hollypick.cloud.CloudClient;
import org.hollypick.cloud.Instance;
import org.hollypick.cloud.InstancePage;
import org.hollypick.config.constants.ClockConstants;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.control.TermContext;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the scheduler's machines with the cloud's list: adds unknown machines, requests the termination of
 * machines that failed to start, and marks machines as terminated that are no longer listed. Confined to the event
 * loop.
 */
final class InstanceListReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceListReconciler.class);

    /** Milliseconds beyond the list's maximum age until a machine that is missing from it counts as terminated. */
    private static final long MISSING_SLACK_MS = 500;

    private final TermContext term;
    private final Scheduler scheduler;
    private final CloudClient cloud;
    private final InstanceTerminator terminator;
    /** When each machine was first listed in this term, in milliseconds by machine id. */
    private final Map<String, Long> firstListedAt = new HashMap<>();

    private boolean inProgress;
    private boolean completedOnce;

    InstanceListReconciler(TermContext term, CloudClient cloud, InstanceTerminator terminator) {
        this.term = term;
        this.scheduler = term.scheduler();
        this.cloud = cloud;
        this.terminator = terminator;
    }

    /** Whether the complete list was read at least once in this term. */
    boolean hasCompleted() {
        return completedOnce;
    }

    /** Starts to read the complete list, page by page, and reconciles at the end; does nothing while in progress. */
    void start() {
        if (!inProgress) {
            inProgress = true;
            readPage(null, term.now(), new HashMap<>());
        }
    }

    private void readPage(String after, long startedAt, Map<String, Instance> listed) {
        cloud.listInstances(after, page -> pageReceived(after, page, startedAt, listed));
    }

    private void pageReceived(String after, Optional<InstancePage> page, long startedAt, Map<String, Instance> listed) {
        if (page.isEmpty() || !term.holdsLeaderLease()) {
            inProgress = false;
            return;
        }
        String lastMachineId = after;
        for (Instance instance : page.get().instances()) {
            lastMachineId = instance.machineId();
            listed.put(lastMachineId, instance);
        }
        if (page.get().truncated() && lastMachineId != null && !lastMachineId.equals(after)) {
            readPage(lastMachineId, startedAt, listed);
            return;
        }
        inProgress = false;
        completedOnce = true;
        reconcile(listed, startedAt);
    }

    private void reconcile(Map<String, Instance> listed, long startedAt) {
        long now = term.now();
        List<Machine> failed = new ArrayList<>();
        for (Instance instance : listed.values()) {
            if (scheduler.isTerminated(instance.machineId())) {
                continue;
            }
            firstListedAt.putIfAbsent(instance.machineId(), now);
            Machine machine = findOrAdd(instance, now);
            if (machine == null) {
                continue;
            }
            if (machine.address().isEmpty()) {
                machine.setAddress(instance.address());
            }
            if (!machine.isScalingIn() && hasFailedToStart(machine, instance.status(), now)) {
                failed.add(machine);
            }
        }
        terminator.terminate(failed, TerminationReason.FAILED_TO_START);
        markMissingTerminated(listed, startedAt);
    }

    /** Returns the machine, adding it if it is new; null if it is new and its type isn't known yet. */
    private Machine findOrAdd(Instance instance, long now) {
        Machine machine = scheduler.machine(instance.machineId());
        if (machine != null) {
            return machine;
        }
        MachineType type = term.machineTypes().get(instance.type());
        if (type == null) {
            return null;
        }
        long createdAt = now - (long) (instance.ageSeconds() * 1000);
        return scheduler.addMachine(instance.machineId(), type, instance.zone(), instance.spot(), false, createdAt);
    }

    private boolean hasFailedToStart(Machine machine, Instance.Status status, long now) {
        if (status == Instance.Status.FAILED) {
            return true;
        }
        if (machine.heartbeatReceived() || machine.isRegistered()) {
            return false;
        }
        if (status == Instance.Status.RUNNING) {
            return now - firstListedAt.get(machine.id) > FailureDetectionConstants.FIRST_HEARTBEAT_TIMEOUT_MS;
        }
        double bootLimitMillis = FailureDetectionConstants.BOOT_TIMEOUT_RATIO * machine.type.bootS() * 1000;
        return now - machine.createdAt > bootLimitMillis;
    }

    /**
     * Marks machines as terminated that were listed in this term and are missing now. Once listed, a machine stays
     * listed until it is terminated; but a list may be as old as twice the listing lag, and so it counts only if it
     * can't predate the machine's first listing.
     */
    private void markMissingTerminated(Map<String, Instance> listed, long startedAt) {
        double waitMillis =
                term.settings().listLagS() * 2000 * (1 + ClockConstants.CLOCK_DRIFT_RATIO) + MISSING_SLACK_MS;
        Set<String> missing = new LinkedHashSet<>();
        for (Machine machine : scheduler.machines()) {
            Long firstListed = firstListedAt.get(machine.id);
            if (firstListed != null && !listed.containsKey(machine.id) && startedAt - firstListed > waitMillis) {
                missing.add(machine.id);
            }
        }
        for (String machineId : missing) {
            LOG.info("machine.terminated_by_cloud machine={}", machineId);
            scheduler.markTerminated(machineId);
        }
        if (!missing.isEmpty()) {
            term.requestReconcile();
        }
    }
}
