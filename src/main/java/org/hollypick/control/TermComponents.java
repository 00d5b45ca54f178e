package org.hollypick.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.control.graphs.GraphContext;
import org.hollypick.control.graphs.GraphService;
import org.hollypick.control.jobs.AttainedServiceStore;
import org.hollypick.control.jobs.CompletionStore;
import org.hollypick.control.jobs.DependentCancellation;
import org.hollypick.control.jobs.JobTermination;
import org.hollypick.control.jobs.RuntimeStatisticsStore;
import org.hollypick.control.machines.AgentManager;
import org.hollypick.control.machines.MachineRegistry;
import org.hollypick.control.provisioning.InstanceProvisioner;
import org.hollypick.core.Job;
import org.hollypick.core.Scheduler;
import org.hollypick.core.WorkerLeases;
import org.hollypick.core.health.LocalHealth;
import org.hollypick.io.EventLoop;
import org.hollypick.records.JobRecordCodec;
import org.hollypick.records.TerminalStatus;
import org.hollypick.store.KeyValueStoreClient;

/** The components of one term of leadership, which are created and connected here. Confined to the event loop. */
final class TermComponents {
    /** Calls from the components to their term. */
    interface Callbacks {
        /** Whether this controller may act as the term's leader now. */
        boolean holdsLeaderLease();

        /** Requests a reconciliation, after a change that it has to act on. */
        void requestReconcile();

        /** Called when jobs changed state, which may make dependent jobs ready or cancelled. */
        void jobStatesChanged();
    }

    final long token;
    final Scheduler scheduler;
    final LocalHealth localHealth;
    final AgentManager agentManager;
    final InstanceProvisioner provisioner;
    final MachineRegistry machineRegistry;
    final CompletionStore completionStore;
    final DependentCancellation dependentCancellation;
    final AttainedServiceStore attainedService;
    final JobTermination jobTermination;
    final LeaderMetrics metrics;
    /** Null if estimates are disabled in the operator settings. */
    final RuntimeStatisticsStore runtimeStatistics;
    /** Null if task graphs are disabled in the operator settings. */
    final GraphService graphs;

    TermComponents(long token, ControllerContext context, Callbacks callbacks) {
        EventLoop eventLoop = context.eventLoop();
        Settings settings = context.settings();
        OperatorSettings operatorSettings = context.operatorSettings();
        StoreReplica replica = context.replica();
        KeyValueStoreClient store = context.store();
        boolean firstTerm = context.membership().term() == 1;
        BooleanSupplier holdsLeaderLease = callbacks::holdsLeaderLease;
        Runnable requestReconcile = callbacks::requestReconcile;
        this.token = token;
        this.localHealth = new LocalHealth(eventLoop.now());
        this.scheduler = createScheduler(token, context, firstTerm);
        TermContext term = new TermContext(
                eventLoop, settings, scheduler, context.machineTypes(), holdsLeaderLease, requestReconcile);
        this.agentManager = new AgentManager(term, context.agentClient(), localHealth);
        this.provisioner = new InstanceProvisioner(
                term, operatorSettings, context.cloud(), context.membership()::reachesStore, firstTerm);
        this.machineRegistry = new MachineRegistry(eventLoop, replica, store, settings, token, scheduler::isTerminated);
        this.completionStore = new CompletionStore(eventLoop, replica, store, settings, scheduler);
        this.dependentCancellation = new DependentCancellation(eventLoop, replica, store, settings, token);
        this.attainedService = new AttainedServiceStore(replica, settings, store, scheduler);
        this.metrics = new LeaderMetrics(scheduler, provisioner);
        this.jobTermination = new JobTermination(
                eventLoop, scheduler, context.dependencies(), store, new TerminationListener(callbacks));
        this.runtimeStatistics = operatorSettings.estimatesEnabled()
                ? new RuntimeStatisticsStore(eventLoop, replica, store, settings, scheduler)
                : null;
        this.graphs = operatorSettings.graphsEnabled() ? createGraphService(context, requestReconcile) : null;
    }

    private static Scheduler createScheduler(long token, ControllerContext context, boolean firstTerm) {
        Settings settings = context.settings();
        Membership membership = context.membership();
        List<String> peers =
                settings.siblings().stream().map(Settings.Sibling::node).toList();
        WorkerLeases leases =
                new WorkerLeases(settings, peers, context.eventLoop().now(), firstTerm);
        OperatorSettings operatorSettings = context.operatorSettings();
        Scheduler scheduler = new Scheduler(
                token, settings, operatorSettings.firstPartitionShare(), leases, operatorSettings.estimatesEnabled());
        if (membership.limitsEnforcedByAllLeaders()) {
            scheduler.quotas().setEarlierLeadersEnforcedLimits();
        }
        return scheduler;
    }

    private GraphService createGraphService(ControllerContext context, Runnable requestReconcile) {
        GraphContext graphContext = new GraphContext(
                context.eventLoop(),
                context.settings(),
                context.replica(),
                context.store(),
                scheduler,
                jobTermination,
                requestReconcile);
        return new GraphService(
                graphContext, context.graphFactory(), context.operatorSettings().graphRetentionMs());
    }

    /**
     * Handles jobs that end. Task graphs have terminal records of a form of their own, and their logs are kept for a
     * while after the end.
     */
    private final class TerminationListener implements JobTermination.Listener {
        private final Callbacks callbacks;

        TerminationListener(Callbacks callbacks) {
            this.callbacks = callbacks;
        }

        @Override
        public ObjectNode terminalRecord(Job job, TerminalStatus status) {
            Optional<ObjectNode> graphRecord = graphs == null ? Optional.empty() : graphs.terminalRecord(job, status);
            return graphRecord.orElseGet(() -> JobRecordCodec.encodeTerminal(status, job.completedTasks.cardinality()));
        }

        @Override
        public void jobTerminated(String id) {
            if (graphs != null) {
                graphs.markEnded(id);
            }
        }

        @Override
        public void jobStatesChanged() {
            callbacks.jobStatesChanged();
        }
    }

    /** Restores what earlier leaders recorded about the jobs that the scheduler holds. */
    void loadJobState() {
        completionStore.load();
        attainedService.load();
        if (graphs != null) {
            graphs.loadEndedGraphs();
        }
        if (runtimeStatistics != null) {
            runtimeStatistics.load();
        }
    }

    /** Writes the term's changes to the store. Those that users wait for come first. */
    void writeChanges(boolean storeReachable, Runnable requestReconcile) {
        if (graphs != null) {
            graphs.reconcile();
        }
        jobTermination.writeFinishedJobs();
        jobTermination.writeCancellations(storeReachable);
        writeMachineRegistrations(requestReconcile);
        completionStore.flush();
        dependentCancellation.flush();
        if (runtimeStatistics != null) {
            runtimeStatistics.flush();
        }
    }

    private void writeMachineRegistrations(Runnable requestReconcile) {
        scheduler.outbox().takeMachinesToRegister().forEach(machineRegistry::add);
        scheduler.outbox().takeMachinesToUnregister().forEach(machineRegistry::remove);
        machineRegistry.flush(machines -> {
            machines.forEach(scheduler::markRegistered);
            requestReconcile.run();
        });
    }
}
