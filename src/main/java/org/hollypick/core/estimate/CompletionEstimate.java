package org.hollypick.core.estimate;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Machine;

/**
 * When a job is likely to be done, from drawn courses of events. Pure; it changes nothing and is worked out only when
 * someone asks.
 */
public final class CompletionEstimate {
    /** Courses of events: enough for a tenth, and few enough for a busy owner. */
    private static final int DRAWS = 48;
    /** Tasks beyond which their sum stands for them. */
    private static final int TASKS = 1_500;
    /** Jobs before it, directly or through others, that are followed. */
    private static final int CHAIN = 200;

    /** Seconds from now, and what takes the largest part of them. */
    public record Answer(PredictionInterval interval, String reason) {}

    private final Scheduler scheduler;
    private final Estimates estimates;
    private final Function<String, List<String>> awaited;
    private final long now;
    /** Cores that arrays can use, those of them that are free, and those that boot. */
    private double cores;

    private double free;
    private double booting;
    private double bootS;
    private final Map<String, double[]> drawn = new HashMap<>();

    /** {@code awaited}: the jobs that one awaits and that aren't done. */
    public CompletionEstimate(
            Scheduler scheduler, Estimates estimates, Function<String, List<String>> awaited, long now) {
        this.scheduler = scheduler;
        this.estimates = estimates;
        this.awaited = awaited;
        this.now = now;
        for (Machine m : scheduler.machines.values()) {
            if (m.schedulable()) {
                cores += m.type.cpus() - m.serviceCpus();
                free += m.type.cpus() - m.usedCpus;
            } else if (!m.heartbeatReceived && !m.scalingIn) {
                booting += m.type.cpus();
                bootS = Math.max(bootS, Math.max(1, m.type.bootS() - (now - m.createdAt) / 1000.0));
            }
        }
    }

    public Answer of(Job job) {
        List<Job> order = before(job);
        String reason = "running";
        for (Job j : order) {
            reason = draw(j);
        }
        double[] d = drawn.get(job.spec.id());
        Arrays.sort(d);
        JobSpec spec = job.tasks() > 0 ? job.spec(0) : job.spec;
        PredictionInterval kind = estimates.interval(spec, 0);
        return new Answer(
                new PredictionInterval(d[DRAWS / 10], d[DRAWS / 2], d[DRAWS * 9 / 10], kind.runs(), kind.from()),
                job.ready ? reason : "what it awaits");
    }

    /** The job behind all that it needs, without recursion: chains may be long. */
    private List<Job> before(Job job) {
        LinkedHashMap<String, Job> found = new LinkedHashMap<>();
        List<Job> todo = new ArrayList<>(List.of(job));
        List<Job> order = new ArrayList<>();
        while (!todo.isEmpty()) {
            Job next = todo.get(todo.size() - 1);
            boolean first = found.putIfAbsent(next.spec.id(), next) == null;
            if (first && found.size() < CHAIN) {
                for (String id : awaited.apply(next.spec.id())) {
                    Job other = scheduler.jobs.get(id);
                    if (other != null && !found.containsKey(id)) {
                        todo.add(other);
                    }
                }
            }
            if (!first || todo.get(todo.size() - 1) == next) {
                todo.remove(todo.size() - 1);
                if (!order.contains(next)) {
                    order.add(next);
                }
            }
        }
        return order;
    }

    /** Core-seconds of work that goes before the job's in its partition. */
    private double ahead(Job job) {
        double[] work = {0};
        for (Job other : scheduler.jobs.values()) {
            int rank = other.priority.compareTo(job.priority);
            if (other != job
                    && other.hasPendingTasks()
                    && !other.spec.service()
                    && other.inSecondPartition() == job.inSecondPartition()
                    && (rank < 0
                            || (rank == 0 && Long.compareUnsigned(other.arrivalRevision, job.arrivalRevision) < 0))) {
                other.forEachWaiting((spec, count) -> work[0] += count * spec.cpus() * scheduler.expectedRunS(spec));
            }
        }
        return work[0];
    }

    /** Draws when the job is done; returns what takes the largest part. */
    private String draw(Job job) {
        UniformRandomProvider random = new SplitMix64(job.arrivalRevision * 31 + job.completedTasks.cardinality());
        Map<JobSpec, Estimates.Sampler> samplers = new HashMap<>();
        List<Estimates.Sampler> waiting = new ArrayList<>();
        double[] waitingWork = {0};
        int[] left = {0};
        job.forEachWaiting((spec, count) -> {
            Estimates.Sampler s = samplers.computeIfAbsent(spec, estimates::sampler);
            for (int i = 0; i < Math.min(count, TASKS); i++) {
                waiting.add(s);
            }
            left[0] += Math.max(0, count - TASKS);
            waitingWork[0] +=
                    Math.max(0, count - TASKS) * spec.cpus() * s.interval().p50();
        });
        JobSpec spec = job.tasks() > 0 ? job.spec(Math.max(0, job.pendingTasks.nextSetBit(0))) : job.spec;
        waitingWork[0] += job.unreleasedTasks()
                * spec.cpus()
                * samplers.computeIfAbsent(spec, estimates::sampler).interval().p50();
        List<Assignment> running = new ArrayList<>();
        for (Assignment assignment : job.assignments.values()) {
            if (assignment.mayExist()) {
                running.add(assignment);
            }
        }
        double ahead = waiting.isEmpty() ? 0 : ahead(job);
        double all = Math.max(spec.cpus(), cores + booting);
        double room = ahead / all;
        if (!waiting.isEmpty() && free < spec.cpus()) {
            room += cores > 0
                    ? estimates.interval(spec, 0).p50() / Math.max(1, cores / Math.max(0.1, spec.cpus()))
                    : bootS;
        }
        double image = waiting.isEmpty() || cached(spec) ? 0 : spec.imageGb() / fetchRate();
        int slots = (int) Math.max(1, Math.min(waiting.size(), all / Math.max(0.1, spec.cpus())));
        double[] result = new double[DRAWS];
        double ran = 0;
        for (int d = 0; d < DRAWS; d++) {
            double start = 0;
            for (String id : awaited.apply(job.spec.id())) {
                double[] other = drawn.get(id);
                start = Math.max(start, other == null ? 0 : other[d]);
            }
            PriorityQueue<Double> ends = new PriorityQueue<>();
            double last = start;
            for (Assignment assignment : running) {
                double elapsed = assignment.runningAt > 0 ? (now - assignment.runningAt) / 1000.0 : 0;
                double end = start
                        + samplers.computeIfAbsent(assignment.spec, estimates::sampler)
                                .draw(random, elapsed)
                        - elapsed
                        + (assignment.starting() ? image : 0);
                ends.add(end);
                last = Math.max(last, end);
            }
            for (int i = ends.size(); i < slots; i++) {
                ends.add(start + room + image);
            }
            for (Estimates.Sampler s : waiting) {
                double from = Math.max(start + room + image, ends.poll());
                double end = from + s.draw(random, 0);
                ends.add(end);
                last = Math.max(last, end);
            }
            last += waitingWork[0] / all;
            result[d] = last;
            ran += (last - start - room - image) / DRAWS;
        }
        drawn.put(job.spec.id(), result);
        return room > image && room > ran ? "room" : image > ran ? "image" : "running";
    }

    private boolean cached(JobSpec spec) {
        return scheduler.machines.values().stream()
                .anyMatch(m -> m.schedulable() && m.images.containsKey(spec.image()) && m.hasRoom(spec));
    }

    private double fetchRate() {
        return scheduler.machines.values().stream()
                .filter(Machine::schedulable)
                .mapToDouble(m -> m.type.fetchGbPerS())
                .average()
                .orElse(1);
    }
}
