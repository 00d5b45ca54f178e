package org.hollypick.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.agent.AgentClient;
import org.hollypick.cloud.CloudClient;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.PartitionedLeaseRenewal;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ReconcileConstants;
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
import org.hollypick.core.JobDependencies;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.WorkerLeases;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.graph.Graph;
import org.hollypick.core.health.LocalHealth;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.GraphRecords;
import org.hollypick.records.JobCodec;
import org.hollypick.records.Records;
import org.hollypick.relay.LeaderComplaint;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of leadership, under one token: the loops that bring machines, tasks, rentals and the jobs' durable records
 * to what the scheduler wants. It does nothing outside itself unless {@code entitled} says that this node's state
 * session is valid.
 */
public final class LeaderTerm {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);

    public final long token;
    public final Scheduler scheduler;
    private final EventLoop eventLoop;
    private final Settings settings;
    private final StoreReplica replica;

    private final AgentManager agentManager;
    private final InstanceProvisioner provisioner;
    private final MachineRegistry registry;
    private final CompletionStore completionStore;
    private final DependentCancellation dependentCancellation;
    private final JobDependencies dependencies;
    private final Map<String, MachineType> types;
    private final Membership membership;
    private boolean measuring;
    private final AttainedServiceStore attainedService;
    private final LeaderMetrics metrics;
    public final JobTermination jobTermination;
    /** Null unless the operators switched them on. */
    public final GraphService graphs;
    /** Null unless the operators switched estimates on. */
    private final RuntimeStatisticsStore runtimeStatistics;

    private boolean ended;
    /** By what this node last acted, as it was logged. */
    private String right = "";

    private boolean pumping;
    private long lastTick;
    private final LocalHealth own;
    private long nextFleet;
    private long nextPass;
    private long nextList;
    private long nextSizes;
    private long nextSummary;

    public LeaderTerm(
            long token,
            EventLoop eventLoop,
            Settings settings,
            OperatorSettings operator,
            StoreReplica replica,
            JobDependencies dependencies,
            KeyValueStoreClient store,
            CloudClient cloud,
            AgentClient agentClient,
            Map<String, MachineType> types,
            Membership membership,
            GraphService.Maker maker) {
        this.token = token;
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.replica = replica;
        this.dependencies = dependencies;

        this.types = types;
        this.membership = membership;
        this.lastTick = eventLoop.now() - ReconcileConstants.RECONCILE_INTERVAL_MS;
        boolean firstTerm = membership.terms() == 1;
        this.own = new LocalHealth(eventLoop.now());
        this.scheduler = new Scheduler(
                token,
                settings,
                operator.firstShare(),
                workerLeases(settings, eventLoop.now(), firstTerm),
                operator.estimates());
        if (membership.limitsKept()) {
            scheduler.earlierLeadersKeptLimits();
        }
        this.agentManager = new AgentManager(
                eventLoop, settings, scheduler, agentClient, types, this::holdsLeaderLease, own, this::pump);
        this.provisioner = new InstanceProvisioner(
                eventLoop,
                settings,
                operator,
                scheduler,
                cloud,
                types,
                this::holdsLeaderLease,
                membership::reachesState,
                this::pump,
                firstTerm);
        this.registry =
                new MachineRegistry(eventLoop, replica, store, settings, token, scheduler.terminatedMachines::contains);
        this.completionStore = new CompletionStore(eventLoop, replica, store, settings, scheduler);
        this.dependentCancellation = new DependentCancellation(eventLoop, replica, store, settings, token);
        this.attainedService = new AttainedServiceStore(replica, settings, store, scheduler);
        this.metrics = new LeaderMetrics(scheduler, provisioner);
        this.jobTermination = new JobTermination(
                eventLoop, scheduler, dependencies, store, this::followDependencies, this::endOf, this::ended);
        this.runtimeStatistics = operator.estimates()
                ? new RuntimeStatisticsStore(eventLoop, replica, store, settings, scheduler)
                : null;
        this.graphs = operator.graphs()
                ? new GraphService(
                        eventLoop,
                        settings,
                        replica,
                        store,
                        scheduler,
                        jobTermination,
                        this::pump,
                        maker == null ? Graph::new : maker,
                        operator.graphKeepMs())
                : null;
    }

    private static WorkerLeases workerLeases(Settings settings, long now, boolean firstTerm) {
        List<String> peers =
                settings.siblings().stream().map(Settings.Sibling::node).toList();
        return new WorkerLeases(settings, peers, now, firstTerm);
    }

    /**
     * Starts from the records; the view holds every change up to the leader record's own, and older leaders can make
     * none after it.
     */
    public void start() {
        List<String> keys = new ArrayList<>();
        replica.entries().keySet().forEach(key -> {
            if (!key.startsWith(StoreKeys.MACHINES)) {
                keys.add(key);
            }
        });
        registry.load(this::loadMachine);
        recordsChanged(keys);
        completionStore.load();
        attainedService.load();
        if (graphs != null) {
            graphs.loadEnded();
        }
        if (runtimeStatistics != null) {
            runtimeStatistics.load();
        }
        for (Job job : new ArrayList<>(scheduler.jobs.values())) {
            scheduler.completionsRestored(job);
            if (job.finished()) {
                scheduler.jobsWithNewCompletions.add(job);
            }
        }
        LOG.info("term starts token={} jobs={} machines={}", token, scheduler.jobs.size(), scheduler.machines.size());
        loop();
    }

    public void end() {
        LOG.info("term ends token={}", token);
        ended = true;
    }

    private void loadMachine(String id, JsonNode r) {
        MachineType type = types.get(r.path("type").asText());
        if (type == null) {
            type = new MachineType(r.path("type").asText(), 0, 0, 0, 0, 1, 1, 1, 60, Set.of());
        }
        Machine m = scheduler.addMachine(
                id, type, r.path("zone").asText(), r.path("spot").asBoolean(), true, eventLoop.now());
        m.address = r.path("addr").asText("");
        m.lastHeartbeatAt = eventLoop.now();
    }

    /** A worker's report, through that controller, while this node may act. */
    public ServerResponse heartbeatReceived(Heartbeat r, String via) {
        return agentManager.heartbeatReceived(r, via);
    }

    /** Whether this node may act for this term now. */
    public boolean holdsLeaderLease() {
        return !ended && membership.holdsLeaderLease(token);
    }

    /**
     * Another controller asks whether it may keep leases when it is cut off; its view holds every change up to
     * {@code epoch}.
     */
    public ServerResponse grantPartitionedRenewal(String node, long epoch, long echo, boolean kept) {
        long now = eventLoop.now();
        WorkerLeases leases = scheduler.leases;
        leases.asked(node, echo, kept, now);
        boolean granted = leases.allAsked() && jobTermination.replicaShowsAllCancellations(epoch);
        return PartitionedLeaseRenewal.told(token, leases.answer(node, granted, now), granted)
                .onlyWhile(this::holdsLeaderLease);
    }

    // ---- records ----

    /** Jobs that appeared, and ends that a transaction of ours brought although its answer got lost. */
    public void recordsChanged(Collection<String> keys) {

        registry.changed(keys);
        keys.stream()
                .filter(k -> k.startsWith(StoreKeys.LEADER_COMPLAINT) && replica.get(k) != null)
                .forEach(k -> agentManager
                        .failureDetector()
                        .complaintReceived(
                                LeaderComplaint.machines(replica.get(k).data(), token)));
        for (String key : keys) {
            if (!key.startsWith(StoreKeys.JOB)) {
                continue;
            }
            StoreReplica.Entry entry = replica.get(key);
            String id = key.substring(StoreKeys.JOB.length());
            Job job = scheduler.jobs.get(id);
            if (entry == null) {
                continue;
            }
            if (!Records.isOver(entry.data())) {
                if (jobTermination.isTerminal(id)) {
                    continue;
                }
                if (dependencies.isCancelled(id)) {
                    dependentCancellation.add(id, entry.revision());
                } else if (job == null && GraphRecords.isGraph(entry.data())) {
                    if (graphs != null) {
                        graphs.appear(id, entry.data(), entry.revision());
                    }
                } else if (job == null) {
                    try {
                        JobSpec spec = JobCodec.read(entry.data().path("spec"));
                        LOG.info("job job={} class={} tasks={} token={}", id, spec.jobClass(), spec.tasks(), token);
                        scheduler.addJob(
                                spec,
                                entry.revision(),
                                Codec.u64(entry.data().path("under")),
                                dependencies.ready(id),
                                dependencies.priority(id));
                    } catch (JobCodec.Invalid x) {
                        LOG.error("job record can't be read job={} field={}", id, x.getMessage());
                    }
                }
                continue;
            }
            jobTermination.recordShowsTerminal(id);
            if (job != null) {
                if (Records.status(entry.data()).equals(Records.ABORTED)) {
                    jobTermination.cancelled(job, entry.revision());
                } else {
                    jobTermination.over(job, Records.DONE);
                }
            }
        }
        followDependencies();
    }

    /** Ends that are durable release what waited for them, or take it along. */
    private void followDependencies() {
        for (String id : dependencies.takeChanged()) {
            Job job = scheduler.jobs.get(id);
            if (job != null && dependencies.isCancelled(id)) {
                jobTermination.over(job, Records.ABORTED);
                dependentCancellation.add(id, job.arrivalRevision);
            } else if (job != null) {
                scheduler.updateDependencies(job, dependencies.ready(id), dependencies.priority(id));
            }
        }
        pump();
    }

    private ObjectNode endOf(Job job, String status) {
        ObjectNode graph = graphs == null ? null : graphs.endOf(job, status);
        return graph != null ? graph : Records.over(status, job.completedTasks.cardinality());
    }

    private void ended(String id) {
        if (graphs != null) {
            graphs.over(id);
        }
    }

    private void register() {
        scheduler.machinesToRegister.forEach(registry::add);
        scheduler.machinesToRegister.clear();
        scheduler.machinesToUnregister.forEach(registry::drop);
        scheduler.machinesToUnregister.clear();
        registry.flush(machines -> {
            machines.forEach(scheduler::registered);
            pump();
        });
    }

    // ---- the regular loop ----

    private void loop() {
        if (ended) {
            return;
        }
        long now = eventLoop.now();
        metrics.ran(now - lastTick);
        if (now - lastTick > ReconcileConstants.RECONCILE_INTERVAL_MS + ReconcileConstants.RECONCILE_LATE_MS) {
            own.seen(now); // this node itself was held up, so silence proves nothing yet
        }
        lastTick = now;
        logRight(now);
        if (holdsLeaderLease()) {
            scheduler.expireLeases(now);
            scheduler.cycleRequested |= now >= nextPass;
            provisioner.terminate(agentManager.failureDetector().detectUnresponsive(now), "silent");
            if (agentManager.failureDetector().isolated(now)
                    && (membership.resignationAllowed()
                            || agentManager.failureDetector().leasesAboutToExpire(now))) {
                resignIfBetter();
            }
            agentManager.contactUnheard();
            if (now >= nextList) {
                nextList = now + ReconcileConstants.INSTANCE_LIST_INTERVAL_MS;
                provisioner.list();
            }
            if (now >= nextFleet) {
                nextFleet = now + ReconcileConstants.AUTOSCALING_INTERVAL_MS;
                provisioner.scale(agentManager.failureDetector().partitioned(), now);
                if (jobTermination.fencingDue(now) || scheduler.assignments.attemptNumbersNearlyExhausted()) {
                    membership.fence(token);
                } else if (settings.anyLimit() && !membership.limitsKept() && scheduler.limitsKept()) {
                    membership.recordLimitsKept(token); // once, after leaders of an older version or with other limits
                }
            }
            if (now >= nextSummary) {
                nextSummary = now + ReconcileConstants.METRICS_LOG_INTERVAL_MS;
                metrics.log();
            }
            if (now >= nextSizes) {
                nextSizes = now + ReconcileConstants.ATTAINED_SERVICE_INTERVAL_MS;
                attainedService.write();
            }
            pump();
        } else {
            own.seen(now);
        }
        eventLoop.after(ReconcileConstants.RECONCILE_INTERVAL_MS, this::loop);
    }

    private void logRight(long now) {
        String is = membership.right(token);
        if (!is.equals(right)) {
            right = is;
            long ms = membership.leaderLeaseUntil(token) - now;
            LOG.info("right to act and to renew leases by={} ms={} token={}", right, ms, token);
        }
    }

    /**
     * Machines are out of reach from here: gives up the lead if another reaches, alone, what this leader does with the
     * help of all; or if those that it can't ask may do better, unless it reaches nearly all by some way.
     */
    private void resignIfBetter() {
        if (measuring) {
            return;
        }
        measuring = true;
        membership.measure(m -> {
            measuring = false;
            boolean unknown = agentManager.failureDetector().noPeerAnswers(eventLoop.now()) && !m.reachesNearlyAll();
            if (holdsLeaderLease() && (unknown || m.betterElsewhere())) {
                LOG.info(
                        "cut off from the machines, resigning token={} {} {}",
                        token,
                        agentManager.failureDetector().seen(),
                        m);
                membership.resign();
            }
        });
    }

    /** One look at what changed and its orders, shared by all events that come close together. */
    public void pump() {
        if (pumping || ended) {
            return;
        }
        pumping = true;
        eventLoop.after(ReconcileConstants.SCHEDULING_CYCLE_GAP_MS, () -> {
            pumping = false;
            if (!holdsLeaderLease()) {
                return;
            }
            long now = eventLoop.now();
            if (scheduler.cycleRequested) {
                scheduler.machinesWithFreedRoom.clear();
                nextPass = now + ReconcileConstants.FULL_SCHEDULING_CYCLE_MS;
                scheduler.runSchedulingCycle(now);
            }
            List<Machine> freed = new ArrayList<>(scheduler.machinesWithFreedRoom);
            scheduler.machinesWithFreedRoom.clear();
            freed.forEach(m -> scheduler.scheduleOn(m, now));
            agentManager.send();
            if (graphs != null) {
                graphs.flush();
            }
            jobTermination.closeFinished();
            jobTermination.writeCancellations(membership.reachesState());
            register();
            completionStore.flush();
            dependentCancellation.flush();
            if (runtimeStatistics != null) {
                runtimeStatistics.flush();
            }
        });
    }
}
