package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hollypick.io.Response;

/**
 * Checks that responses about a job never go back to an older state, by the times at which controllers receive requests
 * and send responses and at which users receive responses:
 *
 * <ul>
 *   <li>A controller never sends an older state than it sent before, whenever it received either request.
 *   <li>A request that a controller receives after a user received a newer state, from any controller, isn't answered
 *       with an older one.
 * </ul>
 *
 * A request that a controller had already received when a user received a newer state from another controller may still
 * be answered with the older one. No protocol can rule this out, since the older response may be in transit. Such
 * overtaken responses are counted.
 */
final class AnswerOrderChecker {
    /** The state of a job according to a response, from the oldest to the newest. */
    enum State {
        UNKNOWN,
        ACCEPTED,
        TERMINAL
    }

    /**
     * A request about a job as received by a controller.
     *
     * @param rejectionMeansUnknown whether status 400, 404 or 422 means that the controller has no such job
     */
    record JobRequest(
            String controller, String jobId, boolean isSubmission, boolean rejectionMeansUnknown, long receivedAt) {}

    /** A controller and a job that it sends responses about. */
    private record Sender(String controller, String jobId) {}

    private final List<String> violations;
    private final Map<String, Map<State, Long>> firstReceivedAt = new HashMap<>();
    private final Map<Sender, State> newestSent = new HashMap<>();
    /** Called with the id of a job when a user is first told that the job was accepted, or that it has ended. */
    Consumer<String> stateChangeListener = id -> {};
    /** Number of responses that were compared with earlier ones. */
    int comparedCount;
    /** Number of overtaken responses: sent after a user had received a newer state. */
    int overtakenCount;
    /** The longest time by which an overtaken response was sent after the newer state was received. */
    long longestOvertakenMs;

    AnswerOrderChecker(List<String> violations) {
        this.violations = violations;
    }

    /** The request as received by a controller now; null if it isn't about a job. */
    static JobRequest requestAbout(String controller, String method, String path, JsonNode body, long now) {
        String[] parts = path.split("[/?]");
        boolean isSubmissionPath = parts.length > 1 && parts[1].equals("submissions");
        if (!isSubmissionPath && (parts.length < 2 || !parts[1].equals("graphs") || parts.length > 3)) {
            return null;
        }
        String id = parts.length > 2
                ? parts[2]
                : body == null ? "" : body.path("name_id").asText();
        boolean isEstimate = parts.length > 3 && parts[3].equals("estimate");
        return new JobRequest(
                controller, id, isSubmissionPath && parts.length == 2, isSubmissionPath && !isEstimate, now);
    }

    /** Records that a controller sends a response now, and compares it with earlier ones. */
    void responseSent(JobRequest request, Response response, long now) {
        State state = request == null ? null : state(request, response);
        if (state == null) {
            return;
        }
        comparedCount++;
        String description = request.jobId + " " + response.status() + " "
                + response.body().path("status").asText() + " by " + request.controller + " at " + now;
        Sender sender = new Sender(request.controller, request.jobId);
        if (newestSent.containsKey(sender) && newestSent.get(sender).compareTo(state) > 0) {
            violations.add("went_back (same controller) " + description);
        }
        newestSent.merge(sender, state, (a, b) -> a.compareTo(b) > 0 ? a : b);
        Map<State, Long> receivedAtByState = firstReceivedAt.getOrDefault(request.jobId, Map.of());
        if (request.isSubmission
                && response.status() == 201
                && receivedAtByState.getOrDefault(State.ACCEPTED, Long.MAX_VALUE) < request.receivedAt) {
            violations.add("accepted twice " + description);
        }
        long newerReceivedAt = receivedAtByState.entrySet().stream()
                .filter(entry -> entry.getKey().compareTo(state) > 0)
                .mapToLong(Map.Entry::getValue)
                .min()
                .orElse(Long.MAX_VALUE);
        if (newerReceivedAt < request.receivedAt) {
            violations.add("went_back (asked later) " + description + " after " + newerReceivedAt);
        } else if (newerReceivedAt < now) {
            overtakenCount++;
            longestOvertakenMs = Math.max(longestOvertakenMs, now - newerReceivedAt);
        }
    }

    private static State state(JobRequest request, Response response) {
        if (response.status() == 404 || response.status() == 400 || response.status() == 422) {
            return request.rejectionMeansUnknown ? State.UNKNOWN : null;
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

    /** Records that a user receives a response with the status of a job now. */
    void responseReceived(String id, String status, long now) {
        Map<State, Long> receivedAtByState = firstReceivedAt.computeIfAbsent(id, key -> new EnumMap<>(State.class));
        State state = state(status);
        boolean isFirst = receivedAtByState.putIfAbsent(state, now) == null;
        if (state == State.TERMINAL) {
            isFirst |= receivedAtByState.putIfAbsent(State.ACCEPTED, now) == null;
        }
        if (isFirst) {
            stateChangeListener.accept(id);
        }
    }
}
