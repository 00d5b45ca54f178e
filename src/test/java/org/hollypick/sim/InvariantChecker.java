package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.io.Response;

/**
 * Checks the invariants of the cluster that concern the responses to users; {@link TaskChecker} checks those that
 * concern tasks. The simulated users and machines report the actual events to the checkers.
 */
final class InvariantChecker {
    /** A job whose queries get no answer for this long without faults counts as lost. */
    private static final long MAX_UNANSWERED_MS = 75_000;

    private static final String DONE = "done";
    private static final String ABORTED = "aborted";

    /** The violations found, each beginning with the name of the invariant. */
    final List<String> violations = new ArrayList<>();

    final AnswerOrderChecker answerOrder = new AnswerOrderChecker(violations);
    final TaskChecker tasks;
    /** Descriptions of all submitted jobs and graphs, by id. */
    final Map<String, JsonNode> submitted = new HashMap<>();

    private final long cancellationMs;
    private final Map<String, Long> acceptedAt = new HashMap<>();
    private final Map<String, Long> lastAnsweredAt = new HashMap<>();
    /** Jobs whose cancellation a user requested. */
    private final Set<String> cancellationRequests = new HashSet<>();
    /** Jobs whose cancellation a user requested, and all jobs that depend on them. */
    private final Set<String> mayBeCancelled = new HashSet<>();
    /** When a user was first told that the job is cancelled, by job. */
    private final Map<String, Long> cancelledAt = new HashMap<>();
    /** When a user was first told that a direct or indirect dependency of the job is cancelled, by job. */
    private final Map<String, Long> dependencyCancelledAt = new HashMap<>();

    private final Map<String, String> terminalStatus = new HashMap<>();
    private final Map<String, Long> terminalAt = new HashMap<>();

    private long faultsEndedAt = Long.MAX_VALUE;
    /** Milliseconds from the end of the faults to the first successful response, by job. */
    final Map<String, Long> firstAnswerMs = new HashMap<>();

    InvariantChecker(long cancellationMs) {
        this.cancellationMs = cancellationMs;
        this.tasks = new TaskChecker(this, cancellationMs);
    }

    /** Records a violation unless it was recorded before: for conditions that are checked repeatedly. */
    void reportOnce(String violation) {
        if (!violations.contains(violation)) {
            violations.add(violation);
        }
    }

    /** Records that no faults are injected from now on. */
    void faultsEnded(long now) {
        faultsEndedAt = now;
    }

    /** The time at which the faults ended; {@link Long#MAX_VALUE} until then. */
    long faultsEndedAt() {
        return faultsEndedAt;
    }

    /** Records that a user submits a job now. If it depends on a cancelled job, it must be cancelled too. */
    void jobSubmitted(String id, JsonNode description, long now) {
        submitted.put(id, description);
        for (JsonNode dependencyId : description.path(UserProtocol.DEPENDENCIES)) {
            String dependency = dependencyId.asText();
            if (mayBeCancelled.contains(dependency)) {
                mayBeCancelled.add(id);
            }
            if (cancelledAt.containsKey(dependency) || dependencyCancelledAt.containsKey(dependency)) {
                dependencyCancelledAt.putIfAbsent(
                        id,
                        Math.min(
                                dependencyCancelledAt.getOrDefault(dependency, Long.MAX_VALUE),
                                cancelledAt.getOrDefault(dependency, Long.MAX_VALUE)));
            }
        }
    }

    /** Records that a user requests the cancellation of a job. */
    void cancellationRequested(String id) {
        cancellationRequests.add(id);
        mayBeCancelled.add(id);
        mayBeCancelled.addAll(dependentsOf(id));
    }

    /**
     * Records that a user receives the status of a job, and checks the status.
     *
     * @param sentAt when the request was sent: the responses to overlapping requests may arrive in either order
     */
    void jobAnswered(String id, String status, long sentAt, long now) {
        if (!submitted.containsKey(id)) {
            violations.add("invented " + id);
            return;
        }
        lastAnsweredAt.put(id, now);
        if (now >= faultsEndedAt) {
            firstAnswerMs.putIfAbsent(id, now - faultsEndedAt);
        }
        acceptedAt.putIfAbsent(id, now);
        answerOrder.responseReceived(id, status, now);
        checkStatusChange(id, status, sentAt, now);
        if (status.equals(DONE)) {
            checkTerminalStatus(id, status, now);
            if (!tasks.isComplete(id)) {
                violations.add("not_done " + id);
            }
        } else if (status.equals(ABORTED)) {
            checkTerminalStatus(id, status, now);
            cancelledAt.putIfAbsent(id, now);
            checkDependents(id, now);
            if (!mayBeCancelled.contains(id)) {
                violations.add("went_back: cancelled without being asked " + id);
            }
        }
    }

    private void checkStatusChange(String id, String status, long sentAt, long now) {
        String earlier = terminalStatus.get(id);
        if (earlier != null && !earlier.equals(status) && sentAt > terminalAt.get(id)) {
            violations.add("went_back " + id + " from " + earlier + " to " + status);
        }
        if (dependencyCancelledAt.containsKey(id)
                && now > dependencyCancelledAt.get(id) + cancellationMs
                && (status.equals("pending") || status.equals("running"))) {
            violations.add("orphaned " + id + " still " + status);
        }
    }

    private void checkTerminalStatus(String id, String status, long now) {
        if (terminalStatus.putIfAbsent(id, status) == null) {
            terminalAt.put(id, now);
        } else if (!terminalStatus.get(id).equals(status)) {
            violations.add("went_back " + id + " both " + terminalStatus.get(id) + " and " + status);
        }
    }

    private void checkDependents(String id, long now) {
        for (String dependent : dependentsOf(id)) {
            dependencyCancelledAt.putIfAbsent(dependent, now);
            if (tasks.hasStarted(dependent)) {
                violations.add("too_early " + dependent + " started, and " + id + " before it is cancelled");
            }
        }
    }

    /** All submitted jobs that depend on the given one, directly or indirectly. */
    private Set<String> dependentsOf(String id) {
        Set<String> dependents = new HashSet<>();
        List<String> pending = new ArrayList<>(List.of(id));
        while (!pending.isEmpty()) {
            String next = pending.remove(pending.size() - 1);
            submitted.forEach((other, description) -> {
                for (JsonNode dependency : description.path(UserProtocol.DEPENDENCIES)) {
                    if (dependency.asText().equals(next) && dependents.add(other)) {
                        pending.add(other);
                    }
                }
            });
        }
        return dependents;
    }

    /** Records that a user's request about a job failed: once accepted, a job must not be rejected or unknown. */
    void requestRejected(String id, int status, long sentAt) {
        if (isAccepted(id) && sentAt > acceptedAt.get(id) && (status == 404 || status == 400 || status == 422)) {
            violations.add("forgotten " + id + " answered " + status);
        }
    }

    /** Checks the status of the response to a submission with an impossible dependency: 422 is expected. */
    void checkRejected(String id, int status) {
        checkRejected(id, 422, status);
    }

    /**
     * Checks the status of the response to an invalid submission: every controller must reject it with the expected
     * status each time, unless the request fails or the controller is unavailable.
     */
    void checkRejected(String id, int expectedStatus, int status) {
        if (status != expectedStatus
                && status != 503
                && status != Response.Failure.NO_RESPONSE.code()
                && status != Response.Failure.NOT_SENT.code()) {
            String problem = status == 200 || status == 201 ? "accepted " : "refused otherwise ";
            violations.add(problem + id + ", due " + expectedStatus + ", answered " + status);
        }
    }

    boolean isCancellationRequested(String id) {
        return cancellationRequests.contains(id);
    }

    /** Whether a user was told that the job has ended. */
    boolean isTerminal(String id) {
        return terminalStatus.containsKey(id);
    }

    /** Whether the first terminal status of the job that a user received is "aborted". */
    boolean isAborted(String id) {
        return ABORTED.equals(terminalStatus.get(id));
    }

    /** Whether a user was told that the job is accepted. */
    boolean isAccepted(String id) {
        return acceptedAt.containsKey(id);
    }

    /** The time at which a user was first told that the job is cancelled; null if no user was. */
    Long cancelledAt(String id) {
        return cancelledAt.get(id);
    }

    /** Number of jobs that a user was told are cancelled. */
    int cancelledCount() {
        return cancelledAt.size();
    }

    /** Checks the conditions that must not last; called periodically. */
    void check(long now) {
        lastAnsweredAt.forEach((id, answeredAt) -> {
            if (!isCancellationRequested(id)
                    && faultsEndedAt < now
                    && now - Math.max(answeredAt, faultsEndedAt) > MAX_UNANSWERED_MS) {
                reportOnce("forgotten " + id + " unanswered since " + answeredAt);
            }
        });
        tasks.check(now);
    }
}
