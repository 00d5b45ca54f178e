package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.io.Response;

/** One check a rule, fed by the stand-ins with what really happened. */
final class InvariantChecker {
    /** What is asked for that long without an answer, while there is no trouble, is forgotten. */
    private static final long FORGOTTEN_MS = 75_000;

    final List<String> broken = new ArrayList<>();
    final AnswerOrderChecker order = new AnswerOrderChecker(broken);
    final Map<String, JsonNode> submitted = new HashMap<>();
    private final Map<String, Set<FakeAgent>> on = new HashMap<>();
    private final Map<String, Set<Integer>> done = new HashMap<>();
    private final Set<String> accepted = new HashSet<>();
    private final Map<String, Long> acceptedSince = new HashMap<>();
    private final Map<String, String> over = new HashMap<>();
    /** Jobs that a user asked to cancel. */
    final Set<String> asked = new HashSet<>();
    /** Those and all that need them. */
    private final Set<String> withdrawn = new HashSet<>();

    private final Map<String, Long> toldCancelledAt = new HashMap<>();
    /** When each job was last answered about, and from when on that may not be long ago: the end of all troubles. */
    private final Map<String, Long> answeredAt = new HashMap<>();

    private long calmFrom = Long.MAX_VALUE;
    /** Milliseconds from then to the first answer, by job. */
    final Map<String, Long> firstAnswer = new HashMap<>();

    private final Map<String, Long> overSince = new HashMap<>();
    private final Set<String> started = new HashSet<>();
    /** Descriptions of graphs' nodes by task, and what each does while it runs. */
    final Map<String, JsonNode> nodes = new HashMap<>();

    Program program;
    /** When the user of a job was told that one that it needs is cancelled. */
    private final Map<String, Long> orphanedAt = new HashMap<>();
    /** Cores that each team's tasks may take together. */
    final Map<String, Double> teamCpus = new HashMap<>();

    private final long cancelMs;
    int starts;
    /** Tasks that started after a user was told that their job is cancelled, however soon after. */
    final List<String> startsAfterCancellation = new ArrayList<>();
    /** Tasks of jobs called cancelled that went on, for a moment or longer, when their machine no longer hung. */
    int wentOnCancelled;
    /** Hears of each task in the moment in which it completes. */
    Consumer<String> onCompleted = task -> {};

    final Map<String, Integer> startsOf = new HashMap<>();
    private final Map<String, Integer> startsOfJob = new HashMap<>();
    int completed;
    /** Tasks that ended with their worker's lease. */
    int lost;

    InvariantChecker(long cancelMs) {
        this.cancelMs = cancelMs;
    }

    /** What a graph's task does: {@code finish} ends it, unless it was lost or stopped meanwhile. */
    interface Program {
        void running(String task, long attempt, Runnable finish);
    }

    private static String job(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    void started(String task, FakeAgent agent, long now) {
        starts++;
        startsOf.merge(task, 1, Integer::sum);
        startsOfJob.merge(job(task), 1, Integer::sum);
        JsonNode spec = spec(task);
        Set<FakeAgent> where = on.computeIfAbsent(task, k -> new HashSet<>());
        if (!where.isEmpty()) {
            broken.add("ran_twice " + task + " on " + agent.name);
        }
        where.add(agent);
        started.add(job(task));
        for (JsonNode awaited : submitted.get(job(task)).path("awaits")) {
            if (!isComplete(awaited.asText()) || "aborted".equals(over.get(awaited.asText()))) {
                broken.add("too_early " + task + " before " + awaited.asText());
            }
        }
        checkCancelledStart(task, now);
        int inZone = 0;
        int elsewhere = 0;
        for (Map.Entry<String, Set<FakeAgent>> e : on.entrySet()) {
            for (FakeAgent other : e.getValue()) {
                if (job(e.getKey()).equals(job(task))) {
                    if (other.zone.equals(agent.zone)) {
                        inZone++;
                    } else {
                        elsewhere++;
                    }
                }
            }
        }
        checkQuota(teamOf(task));
        if ((agent.spot && !spec.path("lendable").asBoolean())
                || (spec.path("hall").isTextual() && !spec.path("hall").asText().equals(agent.zone))
                || (spec.path("spread").asBoolean()
                        && inZone > (spec.path("shards").asInt() + 1) / 2)
                || (spec.path("together").asBoolean() && elsewhere > 0)) {
            broken.add("wrong_place " + task + " on " + agent.name);
        }
    }

    /** What a team's tasks take together now, whether their job is over or not. */
    double cpusOf(String team) {
        double cpus = 0;
        for (Map.Entry<String, Set<FakeAgent>> e : on.entrySet()) {
            if (!e.getValue().isEmpty() && teamOf(e.getKey()).equals(team)) {
                cpus += e.getValue().size() * spec(e.getKey()).path("cores").asDouble();
            }
        }
        return cpus;
    }

    private String teamOf(String task) {
        return submitted.get(job(task)).path("owner").asText();
    }

    private void checkQuota(String team) {
        if (!teamHasRoom(team, 0)) {
            broken.add("quota of " + team + " " + cpusOf(team));
        }
    }

    /** Whether that many cores more keep the team's limit. */
    boolean teamHasRoom(String team, double cpus) {
        return cpusOf(team) + cpus <= teamCpus.getOrDefault(team, 0.0) + 1e-6;
    }

    private void checkCancelledStart(String task, long now) {
        Long told = toldCancelledAt.get(job(task));
        if (told != null) {
            startsAfterCancellation.add(task + " " + (now - told) + " ms after");
            if (now > told + cancelMs) {
                broken.add("ran_cancelled (started) " + task);
            }
        }
    }

    /** Its machine hung and goes on, within its lease, and the task with it. */
    void wentOn(String task, long now) {
        Long told = toldCancelledAt.get(job(task));
        if (told != null) {
            wentOnCancelled++;
            if (now > told + cancelMs) {
                once("ran_cancelled (went on after its machine hung) " + task);
            }
        }
    }

    /** Tasks that run somewhere. */
    int running() {
        return (int) on.values().stream().filter(where -> !where.isEmpty()).count();
    }

    /** What the task takes: a job's description, or that of a node of a graph; null if nobody submitted it. */
    JsonNode spec(String task) {
        JsonNode node = nodes.get(task);
        JsonNode job = submitted.get(job(task));
        return node != null ? node : job == null || job.has("nodes") ? null : job;
    }

    void left(String task, FakeAgent agent) {
        Set<FakeAgent> where = on.get(task);
        if (where != null) {
            where.remove(agent);
        }
    }

    void completed(String task) {
        completed++;
        done.computeIfAbsent(job(task), k -> new HashSet<>())
                .add(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
        onCompleted.accept(task);
    }

    void withdrawing(String id) {
        asked.add(id);
        withdrawn.add(id);
        withdrawn.addAll(needing(id));
    }

    /** {@code asked}: when the request was sent. Requests that overlap may be answered in either order. */
    void told(String id, String status, long asked, long now) {
        if (!submitted.containsKey(id)) {
            broken.add("invented " + id);
            return;
        }
        accepted.add(id);
        answeredAt.put(id, now);
        if (now >= calmFrom) {
            firstAnswer.putIfAbsent(id, now - calmFrom);
        }
        acceptedSince.putIfAbsent(id, now);
        order.arrived(id, status, now);
        String before = over.get(id);
        if (before != null && !before.equals(status) && asked > overSince.get(id)) {
            broken.add("went_back " + id + " from " + before + " to " + status);
        }
        if (orphanedAt.containsKey(id)
                && now > orphanedAt.get(id) + cancelMs
                && (status.equals("pending") || status.equals("running"))) {
            broken.add("orphaned " + id + " still " + status);
        }
        if (status.equals("done")) {
            end(id, status, now);
            if (!isComplete(id)) {
                broken.add("not_done " + id);
            }
        } else if (status.equals("aborted")) {
            end(id, status, now);
            toldCancelledAt.putIfAbsent(id, now);
            orphan(id, now);
            if (!withdrawn.contains(id)) {
                broken.add("went_back: cancelled without being asked " + id);
            }
        }
    }

    /** All submitted jobs that need this one. */
    private Set<String> needing(String id) {
        Set<String> all = new HashSet<>();
        List<String> todo = new ArrayList<>(List.of(id));
        while (!todo.isEmpty()) {
            String next = todo.remove(todo.size() - 1);
            submitted.forEach((other, spec) -> {
                for (JsonNode awaited : spec.path("awaits")) {
                    if (awaited.asText().equals(next) && all.add(other)) {
                        todo.add(other);
                    }
                }
            });
        }
        return all;
    }

    private void orphan(String id, long now) {
        for (String other : needing(id)) {
            orphanedAt.putIfAbsent(other, now);
            if (started.contains(other)) {
                broken.add("too_early " + other + " started, and " + id + " before it is cancelled");
            }
        }
    }

    /** It is submitted now: one that needs a cancelled job is an orphan from the start. */
    void submitting(String id, JsonNode spec, long now) {
        submitted.put(id, spec);
        for (JsonNode awaited : spec.path("awaits")) {
            if (withdrawn.contains(awaited.asText())) {
                withdrawn.add(id);
            }
            if (toldCancelledAt.containsKey(awaited.asText()) || orphanedAt.containsKey(awaited.asText())) {
                orphanedAt.putIfAbsent(
                        id,
                        Math.min(
                                orphanedAt.getOrDefault(awaited.asText(), Long.MAX_VALUE),
                                toldCancelledAt.getOrDefault(awaited.asText(), Long.MAX_VALUE)));
            }
        }
    }

    /** A submission that must be refused, at once or by and by, since it awaits what never was. */
    void neverAccepted(String id, int status) {
        neverAccepted(id, 422, status);
    }

    /**
     * A submission that lacks a field, or can't run: it must be refused with that status, by every controller, each
     * time.
     */
    void neverAccepted(String id, int due, int status) {
        if (status != due
                && status != 503
                && status != Response.Failure.NO_RESPONSE.code()
                && status != Response.Failure.NOT_SENT.code()) {
            String what = status == 200 || status == 201 ? "accepted " : "refused otherwise ";
            broken.add(what + id + ", due " + due + ", answered " + status);
        }
    }

    private void end(String id, String status, long now) {
        if (over.putIfAbsent(id, status) == null) {
            overSince.put(id, now);
        } else if (!over.get(id).equals(status)) {
            broken.add("went_back " + id + " both " + over.get(id) + " and " + status);
        }
    }

    /** All of its tasks have completed, whoever knows of it. */
    boolean isComplete(String id) {
        return submitted.get(id).has("nodes")
                || done.getOrDefault(id, Set.of()).size()
                        >= submitted.get(id).path("shards").asInt();
    }

    boolean isDone(String task) {
        return done.getOrDefault(job(task), Set.of()).contains(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
    }

    /** Jobs whose users were told that they are cancelled. */
    int told() {
        return toldCancelledAt.size();
    }

    boolean isOver(String id) {
        return over.containsKey(id);
    }

    boolean isAccepted(String id) {
        return accepted.contains(id);
    }

    void refused(String id, int status, long asked) {
        if (accepted.contains(id)
                && asked > acceptedSince.get(id)
                && (status == 404 || status == 400 || status == 422)) {
            broken.add("forgotten " + id + " answered " + status);
        }
    }

    /** From now on there is no trouble any more. */
    void calm(long now) {
        calmFrom = now;
    }

    long calmFrom() {
        return calmFrom;
    }

    /** How many of its tasks are done. */
    int doneOf(String id) {
        return done.getOrDefault(id, Set.of()).size();
    }

    /** Grows with each start and each end of one of its tasks. */
    int progress(String id) {
        return startsOfJob.getOrDefault(id, 0) + doneOf(id);
    }

    /** What lasts is named once. */
    void once(String rule) {
        if (!broken.contains(rule)) {
            broken.add(rule);
        }
    }

    /** Looked at regularly: what may not stay as it is. */
    void sweep(long now) {
        answeredAt.forEach((id, at) -> {
            if (!asked.contains(id) && calmFrom < now && now - Math.max(at, calmFrom) > FORGOTTEN_MS) {
                once("forgotten " + id + " unanswered since " + at);
            }
        });
        on.forEach((task, where) -> {
            Long told = toldCancelledAt.get(job(task));
            if (told != null && now > told + cancelMs && !where.isEmpty()) {
                once("ran_cancelled (still there) " + task);
            }
        });
    }
}
