package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.hollypick.core.Job;
import org.hollypick.io.Codec;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.TerminalStatus;

/**
 * The status of a job as users see it. Immutable.
 *
 * @param id the job's id
 * @param completedTasks tasks that are done
 * @param runningTasks tasks that were last reported as running
 */
record JobStatus(String id, State state, int completedTasks, int runningTasks) {
    /** The wire name of a job's id. */
    static final String ID = "name_id";

    /** The wire name of a job's state. */
    static final String STATE = "status";

    private static final String COMPLETED_TASKS = "done";
    private static final String RUNNING_TASKS = "running";

    /** The states of a job, with their names in the users' protocol. */
    enum State {
        PENDING("pending"),
        RUNNING("running"),
        DONE(TerminalStatus.COMPLETED.wireName()),
        CANCELLED(TerminalStatus.CANCELLED.wireName());

        private final String wireName;

        State(String wireName) {
            this.wireName = wireName;
        }

        String wireName() {
            return wireName;
        }

        /** Whether a job in this state never changes again. */
        boolean isTerminal() {
            return this == DONE || this == CANCELLED;
        }

        /** The state of that wire name, if there is one. */
        static Optional<State> of(String wireName) {
            for (State state : values()) {
                if (state.wireName.equals(wireName)) {
                    return Optional.of(state);
                }
            }
            return Optional.empty();
        }
    }

    /** A job of which nothing has started. */
    static JobStatus pending(String id) {
        return new JobStatus(id, State.PENDING, 0, 0);
    }

    /** A cancelled job. */
    static JobStatus cancelled(String id, int completedTasks) {
        return new JobStatus(id, State.CANCELLED, completedTasks, 0);
    }

    /** The status of a live job that this controller schedules. */
    static JobStatus ofLive(Job job) {
        return new JobStatus(job.spec.id(), liveState(job), job.completedTasks.cardinality(), job.runningTasks());
    }

    /** The state of a live job that this controller schedules. */
    static State liveState(Job job) {
        return job.runningTasks() > 0 ? State.RUNNING : State.PENDING;
    }

    /** The response to a query of the status. */
    ServerResponse toResponse() {
        return ServerResponse.of(200, write());
    }

    /** The status in the users' protocol, which the controllers use among themselves too. */
    ObjectNode write() {
        return Codec.object()
                .put(ID, id)
                .put(STATE, state.wireName)
                .put(COMPLETED_TASKS, completedTasks)
                .put(RUNNING_TASKS, runningTasks);
    }

    /** Reads what {@link #write} wrote; empty if it isn't a status. */
    static Optional<JobStatus> read(JsonNode body) {
        return State.of(body.path(STATE).asText())
                .map(state -> new JobStatus(
                        body.path(ID).asText(),
                        state,
                        body.path(COMPLETED_TASKS).asInt(),
                        body.path(RUNNING_TASKS).asInt()));
    }
}
