package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hollypick.io.Response;

/**
 * Whether an answer about a job is older than one given before, by the order in which answers leave the controllers and
 * reach users:
 *
 * <ul>
 *   <li>What leaves a controller is never older than what left the same controller before, whenever either question was
 *       put.
 *   <li>An answer to a question that reached a controller after a newer answer of any controller had reached a user
 *       isn't older than that one.
 * </ul>
 *
 * A question that was with one controller already when another's newer answer arrived may be answered with the older
 * state: no exchange of messages can rule that out, since the older answer may be on its way. Such answers are counted,
 * with the longest time by which one was late.
 */
final class AnswerOrderChecker {
    /** What an answer says of a job; each is newer than the ones before. */
    enum State {
        UNKNOWN,
        ACCEPTED,
        TERMINAL
    }

    /** A question about a job as it reached a controller. {@code isSubmission}: it is a submission. */
    record JobRequest(
            String controller, String jobId, boolean isSubmission, boolean rejectionMeansUnknown, long receivedAt) {}

    private record Sender(String controller, String jobId) {}

    private final List<String> violations;
    private final Map<String, Map<State, Long>> firstReceivedAt = new HashMap<>();
    private final Map<Sender, State> newestSent = new HashMap<>();
    /** Hears of a job when a user is told for the first time that it is accepted, or over. */
    Consumer<String> stateChangeListener = id -> {};
    /** Answers that were compared with earlier ones, and those that were overtaken, at most by so many milliseconds. */
    int comparedCount;

    int overtakenCount;
    long longestOvertakenMs;

    AnswerOrderChecker(List<String> violations) {
        this.violations = violations;
    }

    /** A request reaches a controller; null if it isn't about a job. */
    static JobRequest requestAbout(String node, String method, String path, JsonNode body, long now) {
        String[] parts = path.split("[/?]");
        boolean job = parts.length > 1 && parts[1].equals("submissions");
        if (!job && (parts.length < 2 || !parts[1].equals("graphs") || parts.length > 3)) {
            return null;
        }
        String id = parts.length > 2
                ? parts[2]
                : body == null ? "" : body.path("name_id").asText();
        boolean estimate = parts.length > 3 && parts[3].equals("estimate");
        return new JobRequest(node, id, job && parts.length == 2, job && !estimate, now);
    }

    /** The answer leaves its controller. */
    void responseSent(JobRequest q, Response response, long now) {
        State state = q == null ? null : state(q, response);
        if (state == null) {
            return;
        }
        comparedCount++;
        String what = q.jobId + " " + response.status() + " "
                + response.body().path("status").asText() + " by " + q.controller + " at " + now;
        Sender key = new Sender(q.controller, q.jobId);
        if (newestSent.containsKey(key) && newestSent.get(key).compareTo(state) > 0) {
            violations.add("went_back (same controller) " + what);
        }
        newestSent.merge(key, state, (a, b) -> a.compareTo(b) > 0 ? a : b);
        Map<State, Long> told = firstReceivedAt.getOrDefault(q.jobId, Map.of());
        if (q.isSubmission
                && response.status() == 201
                && told.getOrDefault(State.ACCEPTED, Long.MAX_VALUE) < q.receivedAt) {
            violations.add("accepted twice " + what);
        }
        long newer = told.entrySet().stream()
                .filter(e -> e.getKey().compareTo(state) > 0)
                .mapToLong(Map.Entry::getValue)
                .min()
                .orElse(Long.MAX_VALUE);
        if (newer < q.receivedAt) {
            violations.add("went_back (asked later) " + what + " after " + newer);
        } else if (newer < now) {
            overtakenCount++;
            longestOvertakenMs = Math.max(longestOvertakenMs, now - newer);
        }
    }

    private static State state(JobRequest q, Response response) {
        if (response.status() == 404 || response.status() == 400 || response.status() == 422) {
            return q.rejectionMeansUnknown ? State.UNKNOWN : null;
        }
        return response.status() == 200 || response.status() == 201
                ? state(response.body().path("status").asText())
                : null;
    }

    private static State state(String status) {
        return switch (status) {
            case "pending", "running" -> State.ACCEPTED;
            case "done", "aborted" -> State.TERMINAL;
            default -> null;
        };
    }

    /** A user hears of a job that it is pending, running or over. */
    void responseReceived(String id, String status, long now) {
        Map<State, Long> told = firstReceivedAt.computeIfAbsent(id, k -> new EnumMap<>(State.class));
        State state = state(status);
        boolean first = told.putIfAbsent(state, now) == null;
        if (state == State.TERMINAL) {
            first |= told.putIfAbsent(State.ACCEPTED, now) == null;
        }
        if (first) {
            stateChangeListener.accept(id);
        }
    }
}
