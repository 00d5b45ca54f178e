package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.io.Reply;

/** One check a rule, fed by the stand-ins with what really happened. */
final class Checker {
    /** What is asked for that long without an answer, while there is no trouble, is forgotten. */
    private static final long FORGOTTEN_MS = 75_000;

    final List<String> broken = new ArrayList<>();
    final Map<String, JsonNode> submitted = new HashMap<>();
    private final Map<String, Set<WorkerStandIn>> on = new HashMap<>();
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
    private final double teamCpus;
    private final long cancelMs;
    int starts;
    final Map<String, Integer> startsOf = new HashMap<>();
    int completed;
    /** Tasks that started after their job's user had been told that it is cancelled. */
    final List<String> startedAfterTold = new ArrayList<>();
    /** Tasks that ended with their worker's lease. */
    int lost;

    Checker(double teamCpus, long cancelMs) {
        this.teamCpus = teamCpus;
        this.cancelMs = cancelMs;
    }

    /** What a graph's task does: {@code finish} ends it, unless it was lost or stopped meanwhile. */
    interface Program {
        void running(String task, long attempt, Runnable finish);
    }

    private static String job(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    void started(String task, WorkerStandIn w, long now) {
        starts++;
        startsOf.merge(task, 1, Integer::sum);
        JsonNode spec = spec(task);
        Set<WorkerStandIn> where = on.computeIfAbsent(task, k -> new HashSet<>());
        if (!where.isEmpty()) {
            broken.add("ran_twice " + task + " on " + w.name);
        }
        where.add(w);
        started.add(job(task));
        for (JsonNode awaited : submitted.get(job(task)).path("awaits")) {
            if (!isComplete(awaited.asText()) || "aborted".equals(over.get(awaited.asText()))) {
                broken.add("too_early " + task + " before " + awaited.asText());
            }
        }
        Long told = toldCancelledAt.get(job(task));
        if (told != null) {
            startedAfterTold.add(task);
        }
        if (told != null && now > told + cancelMs) {
            broken.add("ran_cancelled (started) " + task);
        }
        int inZone = 0;
        int elsewhere = 0;
        double cpus = 0;
        for (Map.Entry<String, Set<WorkerStandIn>> e : on.entrySet()) {
            for (WorkerStandIn other : e.getValue()) {
                cpus += spec(e.getKey()).path("cores").asDouble();
                if (job(e.getKey()).equals(job(task))) {
                    if (other.zone.equals(w.zone)) {
                        inZone++;
                    } else {
                        elsewhere++;
                    }
                }
            }
        }
        if (teamCpus > 0 && cpus > teamCpus + 1e-6) {
            broken.add("quota " + cpus);
        }
        if (w.spot && !spec.path("lendable").asBoolean()
                || spec.path("hall").isTextual() && !spec.path("hall").asText().equals(w.zone)
                || spec.path("spread").asBoolean() && inZone > (spec.path("shards").asInt() + 1) / 2
                || spec.path("together").asBoolean() && elsewhere > 0) {
            broken.add("wrong_place " + task + " on " + w.name);
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

    void left(String task, WorkerStandIn w) {
        Set<WorkerStandIn> where = on.get(task);
        if (where != null) {
            where.remove(w);
        }
    }

    void completed(String task) {
        completed++;
        done.computeIfAbsent(job(task), k -> new HashSet<>()).add(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
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
        String before = over.get(id);
        if (before != null && !before.equals(status) && asked > overSince.get(id)) {
            broken.add("went_back " + id + " from " + before + " to " + status);
        }
        if (orphanedAt.containsKey(id) && now > orphanedAt.get(id) + cancelMs && (status.equals("pending") || status.equals("running"))) {
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
                orphanedAt.putIfAbsent(id, Math.min(orphanedAt.getOrDefault(awaited.asText(), Long.MAX_VALUE), toldCancelledAt.getOrDefault(awaited.asText(), Long.MAX_VALUE)));
            }
        }
    }

    /** A submission that must be refused, at once or by and by. */
    void neverAccepted(String id, int status) {
        if (status != 422 && status != 503 && status != Reply.NO_ANSWER && status != Reply.NOT_SENT) {
            broken.add("accepted " + id + " that awaits what never was: " + status);
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
        return submitted.get(id).has("nodes") || done.getOrDefault(id, Set.of()).size() >= submitted.get(id).path("shards").asInt();
    }

    boolean isDone(String task) {
        return done.getOrDefault(job(task), Set.of()).contains(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
    }

    boolean isOver(String id) {
        return over.containsKey(id);
    }

    boolean isAccepted(String id) {
        return accepted.contains(id);
    }

    void refused(String id, int status, long asked) {
        if (accepted.contains(id) && asked > acceptedSince.get(id) && (status == 404 || status == 400 || status == 422)) {
            broken.add("forgotten " + id + " answered " + status);
        }
    }

    /** From now on there is no trouble any more. */
    void calm(long now) {
        calmFrom = now;
    }

    /** What lasts is named once. */
    private void once(String rule) {
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
