package org.hollypick.control;

import org.HdrHistogram.Histogram;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.control.provisioning.InstanceProvisioner;
import org.hollypick.core.Job;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs totals of the machines and pending tasks of a leader, and the lateness of its reconcile loop. Confined to the
 * event loop.
 */
final class LeaderMetrics {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderMetrics.class);
    private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 2;
    private static final double REPORTED_PERCENTILE = 99;

    private final Scheduler scheduler;
    private final InstanceProvisioner provisioner;
    /**
     * Milliseconds by which iterations of the reconcile loop are late: shows whether this process lacks processor time.
     */
    private final Histogram latenessMs = new Histogram(HISTOGRAM_SIGNIFICANT_DIGITS);

    LeaderMetrics(Scheduler scheduler, InstanceProvisioner provisioner) {
        this.scheduler = scheduler;
        this.provisioner = provisioner;
    }

    /**
     * Records the lateness of an iteration of the reconcile loop, {@code elapsedMs} milliseconds after the one before.
     */
    void recordIteration(long elapsedMs) {
        latenessMs.recordValue(Math.max(0, elapsedMs - ReconcileConstants.RECONCILE_INTERVAL_MS));
    }

    /**
     * Totals of the machines. The cores of a machine without a heartbeat count as booting, others as spot or on-demand.
     */
    private static final class MachineTotals {
        private double onDemandCores;
        private double spotCores;
        private double bootingCores;
        private double usedCores;
        private double serviceCores;
        private int idleMachines;
        private int startingTasks;

        private void add(Machine machine) {
            if (!machine.heartbeatReceived()) {
                bootingCores += machine.type.cpus();
            } else if (machine.spot) {
                spotCores += machine.type.cpus();
            } else {
                onDemandCores += machine.type.cpus();
            }
            usedCores += machine.usedCpus();
            serviceCores += machine.serviceCpus();
            idleMachines += machine.heartbeatReceived() && machine.idle() ? 1 : 0;
            startingTasks += machine.startingTasks();
        }
    }

    /** Cores requested by pending tasks. */
    private static final class PendingTotals {
        private double batchCores;
        private double serviceCores;

        private void add(Job job) {
            boolean service = job.spec.service();
            job.forEachPendingSpec((spec, count) -> {
                if (service) {
                    serviceCores += count * spec.cpus();
                } else {
                    batchCores += count * spec.cpus();
                }
            });
        }
    }

    /** Logs the current totals, and the lateness since the last call. */
    void log() {
        MachineTotals machines = new MachineTotals();
        scheduler.machines().forEach(machines::add);
        PendingTotals pending = new PendingTotals();
        for (Job job : scheduler.jobs()) {
            if (job.hasPendingTasks()) {
                pending.add(job);
            }
        }
        LOG.info(
                "fleet.measured token={} reconciled={} machines={} idle={} cores_ordinary={} cores_spot={} cores_booting={} cores_used={} cores_services={} pending_batch={} pending_services={} load={} starting_tasks={} reappeared_attempts={} unassigned_attempts={} late_p99_ms={} late_max_ms={}",
                scheduler.token(),
                scheduler.reconciliationComplete(),
                scheduler.machines().size(),
                machines.idleMachines,
                machines.onDemandCores,
                machines.spotCores,
                machines.bootingCores,
                machines.usedCores,
                machines.serviceCores,
                pending.batchCores,
                pending.serviceCores,
                Math.round(provisioner.meanArrayLoadCores()),
                machines.startingTasks,
                scheduler.unexplainedAttempts().reappeared(),
                scheduler.unexplainedAttempts().notAssigned(),
                latenessMs.getValueAtPercentile(REPORTED_PERCENTILE),
                latenessMs.getMaxValue());
        latenessMs.reset();
    }
}
