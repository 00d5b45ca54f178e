package org.hollypick.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.control.jobs.JobTermination;
import org.hollypick.core.Job;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Machine;
import org.hollypick.io.EventLoop;
import org.hollypick.records.GraphRecordCodec;
import org.hollypick.records.JobCodec;
import org.hollypick.records.JobRecordCodec;
import org.hollypick.records.MachineRecordCodec;
import org.hollypick.records.MachineRecordCodec.MachineRecord;
import org.hollypick.records.TerminalStatus;
import org.hollypick.relay.LeaderComplaint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the replica's records to the leader's state: jobs that were submitted or became terminal, jobs that are ready
 * or cancelled because of their dependencies, machines, and complaints of controllers that can't reach the leader.
 * Confined to the event loop.
 */
final class RecordChangeHandler {
    private static final Logger LOG = LoggerFactory.getLogger(RecordChangeHandler.class);

    private final EventLoop eventLoop;
    private final StoreReplica replica;
    private final JobDependencies dependencies;
    private final Map<String, MachineType> machineTypes;
    private final TermComponents components;
    private final Scheduler scheduler;
    private final JobTermination jobTermination;
    private final Runnable requestReconcile;

    RecordChangeHandler(ControllerContext context, TermComponents components, Runnable requestReconcile) {
        this.eventLoop = context.eventLoop();
        this.replica = context.replica();
        this.dependencies = context.dependencies();
        this.machineTypes = context.machineTypes();
        this.components = components;
        this.scheduler = components.scheduler;
        this.jobTermination = components.jobTermination;
        this.requestReconcile = requestReconcile;
    }

    /** Applies all records of the replica when the term starts. */
    void loadAll() {
        List<String> keys = new ArrayList<>();
        replica.entries().keySet().forEach(key -> {
            if (!key.startsWith(StoreKeys.MACHINES)) {
                keys.add(key);
            }
        });
        components.machineRegistry.loadMachines(this::addMachine);
        recordsChanged(keys);
    }

    private void addMachine(String id, JsonNode record) {
        MachineRecord decoded = MachineRecordCodec.decode(record);
        MachineType type = machineTypes.get(decoded.typeName());
        if (type == null) {
            type = unknownType(decoded.typeName());
        }
        Machine machine = scheduler.addMachine(id, type, decoded.zone(), decoded.spot(), true, eventLoop.now());
        machine.restoreFromRecord(decoded.address(), eventLoop.now());
    }

    /** Creates a placeholder, without capacity for tasks, for a machine type that the cloud no longer offers. */
    private static MachineType unknownType(String name) {
        return new MachineType(name, 0, 0, 0, 0, 1, 1, 1, 60, Set.of());
    }

    /** Applies the changes of the records under {@code keys} in the replica. */
    void recordsChanged(Collection<String> keys) {
        components.machineRegistry.recordsChanged(keys);
        for (String key : keys) {
            if (key.startsWith(StoreKeys.LEADER_COMPLAINTS)) {
                complaintChanged(replica.get(key));
            }
        }
        for (String key : keys) {
            StoreReplica.Entry entry = key.startsWith(StoreKeys.JOBS) ? replica.get(key) : null;
            if (entry != null) {
                jobRecordChanged(key.substring(StoreKeys.JOBS.length()), entry);
            }
        }
        applyDependencyChanges();
    }

    private void complaintChanged(StoreReplica.Entry complaint) {
        if (complaint != null) {
            components
                    .agentManager
                    .failureDetector()
                    .complaintReceived(LeaderComplaint.machines(complaint.data(), components.token));
        }
    }

    private void jobRecordChanged(String id, StoreReplica.Entry entry) {
        if (JobRecordCodec.isTerminal(entry.data())) {
            terminalRecordFound(id, entry);
        } else if (!jobTermination.isTerminalAheadOfReplica(id)) {
            liveRecordFound(id, entry);
        }
    }

    /** Marks the job as terminal, also when a write of this term stored the record although its response was lost. */
    private void terminalRecordFound(String id, StoreReplica.Entry entry) {
        jobTermination.terminalRecordApplied(id);
        Job job = scheduler.job(id);
        if (job == null) {
            return;
        }
        if (JobRecordCodec.status(entry.data()) == TerminalStatus.CANCELLED) {
            jobTermination.cancelledRecordFound(job, entry.revision());
        } else {
            jobTermination.markTerminal(job, TerminalStatus.COMPLETED);
        }
    }

    private void liveRecordFound(String id, StoreReplica.Entry entry) {
        if (dependencies.isCancelled(id)) {
            components.dependentCancellation.add(id, entry.revision());
        } else if (scheduler.hasJob(id)) {
            return; // the job was added before
        } else if (GraphRecordCodec.isGraph(entry.data())) {
            if (components.graphs != null) {
                components.graphs.recordObserved(id, entry.data(), entry.revision());
            }
        } else {
            addJob(id, entry);
        }
    }

    private void addJob(String id, StoreReplica.Entry entry) {
        try {
            JobSpec spec = JobRecordCodec.spec(entry.data());
            LOG.info(
                    "job.added job={} class={} tasks={} token={}", id, spec.jobClass(), spec.tasks(), components.token);
            scheduler.addJob(
                    spec,
                    entry.revision(),
                    JobRecordCodec.createdUnderLeaderRevision(entry.data()),
                    dependencies.ready(id),
                    dependencies.priority(id));
        } catch (JobCodec.InvalidException e) {
            LOG.error("job.record_rejected job={} field={}", id, e.getMessage());
        }
    }

    /**
     * Updates the jobs whose dependencies changed: their readiness and priority, or their cancellation along with a
     * dependency.
     */
    void applyDependencyChanges() {
        for (String id : dependencies.takeChangedJobs()) {
            Job job = scheduler.job(id);
            if (job != null && dependencies.isCancelled(id)) {
                jobTermination.markTerminal(job, TerminalStatus.CANCELLED);
                components.dependentCancellation.add(id, job.arrivalRevision);
            } else if (job != null) {
                scheduler.updateDependencies(job, dependencies.ready(id), dependencies.priority(id));
            }
        }
        requestReconcile.run();
    }
}
