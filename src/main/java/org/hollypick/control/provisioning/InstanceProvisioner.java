package org.hollypick.control.provisioning;

import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.hollypick.cloud.CloudClient;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.control.TermContext;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.autoscaling.Autoscaler;
import org.hollypick.core.autoscaling.ScaleOutDecision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Provisions cloud machines during one leader term: carries out the autoscaler's plans and reconciles the scheduler's
 * machines with the cloud's list. Confined to the event loop.
 */
public final class InstanceProvisioner {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceProvisioner.class);

    private final TermContext term;
    private final Scheduler scheduler;
    private final BooleanSupplier acceptsJobs;
    private final boolean firstTerm;
    private final Autoscaler autoscaler;
    private final InstanceTerminator terminator;
    private final ScaleOutRequester scaleOutRequester;
    private final InstanceListReconciler listReconciler;
    private final long startedAt;
    /** When the next decision that requests no cores is logged, in milliseconds. */
    private long decisionLogDueAt;

    /**
     * Creates the provisioner of one term.
     *
     * @param acceptsJobs whether users can submit jobs now: only then does a lack of submissions mean a lower load
     * @param firstTerm whether no earlier leader can have requested machines
     */
    public InstanceProvisioner(
            TermContext term,
            OperatorSettings operatorSettings,
            CloudClient cloud,
            BooleanSupplier acceptsJobs,
            boolean firstTerm) {
        this.term = term;
        this.scheduler = term.scheduler();
        this.acceptsJobs = acceptsJobs;
        this.firstTerm = firstTerm;
        this.autoscaler = new Autoscaler(operatorSettings, firstTerm);
        this.terminator = new InstanceTerminator(term, cloud);
        this.scaleOutRequester = new ScaleOutRequester(term, cloud, autoscaler::recordRefusal);
        this.listReconciler = new InstanceListReconciler(term, cloud, terminator);
        this.startedAt = term.now();
    }

    /** Requests the termination of machines; the scheduler drops them once the cloud confirms. */
    public void terminate(List<Machine> machines, TerminationReason reason) {
        terminator.terminate(machines, reason);
    }

    /** Returns the mean number of cores that arriving job arrays keep busy. */
    public double meanArrayLoadCores() {
        return autoscaler.meanArrayLoadCores();
    }

    /** Plans and requests scale-out and scale-in; no machine is started in {@code partitionedZones}. */
    public void scale(Set<String> partitionedZones, long now) {
        terminator.retryUnconfirmed();
        if (mayMissInstances(now)) {
            return;
        }
        if (!acceptsJobs.getAsBoolean()) {
            autoscaler.submissionsUnavailable(now);
        }
        Autoscaler.Plan plan =
                autoscaler.plan(scheduler, term.machineTypes(), term.settings().zones(), partitionedZones, now);
        logDecision(plan.decision(), now);
        scaleOutRequester.requestUnlessInFlight(plan.scaleOut());
        terminator.terminate(plan.scaleIn(), TerminationReason.IDLE);
        plan.moves().forEach(this::moveReplica);
        term.requestReconcile();
    }

    /** Logs every decision that requests cores, and the others at the interval of the metrics. */
    private void logDecision(ScaleOutDecision decision, long now) {
        if (decision.requestedCores() <= 0 && now < decisionLogDueAt) {
            return;
        }
        decisionLogDueAt = now + ReconcileConstants.METRICS_LOG_INTERVAL_MS;
        LOG.info(
                "scale_out.planned requested_cores={} service_cores={} array_cores={} usable_array_cores={} load_cores={}"
                        + " supply_cores={} runnable_cores={}",
                Math.round(decision.requestedCores()),
                Math.round(decision.serviceCores()),
                Math.round(decision.arrayCores()),
                Math.round(decision.usableArrayCores()),
                Math.round(decision.loadCores()),
                Math.round(decision.supplyCores()),
                Math.round(decision.runnableCores()));
    }

    /** Whether machines that an earlier leader requested may still be missing from the cloud's list. */
    private boolean mayMissInstances(long now) {
        if (firstTerm) {
            return false;
        }
        boolean listMayBeOld = now - startedAt < term.settings().listLagS() * 2000;
        return !listReconciler.hasCompleted()
                || (listMayBeOld && !scheduler.machines().isEmpty());
    }

    /** Stops a service replica, which the scheduler then starts on a machine that is kept. */
    private void moveReplica(Assignment assignment) {
        LOG.info("assignment.move_requested task={} machine={}", assignment.taskId, assignment.machine.id);
        scheduler.assignments().stop(assignment, 0);
    }

    /** Reconciles the scheduler with the cloud's list of machines, unless a reconciliation is in progress. */
    public void reconcileInstances() {
        listReconciler.start();
    }
}
