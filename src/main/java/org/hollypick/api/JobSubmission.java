package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.control.jobs.JobStore;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.JobSpec;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.JobCodec;

/**
 * Accepts jobs on any controller: validates a submission and creates the job's durable record. Idempotent: the response
 * to a repeated submission is the job's status. A submission with a valid id is only rejected as invalid after a
 * linearizable read, since a repetition of an accepted submission must not be rejected. Confined to the event loop.
 */
final class JobSubmission {
    private final StoreReplica replica;
    private final JobStore jobStore;
    private final JobDependencies dependencies;
    private final Admission admission;
    private final LocalJobState localJobs;
    private final StatusQueries statusQueries;
    /**
     * Number of submissions that must be retried, since it is unknown whether the record was stored, or since the store
     * has no capacity. Varies the Retry-After of successive responses.
     */
    private int shedSubmissions;

    JobSubmission(
            StoreReplica replica,
            JobStore jobStore,
            JobDependencies dependencies,
            Admission admission,
            LocalJobState localJobs,
            StatusQueries statusQueries) {
        this.replica = replica;
        this.jobStore = jobStore;
        this.dependencies = dependencies;
        this.admission = admission;
        this.localJobs = localJobs;
        this.statusQueries = statusQueries;
    }

    /**
     * Creates a job and responds with 201 once its record is durable.
     *
     * @param body null if it couldn't be parsed
     */
    void submit(JsonNode body, Consumer<ServerResponse> responder) {
        if (body == null || !body.isObject()) {
            responder.accept(ServerResponse.error(400, "not a CBOR map"));
            return;
        }
        JsonNode idField = body.path(JobStatus.ID);
        String id = idField.asText("");
        if (!idField.isTextual() || !JobCodec.isId(id)) {
            responder.accept(ServerResponse.error(400, JobStatus.ID));
            return;
        }
        if (jobStore.exists(id)) {
            statusQueries.query(id, responder);
            return;
        }
        try {
            admit(JobCodec.decodeSubmission(body), JobCodec.decodeDependencies(body), responder);
        } catch (JobCodec.InvalidException e) {
            refuseUnlessAccepted(id, ServerResponse.error(400, "missing or invalid: " + e.getMessage()), responder);
        }
    }

    private void admit(JobSpec spec, Set<String> dependencyIds, Consumer<ServerResponse> responder) {
        if (!admission.isReady() || !replica.isLoaded()) {
            responder.accept(ServerResponse.retryLater("starting"));
            return;
        }
        Optional<String> rejectionReason = admission.rejectionReason(spec);
        if (rejectionReason.isPresent()) {
            refuseUnlessAccepted(spec.id(), ServerResponse.error(422, rejectionReason.get()), responder);
            return;
        }
        if (allHaveRecords(dependencyIds)) {
            create(spec, dependencyIds, responder);
        } else {
            createAfterRead(spec, dependencyIds, responder);
        }
    }

    /**
     * Creates the job after a linearizable read: the replica may lack the record of a dependency that another
     * controller has just accepted.
     */
    private void createAfterRead(JobSpec spec, Set<String> dependencyIds, Consumer<ServerResponse> responder) {
        replica.linearizableRead(fresh -> {
            if (!fresh) {
                responder.accept(UserResponses.storeUnavailable());
            } else if (localJobs.hasRecord(spec.id())) {
                statusQueries.query(spec.id(), responder);
            } else if (allHaveRecords(dependencyIds)) {
                create(spec, dependencyIds, responder);
            } else {
                responder.accept(ServerResponse.error(422, "awaits a job that was never accepted"));
            }
        });
    }

    private boolean allHaveRecords(Set<String> ids) {
        return ids.stream().allMatch(localJobs::hasRecord);
    }

    private void create(JobSpec spec, Set<String> dependencyIds, Consumer<ServerResponse> responder) {
        if (dependencyIds.stream().anyMatch(localJobs::isService)) {
            refuseUnlessAccepted(
                    spec.id(), ServerResponse.error(422, "awaits a service, which is never done"), responder);
            return;
        }
        jobStore.create(spec, dependencyIds, outcome -> {
            switch (outcome) {
                case CREATED -> responder.accept(created(spec.id(), dependencyIds));
                case ALREADY_EXISTS -> statusQueries.query(spec.id(), responder);
                case TOO_LARGE ->
                    refuseUnlessAccepted(
                            spec.id(), ServerResponse.error(400, "larger than the state service can hold"), responder);
                default -> responder.accept(ServerResponse.shedLoad(shedSubmissions++));
            }
        });
    }

    /**
     * Returns the response to the submission whose record was created. By the time the store acknowledges the write,
     * the job may be terminal and other users may have received that status; the response then holds the terminal
     * status.
     */
    private ServerResponse created(String id, Set<String> dependencyIds) {
        Optional<JobStatus> terminal = localJobs.terminalStatus(id);
        if (terminal.isPresent()) {
            return terminal.get().toResponse();
        }
        JobStatus status =
                dependencies.anyCancelled(dependencyIds) ? JobStatus.cancelled(id, 0) : JobStatus.pending(id);
        return ServerResponse.of(201, status.write()).onlyWhile(() -> !localJobs.isTerminal(id));
    }

    /** Sends the refusal if a linearizable read finds no record of the job, or the job's status if it finds one. */
    private void refuseUnlessAccepted(String id, ServerResponse refusal, Consumer<ServerResponse> responder) {
        replica.linearizableRead(fresh -> {
            if (!fresh) {
                responder.accept(UserResponses.storeUnavailable());
            } else if (localJobs.hasRecord(id)) {
                statusQueries.query(id, responder);
            } else {
                responder.accept(refusal.onlyWhile(() -> !localJobs.hasRecord(id)));
            }
        });
    }
}
