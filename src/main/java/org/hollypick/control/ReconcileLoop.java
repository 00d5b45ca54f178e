package org.hollypick.control;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.hollypick.cluster.LeaderLeaseSource;
import org.hollypick.cluster.Membership;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.control.machines.FailureDetector;
import org.hollypick.control.provisioning.TerminationReason;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Machine;
import org.hollypick.io.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the scheduler and applies its decisions to machines, tasks and durable records: at a regular interval, and
 * shortly after each {@link #requestReconcile}. Acts only while this controller holds the leader lease. Confined to the
 * event loop.
 */
final class ReconcileLoop {
    private static final Logger LOG = LoggerFactory.getLogger(ReconcileLoop.class);

    private final EventLoop eventLoop;
    private final Settings settings;
    private final Membership membership;
    private final TermComponents components;
    private final Scheduler scheduler;
    private final ResignationPolicy resignationPolicy;
    private final CommandTokenAdvancer commandTokenAdvancer;
    private final BooleanSupplier holdsLeaderLease;

    private final IntervalTimer fullCycleTimer =
            new IntervalTimer(ReconcileConstants.FULL_SCHEDULING_CYCLE_INTERVAL_MS);
    private final IntervalTimer instanceListTimer = new IntervalTimer(ReconcileConstants.INSTANCE_LIST_INTERVAL_MS);
    private final IntervalTimer autoscalingTimer = new IntervalTimer(ReconcileConstants.AUTOSCALING_INTERVAL_MS);
    private final IntervalTimer metricsTimer = new IntervalTimer(ReconcileConstants.METRICS_LOG_INTERVAL_MS);
    private final IntervalTimer attainedServiceTimer =
            new IntervalTimer(ReconcileConstants.ATTAINED_SERVICE_WRITE_INTERVAL_MS);

    private boolean stopped;
    private boolean reconcilePending;
    private long lastIterationAt;
    /** The source of the leader lease when it was last logged; null before that. */
    private LeaderLeaseSource loggedLeaseSource;

    ReconcileLoop(ControllerContext context, TermComponents components, BooleanSupplier holdsLeaderLease) {
        this.eventLoop = context.eventLoop();
        this.settings = context.settings();
        this.membership = context.membership();
        this.components = components;
        this.scheduler = components.scheduler;
        this.holdsLeaderLease = holdsLeaderLease;
        this.commandTokenAdvancer = new CommandTokenAdvancer(context, scheduler.commandTokens(), components.token);
        this.resignationPolicy = new ResignationPolicy(
                components.token, eventLoop, membership, components.agentManager.failureDetector(), holdsLeaderLease);
        this.lastIterationAt = eventLoop.now() - ReconcileConstants.RECONCILE_INTERVAL_MS;
    }

    /** Runs the first iteration now and the others at the regular interval, until {@link #stop}. */
    void start() {
        runIteration();
    }

    /** Stops the loop: no further iteration or reconciliation starts. */
    void stop() {
        stopped = true;
    }

    private void runIteration() {
        if (stopped) {
            return;
        }
        long now = eventLoop.now();
        recordLateness(now);
        logLeaseSource(now);
        if (holdsLeaderLease.getAsBoolean()) {
            commandTokenAdvancer.advanceIfDue(now);
            reconcileMachines(now);
            runPeriodicTasks(now);
            requestReconcile();
        } else {
            components.localHealth.markDegraded(now);
        }
        eventLoop.after(ReconcileConstants.RECONCILE_INTERVAL_MS, this::runIteration);
    }

    private void recordLateness(long now) {
        long elapsedMs = now - lastIterationAt;
        components.metrics.recordIteration(elapsedMs);
        if (elapsedMs > ReconcileConstants.RECONCILE_INTERVAL_MS + ReconcileConstants.MAX_RECONCILE_DELAY_MS) {
            components.localHealth.markDegraded(now); // heartbeats may be missing because this process was delayed
        }
        lastIterationAt = now;
    }

    private void logLeaseSource(long now) {
        LeaderLeaseSource source = membership.leaderLeaseSource(components.token);
        if (source != loggedLeaseSource) {
            loggedLeaseSource = source;
            long remainingMs = membership.leaderLeaseValidUntil(components.token) - now;
            LOG.info("leader_lease.changed source={} remaining_ms={} token={}", source, remainingMs, components.token);
        }
    }

    private void reconcileMachines(long now) {
        FailureDetector failureDetector = components.agentManager.failureDetector();
        scheduler.expireLeases(now);
        scheduler.outbox().requestCycleIf(fullCycleTimer.isDue(now));
        components.provisioner.terminate(failureDetector.detectUnresponsive(now), TerminationReason.UNRESPONSIVE);
        resignationPolicy.evaluate(now);
        components.agentManager.probeUnreconciled();
    }

    private void runPeriodicTasks(long now) {
        if (instanceListTimer.restartIfDue(now)) {
            components.provisioner.reconcileInstances();
        }
        if (autoscalingTimer.restartIfDue(now)) {
            components.provisioner.scale(
                    components.agentManager.failureDetector().partitionedZones(), now);
            updateLeaderRecord(now);
        }
        if (metricsTimer.restartIfDue(now)) {
            components.metrics.log();
        }
        if (attainedServiceTimer.restartIfDue(now)) {
            components.attainedService.write();
        }
    }

    /**
     * Requests a new fencing token if one is needed. Otherwise records in the leader record that the team limits are
     * enforced from now on, once all teams are within their limits, if earlier leaders did not enforce them.
     */
    private void updateLeaderRecord(long now) {
        if (components.jobTermination.needsNewFencingToken(now)
                || scheduler.assignments().attemptNumbersNearlyExhausted()) {
            membership.requestNewFencingToken(components.token);
        } else if (settings.hasTeamLimits()
                && !membership.limitsEnforcedByAllLeaders()
                && scheduler.quotas().allTeamsWithinLimits()) {
            membership.recordLimitsEnforced(components.token);
        }
    }

    /** Reconciles after a short delay; requests that come close together share one run. */
    void requestReconcile() {
        if (reconcilePending || stopped) {
            return;
        }
        reconcilePending = true;
        eventLoop.after(ReconcileConstants.SCHEDULING_CYCLE_GAP_MS, () -> {
            reconcilePending = false;
            if (holdsLeaderLease.getAsBoolean()) {
                reconcile();
            }
        });
    }

    private void reconcile() {
        schedule(eventLoop.now());
        components.agentManager.dispatchCommands();
        components.writeChanges(membership.reachesStore(), this::requestReconcile);
    }

    private void schedule(long now) {
        if (scheduler.outbox().cycleRequested()) {
            scheduler.outbox().discardFreedCapacity();
            fullCycleTimer.restart(now);
            scheduler.runSchedulingCycle(now);
        }
        List<Machine> machinesWithFreedCapacity = scheduler.outbox().takeMachinesWithFreedCapacity();
        machinesWithFreedCapacity.forEach(machine -> scheduler.scheduleOn(machine, now));
    }
}
