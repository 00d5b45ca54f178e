package org.hollypick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.hollypick.core.JobSpec.Priority;
import org.junit.jupiter.api.Test;

/** Compares the dependency graph with a simple reference model that searches all jobs for each query. */
class JobDependenciesTest {
    private static final class ReferenceModel {
        final Map<String, List<String>> dependencies = new TreeMap<>();
        final Map<String, Priority> priorities = new HashMap<>();
        final Set<String> done = new HashSet<>();
        final Set<String> cancelled = new HashSet<>();

        boolean cancelled(String id) {
            return cancelled.contains(id)
                    || (!done.contains(id)
                            && dependencies.getOrDefault(id, List.of()).stream().anyMatch(this::cancelled));
        }

        boolean ready(String id) {
            return dependencies.containsKey(id)
                    && !done.contains(id)
                    && !cancelled(id)
                    && done.containsAll(dependencies.get(id));
        }

        Priority priority(String id) {
            Priority highest = priorities.getOrDefault(id, Priority.LOW);
            for (String other : dependencies.keySet()) {
                if (dependencies.get(other).contains(id) && priority(other).compareTo(highest) < 0) {
                    highest = priority(other);
                }
            }
            return highest;
        }

        boolean dependsOnAny(String id, Set<String> ids) {
            return dependencies.getOrDefault(id, List.of()).stream()
                    .anyMatch(dependency -> !done.contains(dependency)
                            && !cancelled(dependency)
                            && (ids.contains(dependency) || dependsOnAny(dependency, ids)));
        }
    }

    /**
     * Covers diamonds, chains, cancellations within them, and jobs that are added after their dependencies ended.
     * Records arrive in any order and more than once.
     */
    @Test
    void readinessCancellationAndDependenciesMatchReferenceModel() {
        for (int seed = 0; seed < 400; seed++) {
            Random random = new Random(seed);
            JobDependencies graph = new JobDependencies();
            ReferenceModel model = new ReferenceModel();
            Set<String> announced = new HashSet<>();
            List<String> ids = new ArrayList<>();
            for (int step = 0; step < 60; step++) {
                switch (random.nextInt(5)) {
                    case 0, 1, 2 -> addRandomJobs(random, graph, model, ids);
                    case 3 -> {
                        List<String> ready = ids.stream().filter(model::ready).toList();
                        if (!ready.isEmpty()) {
                            String id = ready.get(random.nextInt(ready.size()));
                            model.done.add(id);
                            graph.markDone(id);
                        }
                    }
                    default -> {
                        List<String> live = ids.stream()
                                .filter(id -> !model.done.contains(id))
                                .toList();
                        if (!live.isEmpty() && random.nextInt(4) == 0) {
                            String id = live.get(random.nextInt(live.size()));
                            model.cancelled.add(id);
                            graph.markCancelled(id);
                        }
                    }
                }
                announced.addAll(graph.takeChangedJobs());
                for (String id : ids) {
                    assertEquals(model.ready(id), graph.ready(id), id + " seed " + seed);
                    assertEquals(model.cancelled(id), graph.isCancelled(id), id + " seed " + seed);
                    assertEquals(model.done.contains(id), graph.isDone(id), id + " seed " + seed);
                    assertTrue(
                            (!model.ready(id) && !model.cancelled(id)) || announced.contains(id),
                            "not returned as changed: " + id);
                    if (!model.done.contains(id) && !model.cancelled(id)) {
                        assertTrue(graph.priority(id).compareTo(model.priorities.get(id)) <= 0);
                        Set<String> candidates = new HashSet<>(List.of(ids.get(random.nextInt(ids.size()))));
                        assertEquals(
                                model.dependsOnAny(id, candidates),
                                graph.dependsOnAny(id, candidates),
                                id + " seed " + seed);
                    }
                }
            }
        }
    }

    private static void addRandomJobs(Random random, JobDependencies graph, ReferenceModel model, List<String> ids) {
        List<String> batch = new ArrayList<>();
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            String id = "req-" + ids.size();
            Set<String> dependencies = new HashSet<>();
            for (int j = random.nextInt(4); j > 0 && !ids.isEmpty(); j--) {
                dependencies.add(ids.get(Math.max(0, ids.size() - 1 - random.nextInt(8))));
            }
            ids.add(id);
            batch.add(id);
            model.dependencies.put(id, new ArrayList<>(dependencies));
            model.priorities.put(id, Priority.values()[random.nextInt(4)]);
        }
        Collections.shuffle(batch, random); // a later job's record may be read first
        batch.forEach(id -> graph.addLive(id, model.priorities.get(id), model.dependencies.get(id)));
        // a record that is read again changes nothing
        batch.forEach(id -> graph.addLive(id, Priority.PRODUCTION, List.of()));
    }

    @Test
    void priorityIsTheHighestOfTheJobAndItsDependents() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            JobDependencies graph = new JobDependencies();
            ReferenceModel model = new ReferenceModel();
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                addRandomJobs(random, graph, model, ids);
            }
            ids.forEach(id -> assertEquals(model.priority(id), graph.priority(id), id));
        }
    }

    /** Recursion over a chain of thousands of jobs would overflow the stack and end the process. */
    @Test
    void longChainsAndManyDependentsAreProcessedWithoutRecursion() {
        JobDependencies graph = new JobDependencies();
        int many = 50_000;
        graph.addLive("req-0", Priority.LOW, List.of());
        for (int i = 1; i < many; i++) {
            graph.addLive("req-" + i, Priority.LOW, List.of("req-" + (i - 1)));
        }
        for (int i = 0; i < many; i++) {
            graph.addLive("req-9" + many + i, Priority.LOW, List.of("req-0"));
        }
        graph.addLive("req-last", Priority.HIGH, List.of("req-" + (many - 1)));
        assertEquals(Priority.HIGH, graph.priority("req-0"));
        assertTrue(graph.dependsOnAny("req-last", Set.of("req-0")));
        assertFalse(graph.ready("req-1"));
        graph.markCancelled("req-0");
        assertTrue(graph.isCancelled("req-last"));
        assertEquals(2 * many + 1, graph.takeChangedJobs().size());
    }
}
