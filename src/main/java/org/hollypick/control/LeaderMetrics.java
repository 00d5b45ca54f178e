package org.hollypick.control;

import org.HdrHistogram.Histogram;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.control.provisioning.InstanceProvisioner;
import org.hollypick.core.Job;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The line about the fleet as a whole that a leader logs now and then. */
final class LeaderMetrics {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderMetrics.class);

    private final Scheduler scheduler;
    private final InstanceProvisioner provisioner;
    /** How late the leader's loop runs, in milliseconds: what the node's processor share does to it. */
    private final Histogram lateness = new Histogram(2);

    LeaderMetrics(Scheduler scheduler, InstanceProvisioner provisioner) {
        this.scheduler = scheduler;
        this.provisioner = provisioner;
    }

    /** The loop ran so long after the time before. */
    void ran(long sinceMs) {
        lateness.recordValue(Math.max(0, sinceMs - ReconcileConstants.RECONCILE_INTERVAL_MS));
    }

    void log() {
        double[] cores = new double[4]; // ordinary, spot, booting, used
        int idle = 0;
        int fetching = 0;
        double serviceCores = 0;
        for (Machine machine : scheduler.machines.values()) {
            cores[!machine.heartbeatReceived ? 2 : machine.spot ? 1 : 0] += machine.type.cpus();
            cores[3] += machine.usedCpus;
            idle += machine.heartbeatReceived && machine.idle() ? 1 : 0;
            fetching += machine.startingTasks();
            serviceCores += machine.serviceCpus();
        }
        double[] waiting = new double[2]; // arrays, services
        for (Job job : scheduler.jobs.values()) {
            if (job.hasPendingTasks()) {
                int at = job.spec.service() ? 1 : 0;
                job.forEachWaiting((spec, count) -> waiting[at] += count * spec.cpus());
            }
        }
        LOG.info(
                "fleet token={} settled={} machines={} idle={} cores ordinary={} spot={} booting={} used={} services={} waiting={} waiting_services={} load={} fetching={} late_p99={} late_max={}",
                scheduler.token,
                scheduler.reconciliationComplete(),
                scheduler.machines.size(),
                idle,
                cores[0],
                cores[1],
                cores[2],
                cores[3],
                serviceCores,
                waiting[0],
                waiting[1],
                Math.round(provisioner.load()),
                fetching,
                lateness.getValueAtPercentile(99),
                lateness.getMaxValue());
        lateness.reset();
    }
}
