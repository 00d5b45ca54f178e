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
 * Checks the invariants of the cluster against what users are answered; {@link TaskChecker} checks what the tasks do.
 * The fakes report to it what really happens.
 */
final class InvariantChecker {
    /** A job that isn't answered about for so long, while there are no faults, is lost. */
    private static final long MAX_UNANSWERED_MS = 75_000;

    private static final String DONE = "done";
    private static final String ABORTED = "aborted";

    /** Each begins with the name of the invariant. */
    final List<String> violations = new ArrayList<>();

    final AnswerOrderChecker answerOrder = new AnswerOrderChecker(violations);
    final TaskChecker tasks;
    /** Descriptions of all jobs and graphs by id. */
    final Map<String, JsonNode> submitted = new HashMap<>();

    private final long cancellationMs;
    private final Map<String, Long> acceptedAt = new HashMap<>();
    private final Map<String, Long> lastAnsweredAt = new HashMap<>();
    /** Jobs that a user asked to cancel. */
    private final Set<String> cancellationRequests = new HashSet<>();
    /** Those, and all that depend on them. */
    private final Set<String> mayBeCancelled = new HashSet<>();
    /** When a user was first told that the job is cancelled. */
    private final Map<String, Long> cancelledAt = new HashMap<>();
    /** When a user was first told that a dependency of the job is cancelled. */
    private final Map<String, Long> dependencyCancelledAt = new HashMap<>();

    private final Map<String, String> terminalStatus = new HashMap<>();
    private final Map<String, Long> terminalAt = new HashMap<>();

    private long faultsEndedAt = Long.MAX_VALUE;
    /** Milliseconds from the end of the faults to the first answer, by job. */
    final Map<String, Long> firstAnswerMs = new HashMap<>();

    InvariantChecker(long cancellationMs) {
        this.cancellationMs = cancellationMs;
        this.tasks = new TaskChecker(this, cancellationMs);
    }

    /** Reports a violation that lasts, once. */
    void reportOnce(String violation) {
        if (!violations.contains(violation)) {
            violations.add(violation);
        }
    }

    /** From now on there are no faults. */
    void faultsEnded(long now) {
        faultsEndedAt = now;
    }

    /** When the faults ended; {@link Long#MAX_VALUE} before. */
    long faultsEndedAt() {
        return faultsEndedAt;
    }

    /** A user submits a job now: one that depends on a cancelled job must be cancelled too. */
    void jobSubmitted(String id, JsonNode description, long now) {
        submitted.put(id, description);
        for (JsonNode awaited : description.path(UserProtocol.DEPENDENCIES)) {
            String dependency = awaited.asText();
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

    /** A user asks to cancel a job. */
    void cancellationRequested(String id) {
        cancellationRequests.add(id);
        mayBeCancelled.add(id);
        mayBeCancelled.addAll(dependentsOf(id));
    }

    /**
     * A user gets an answer about a job.
     *
     * @param sentAt when the request was sent: requests that overlap may be answered in either order
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
        String before = terminalStatus.get(id);
        if (before != null && !before.equals(status) && sentAt > terminalAt.get(id)) {
            violations.add("went_back " + id + " from " + before + " to " + status);
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

    /** All submitted jobs that depend on this one, directly or not. */
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

    /** A user's request about a job is rejected, which may not happen once it was accepted. */
    void requestRejected(String id, int status, long sentAt) {
        if (isAccepted(id) && sentAt > acceptedAt.get(id) && (status == 404 || status == 400 || status == 422)) {
            violations.add("forgotten " + id + " answered " + status);
        }
    }

    /** A submission is answered that must be rejected since it depends on a job that never was. */
    void checkRejected(String id, int status) {
        checkRejected(id, 422, status);
    }

    /**
     * A submission is answered that lacks a field or can't run: it must be rejected with the expected status, by every
     * controller, each time.
     */
    void checkRejected(String id, int expectedStatus, int status) {
        if (status != expectedStatus
                && status != 503
                && status != Response.Failure.NO_RESPONSE.code()
                && status != Response.Failure.NOT_SENT.code()) {
            String what = status == 200 || status == 201 ? "accepted " : "refused otherwise ";
            violations.add(what + id + ", due " + expectedStatus + ", answered " + status);
        }
    }

    boolean isCancellationRequested(String id) {
        return cancellationRequests.contains(id);
    }

    /** Whether a user was told that the job has ended. */
    boolean isTerminal(String id) {
        return terminalStatus.containsKey(id);
    }

    /** Whether a user was told first that the job was cancelled. */
    boolean isAborted(String id) {
        return ABORTED.equals(terminalStatus.get(id));
    }

    /** Whether a user was told that the job is accepted. */
    boolean isAccepted(String id) {
        return acceptedAt.containsKey(id);
    }

    /** When a user was first told that the job is cancelled; null: never. */
    Long cancelledAt(String id) {
        return cancelledAt.get(id);
    }

    /** Jobs whose users were told that they are cancelled. */
    int cancelledCount() {
        return cancelledAt.size();
    }

    /** Checked regularly: what may not stay as it is. */
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
