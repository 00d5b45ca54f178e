package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One check a rule, fed by the stand-ins with what really happened. */
final class Checker {
    final List<String> broken = new ArrayList<>();
    final Map<String, JsonNode> submitted = new HashMap<>();
    private final Map<String, Set<WorkerStandIn>> on = new HashMap<>();
    private final Map<String, Set<Integer>> done = new HashMap<>();
    private final Set<String> accepted = new HashSet<>();
    private final Map<String, Long> acceptedSince = new HashMap<>();
    private final Map<String, String> over = new HashMap<>();
    private final Set<String> withdrawn = new HashSet<>();
    private final Map<String, Long> toldCancelledAt = new HashMap<>();
    private final Map<String, Long> overSince = new HashMap<>();
    private final double teamCpus;
    private final long cancelMs;
    int starts;
    int completed;
    /** Tasks that ended with their worker's lease. */
    int lost;

    Checker(double teamCpus, long cancelMs) {
        this.teamCpus = teamCpus;
        this.cancelMs = cancelMs;
    }

    private static String job(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    void started(String task, WorkerStandIn w, long now) {
        starts++;
        JsonNode spec = submitted.get(job(task));
        Set<WorkerStandIn> where = on.computeIfAbsent(task, k -> new HashSet<>());
        if (!where.isEmpty()) {
            broken.add("ran_twice " + task + " on " + w.name);
        }
        where.add(w);
        Long told = toldCancelledAt.get(job(task));
        if (told != null && now > told + cancelMs) {
            broken.add("ran_cancelled (started) " + task);
        }
        int inZone = 0;
        int elsewhere = 0;
        double cpus = 0;
        for (Map.Entry<String, Set<WorkerStandIn>> e : on.entrySet()) {
            for (WorkerStandIn other : e.getValue()) {
                cpus += submitted.get(job(e.getKey())).path("cores").asDouble();
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
        withdrawn.add(id);
    }

    /** {@code asked}: when the request was sent. Requests that overlap may be answered in either order. */
    void told(String id, String status, long asked, long now) {
        if (!submitted.containsKey(id)) {
            broken.add("invented " + id);
            return;
        }
        accepted.add(id);
        acceptedSince.putIfAbsent(id, now);
        String before = over.get(id);
        if (before != null && !before.equals(status) && asked > overSince.get(id)) {
            broken.add("went_back " + id + " from " + before + " to " + status);
        }
        if (status.equals("done")) {
            end(id, status, now);
            if (done.getOrDefault(id, Set.of()).size() < submitted.get(id).path("shards").asInt()) {
                broken.add("not_done " + id);
            }
        } else if (status.equals("aborted")) {
            end(id, status, now);
            toldCancelledAt.putIfAbsent(id, now);
            if (!withdrawn.contains(id)) {
                broken.add("went_back: cancelled without being asked " + id);
            }
        }
    }

    private void end(String id, String status, long now) {
        if (over.putIfAbsent(id, status) == null) {
            overSince.put(id, now);
        } else if (!over.get(id).equals(status)) {
            broken.add("went_back " + id + " both " + over.get(id) + " and " + status);
        }
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

    /** Looked at regularly: what may not stay as it is. */
    void sweep(long now) {
        on.forEach((task, where) -> {
            Long told = toldCancelledAt.get(job(task));
            if (told != null && now > told + cancelMs && !where.isEmpty()) {
                broken.add("ran_cancelled (still there) " + task);
            }
        });
    }
}
