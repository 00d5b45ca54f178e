package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.hollypick.core.Job;
import org.hollypick.io.Codec;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.TerminalStatus;

/**
 * The status of a job in the user API. Immutable.
 *
 * @param id the job's id
 * @param completedTasks number of completed tasks
 * @param runningTasks number of tasks that were last reported as running
 */
record JobStatus(String id, State state, int completedTasks, int runningTasks) {
    /** The wire name of the field that holds a job's id. */
    static final String ID = "name_id";

    /** The wire name of the field that holds a job's state. */
    static final String STATE = "status";

    private static final String COMPLETED_TASKS = "done";
    private static final String RUNNING_TASKS = "running";

    /** The state of a job, with its wire name in the user API. */
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

        /** The state with that wire name, if there is one. */
        static Optional<State> of(String wireName) {
            for (State state : values()) {
                if (state.wireName.equals(wireName)) {
                    return Optional.of(state);
                }
            }
            return Optional.empty();
        }
    }

    /** The status of a job none of whose tasks has started. */
    static JobStatus pending(String id) {
        return new JobStatus(id, State.PENDING, 0, 0);
    }

    /** The status of a cancelled job. */
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

    /** Returns the response to a status query. */
    ServerResponse toResponse() {
        return ServerResponse.of(200, write());
    }

    /** Encodes the status for the user API and for messages between controllers. */
    ObjectNode write() {
        return Codec.object()
                .put(ID, id)
                .put(STATE, state.wireName)
                .put(COMPLETED_TASKS, completedTasks)
                .put(RUNNING_TASKS, runningTasks);
    }

    /** Decodes the output of {@link #write}; empty if the body holds no valid state. */
    static Optional<JobStatus> read(JsonNode body) {
        return State.of(body.path(STATE).asText())
                .map(state -> new JobStatus(
                        body.path(ID).asText(),
                        state,
                        body.path(COMPLETED_TASKS).asInt(),
                        body.path(RUNNING_TASKS).asInt()));
    }
}
