package org.hollypick.control.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.JobSpec;
import org.hollypick.core.JobSpec.Priority;
import org.hollypick.io.EventLoop;
import org.hollypick.records.JobCodec;
import org.hollypick.records.JobRecordCodec;
import org.hollypick.records.TerminalStatus;
import org.hollypick.store.KeyValueStoreClient;

/**
 * Creates the records of submitted jobs, and updates the dependency graph from the job records in the replica. Every
 * controller has one, whether it leads or not. Confined to the event loop.
 */
public final class JobStore {
    private final StoreReplica replica;
    private final JobDependencies dependencies;
    private final SubmissionWriter submissionWriter;
    /**
     * Ids of jobs that certainly have a record which the replica doesn't show yet: a repeated submission needs no
     * write.
     */
    private final Set<String> durableAheadOfReplica = new HashSet<>();
    /** Callers that submitted a job again while its record is being written, by job id. */
    private final Map<String, List<Consumer<SubmissionOutcome>>> writesInFlight = new HashMap<>();

    /** Creates a store that keeps {@code dependencies} up to date with the replica by {@link #recordsChanged}. */
    public JobStore(
            EventLoop eventLoop,
            Settings settings,
            KeyValueStoreClient store,
            StoreReplica replica,
            Membership membership,
            JobDependencies dependencies) {
        this.replica = replica;
        this.dependencies = dependencies;
        this.submissionWriter =
                new SubmissionWriter(eventLoop, settings, store, membership, dependencies, this::markRecordExists);
    }

    /** Applies the changes of the records under {@code keys} in the replica. */
    public void recordsChanged(Collection<String> keys) {
        for (String key : keys) {
            StoreReplica.Entry entry = key.startsWith(StoreKeys.JOBS) ? replica.get(key) : null;
            if (entry != null) {
                jobRecordChanged(key.substring(StoreKeys.JOBS.length()), entry.data());
            }
        }
    }

    private void jobRecordChanged(String id, JsonNode record) {
        durableAheadOfReplica.remove(id);
        if (!JobRecordCodec.isTerminal(record)) {
            dependencies.addLive(id, priority(record), JobRecordCodec.dependencies(record, replica));
        } else if (JobRecordCodec.status(record) == TerminalStatus.COMPLETED) {
            dependencies.markDone(id);
        } else {
            dependencies.markCancelled(id);
        }
    }

    private static Priority priority(JsonNode record) {
        try {
            return JobRecordCodec.priority(record);
        } catch (JobCodec.InvalidException e) {
            return Priority.LOW;
        }
    }

    /** Whether the job certainly has a record, in the replica or ahead of it. */
    public boolean exists(String id) {
        return durableAheadOfReplica.contains(id) || replica.get(StoreKeys.job(id)) != null;
    }

    private void markRecordExists(String id, long revision) {
        replica.observe(revision);
        if (replica.get(StoreKeys.job(id)) == null) {
            durableAheadOfReplica.add(id);
        }
    }

    /**
     * Creates the record of an accepted job. A repeated submission waits for the write in flight: a second write would
     * conflict with the first, and count against the store's write limit.
     *
     * @param dependencyIds the ids of the jobs that the job depends on, each of which has a record
     * @param onOutcome receives the outcome
     */
    public void create(JobSpec spec, Collection<String> dependencyIds, Consumer<SubmissionOutcome> onOutcome) {
        List<Consumer<SubmissionOutcome>> repeatedCallers = writesInFlight.get(spec.id());
        if (repeatedCallers != null) {
            repeatedCallers.add(onOutcome);
            return;
        }
        writesInFlight.put(spec.id(), new ArrayList<>());
        submissionWriter.write(spec, dependencyIds, outcome -> {
            List<Consumer<SubmissionOutcome>> waitingCallers = writesInFlight.remove(spec.id());
            onOutcome.accept(outcome);
            SubmissionOutcome repeatedOutcome =
                    outcome == SubmissionOutcome.CREATED ? SubmissionOutcome.ALREADY_EXISTS : outcome;
            waitingCallers.forEach(caller -> caller.accept(repeatedOutcome));
        });
    }
}
