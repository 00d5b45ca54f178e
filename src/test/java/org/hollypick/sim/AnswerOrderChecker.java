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
        OVER
    }

    /** A question about a job as it reached a controller. {@code creates}: it is a submission. */
    record Question(String node, String id, boolean creates, boolean refusals, long reachedAt) {}

    private record Left(String node, String id) {}

    private final List<String> broken;
    private final Map<String, Map<State, Long>> arrived = new HashMap<>();
    private final Map<Left, State> left = new HashMap<>();
    /** Hears of a job when a user is told for the first time that it is accepted, or over. */
    Consumer<String> news = id -> {};
    /** Answers that were compared with earlier ones, and those that were overtaken, at most by so many milliseconds. */
    int compared;

    int overtaken;
    long longestMs;

    AnswerOrderChecker(List<String> broken) {
        this.broken = broken;
    }

    /** A request reaches a controller; null if it isn't about a job. */
    static Question question(String node, String method, String path, JsonNode body, long now) {
        String[] parts = path.split("[/?]");
        boolean job = parts.length > 1 && parts[1].equals("submissions");
        if (!job && (parts.length < 2 || !parts[1].equals("graphs") || parts.length > 3)) {
            return null;
        }
        String id = parts.length > 2
                ? parts[2]
                : body == null ? "" : body.path("name_id").asText();
        boolean estimate = parts.length > 3 && parts[3].equals("estimate");
        return new Question(node, id, job && parts.length == 2, job && !estimate, now);
    }

    /** The answer leaves its controller. */
    void left(Question q, Response response, long now) {
        State state = q == null ? null : state(q, response);
        if (state == null) {
            return;
        }
        compared++;
        String what = q.id + " " + response.status() + " "
                + response.body().path("status").asText() + " by " + q.node + " at " + now;
        Left key = new Left(q.node, q.id);
        if (left.containsKey(key) && left.get(key).compareTo(state) > 0) {
            broken.add("went_back (same controller) " + what);
        }
        left.merge(key, state, (a, b) -> a.compareTo(b) > 0 ? a : b);
        Map<State, Long> told = arrived.getOrDefault(q.id, Map.of());
        if (q.creates && response.status() == 201 && told.getOrDefault(State.ACCEPTED, Long.MAX_VALUE) < q.reachedAt) {
            broken.add("accepted twice " + what);
        }
        long newer = told.entrySet().stream()
                .filter(e -> e.getKey().compareTo(state) > 0)
                .mapToLong(Map.Entry::getValue)
                .min()
                .orElse(Long.MAX_VALUE);
        if (newer < q.reachedAt) {
            broken.add("went_back (asked later) " + what + " after " + newer);
        } else if (newer < now) {
            overtaken++;
            longestMs = Math.max(longestMs, now - newer);
        }
    }

    private static State state(Question q, Response response) {
        if (response.status() == 404 || response.status() == 400 || response.status() == 422) {
            return q.refusals ? State.UNKNOWN : null;
        }
        return response.status() == 200 || response.status() == 201
                ? state(response.body().path("status").asText())
                : null;
    }

    private static State state(String status) {
        return switch (status) {
            case "pending", "running" -> State.ACCEPTED;
            case "done", "aborted" -> State.OVER;
            default -> null;
        };
    }

    /** A user hears of a job that it is pending, running or over. */
    void arrived(String id, String status, long now) {
        Map<State, Long> told = arrived.computeIfAbsent(id, k -> new EnumMap<>(State.class));
        State state = state(status);
        boolean first = told.putIfAbsent(state, now) == null;
        if (state == State.OVER) {
            first |= told.putIfAbsent(State.ACCEPTED, now) == null;
        }
        if (first) {
            news.accept(id);
        }
    }
}
