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
 * Estimates when a job will be complete, by a Monte Carlo simulation of the job and of the jobs it depends on. Reads
 * the scheduler's state and changes nothing; the same state gives the same estimate. One instance serves one query, on
 * the event loop.
 */
public final class CompletionEstimate {
    /** Simulated outcomes per job: enough for the 10 % quantile, and few enough not to delay a busy leader. */
    private static final int SAMPLES = 48;

    /** Maximum number of simulated jobs: the job itself and its direct and indirect dependencies. */
    private static final int MAX_JOBS = 200;

    /** Lower bound of a task's cores where they are a divisor. */
    private static final double MIN_CPUS = 0.1;

    /** The phase that takes the largest part of the time until a job is complete. */
    public enum Bottleneck {
        /** Waiting for free cores. */
        CAPACITY,
        /** Fetching the container image. */
        IMAGE_FETCH,
        /** Running the tasks. */
        RUN_TIME,
        /** Waiting for jobs on which the job depends. */
        DEPENDENCIES
    }

    /**
     * The predicted time until a job is complete.
     *
     * @param interval seconds from now until the job is complete
     * @param bottleneck the phase that takes the largest part of this time
     */
    public record Answer(PredictionInterval interval, Bottleneck bottleneck) {}

    /** How many seconds a pending task waits before it runs, by cause. */
    private record StartDelay(double capacityS, double imageFetchS) {}

    /** A sum of core-seconds that a lambda can add to. */
    private static final class CoreSeconds {
        private double total;
    }

    private final Scheduler scheduler;
    private final Estimates estimates;
    private final Function<String, List<String>> incompleteDependencies;
    private final long nowMillis;
    private final ClusterCapacity capacity;
    /** Sampled seconds until completion, by job id; sample i of a job is based on sample i of its dependencies. */
    private final Map<String, double[]> completionSamples = new HashMap<>();

    /**
     * Prepares an estimate from the scheduler's present state.
     *
     * @param incompleteDependencies maps a job's id to the ids of the incomplete jobs on which it depends
     * @param nowMillis the event loop's clock
     */
    public CompletionEstimate(
            Scheduler scheduler,
            Estimates estimates,
            Function<String, List<String>> incompleteDependencies,
            long nowMillis) {
        this.scheduler = scheduler;
        this.estimates = estimates;
        this.incompleteDependencies = incompleteDependencies;
        this.nowMillis = nowMillis;
        this.capacity = ClusterCapacity.of(scheduler, nowMillis);
    }

    /** Estimates when a live job will be complete. */
    public Answer of(Job job) {
        Bottleneck bottleneck = Bottleneck.RUN_TIME;
        for (Job next : dependenciesFirst(job)) {
            bottleneck = simulate(next);
        }
        double[] samples = completionSamples.get(job.spec.id());
        Arrays.sort(samples);
        JobSpec spec = job.tasks() > 0 ? job.spec(0) : job.spec;
        PredictionInterval runTime = estimates.interval(spec, 0);
        PredictionInterval completion = new PredictionInterval(
                samples[SAMPLES / 10],
                samples[SAMPLES / 2],
                samples[SAMPLES * 9 / 10],
                runTime.runs(),
                runTime.source());
        return new Answer(completion, job.ready() ? bottleneck : Bottleneck.DEPENDENCIES);
    }

    /** The job and its dependencies in topological order; iterative, since dependency chains may be long. */
    private List<Job> dependenciesFirst(Job job) {
        LinkedHashMap<String, Job> visited = new LinkedHashMap<>();
        List<Job> stack = new ArrayList<>(List.of(job));
        List<Job> ordered = new ArrayList<>();
        while (!stack.isEmpty()) {
            Job next = stack.get(stack.size() - 1);
            boolean firstVisit = visited.putIfAbsent(next.spec.id(), next) == null;
            if (firstVisit && visited.size() < MAX_JOBS) {
                for (String id : incompleteDependencies.apply(next.spec.id())) {
                    Job dependency = scheduler.job(id);
                    if (dependency != null && !visited.containsKey(id)) {
                        stack.add(dependency);
                    }
                }
            }
            if (!firstVisit || stack.get(stack.size() - 1) == next) {
                stack.remove(stack.size() - 1);
                if (!ordered.contains(next)) {
                    ordered.add(next);
                }
            }
        }
        return ordered;
    }

    /** Samples the completion times of a job whose dependencies have been sampled, and returns its bottleneck. */
    private Bottleneck simulate(Job job) {
        RemainingWork work = new RemainingWork(job, estimates);
        double expectedCores = Math.max(work.nextSpec().cpus(), capacity.expectedCores());
        StartDelay delay = startDelay(job, work, expectedCores);
        UniformRandomProvider random = new SplitMix64(job.arrivalRevision * 31 + job.completedTasks.cardinality());
        double[] samples = new double[SAMPLES];
        double meanRunS = 0;
        for (int sample = 0; sample < SAMPLES; sample++) {
            double start = dependenciesComplete(job, sample);
            double lastEnd = lastTaskEnd(work, delay, start, expectedCores, random);
            samples[sample] = lastEnd + work.aggregatedCoreSeconds() / expectedCores;
            meanRunS += (samples[sample] - start - delay.capacityS - delay.imageFetchS) / SAMPLES;
        }
        completionSamples.put(job.spec.id(), samples);
        return bottleneck(delay, meanRunS);
    }

    private static Bottleneck bottleneck(StartDelay delay, double meanRunS) {
        if (delay.capacityS > delay.imageFetchS && delay.capacityS > meanRunS) {
            return Bottleneck.CAPACITY;
        }
        return delay.imageFetchS > meanRunS ? Bottleneck.IMAGE_FETCH : Bottleneck.RUN_TIME;
    }

    private StartDelay startDelay(Job job, RemainingWork work, double expectedCores) {
        if (work.pendingTasks().isEmpty()) {
            return new StartDelay(0, 0);
        }
        JobSpec spec = work.nextSpec();
        double capacityS = coreSecondsAhead(job) / expectedCores;
        if (capacity.freeCores() < spec.cpus()) {
            capacityS += secondsUntilCoresAreFree(spec);
        }
        double imageFetchS = isImageCached(spec) ? 0 : spec.imageGb() / meanFetchGbPerSecond();
        return new StartDelay(capacityS, imageFetchS);
    }

    private double secondsUntilCoresAreFree(JobSpec spec) {
        if (capacity.usableCores() <= 0) {
            return capacity.bootSeconds();
        }
        double parallelTasks = Math.max(1, capacity.usableCores() / Math.max(MIN_CPUS, spec.cpus()));
        return estimates.interval(spec, 0).p50() / parallelTasks;
    }

    /** Seconds until all dependencies of a job are complete, in one sample. */
    private double dependenciesComplete(Job job, int sample) {
        double latest = 0;
        for (String id : incompleteDependencies.apply(job.spec.id())) {
            double[] samples = completionSamples.get(id);
            latest = Math.max(latest, samples == null ? 0 : samples[sample]);
        }
        return latest;
    }

    /**
     * Simulates the remaining tasks once on a fixed number of slots and returns the seconds until the last one ends.
     */
    private double lastTaskEnd(
            RemainingWork work, StartDelay delay, double start, double expectedCores, UniformRandomProvider random) {
        int slots = (int) Math.max(
                1,
                Math.min(
                        work.pendingTasks().size(),
                        expectedCores / Math.max(MIN_CPUS, work.nextSpec().cpus())));
        PriorityQueue<Double> slotEnds = new PriorityQueue<>();
        double lastEnd = start;
        for (Assignment assignment : work.assignments()) {
            double end = start + remainingSeconds(assignment, work, delay, random);
            slotEnds.add(end);
            lastEnd = Math.max(lastEnd, end);
        }
        double firstStart = start + delay.capacityS + delay.imageFetchS;
        for (int i = slotEnds.size(); i < slots; i++) {
            slotEnds.add(firstStart);
        }
        for (Estimates.Sampler sampler : work.pendingTasks()) {
            double end = Math.max(firstStart, slotEnds.poll()) + sampler.draw(random, 0);
            slotEnds.add(end);
            lastEnd = Math.max(lastEnd, end);
        }
        return lastEnd;
    }

    private double remainingSeconds(
            Assignment assignment, RemainingWork work, StartDelay delay, UniformRandomProvider random) {
        double elapsedS = assignment.runningAt() > 0 ? (nowMillis - assignment.runningAt()) / 1000.0 : 0;
        double totalS = work.sampler(assignment.spec).draw(random, elapsedS);
        return totalS - elapsedS + (assignment.starting() ? delay.imageFetchS : 0);
    }

    /** Core-seconds of pending work that is scheduled before the job's own in the same Tyrex partition. */
    private double coreSecondsAhead(Job job) {
        CoreSeconds ahead = new CoreSeconds();
        for (Job other : scheduler.jobs()) {
            if (other != job && isAhead(other, job)) {
                other.forEachPendingSpec(
                        (spec, count) -> ahead.total += count * spec.cpus() * scheduler.expectedRunS(spec));
            }
        }
        return ahead.total;
    }

    private static boolean isAhead(Job other, Job job) {
        if (!other.hasPendingTasks() || other.spec.service() || other.inSecondPartition() != job.inSecondPartition()) {
            return false;
        }
        int byPriority = other.priority().compareTo(job.priority());
        return byPriority < 0
                || (byPriority == 0 && Long.compareUnsigned(other.arrivalRevision, job.arrivalRevision) < 0);
    }

    private boolean isImageCached(JobSpec spec) {
        return scheduler.machines().stream()
                .anyMatch(machine ->
                        machine.schedulable() && machine.images.containsKey(spec.image()) && machine.hasRoom(spec));
    }

    private double meanFetchGbPerSecond() {
        return scheduler.machines().stream()
                .filter(Machine::schedulable)
                .mapToDouble(machine -> machine.type.fetchGbPerS())
                .average()
                .orElse(1);
    }
}
