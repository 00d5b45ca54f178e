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

/** A slow plain model that looks through everything for each question, compared with the real graph. */
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
            Priority rank = priorities.getOrDefault(id, Priority.LOW);
            for (String other : dependencies.keySet()) {
                if (dependencies.get(other).contains(id) && priority(other).compareTo(rank) < 0) {
                    rank = priority(other);
                }
            }
            return rank;
        }

        boolean dependsOnAny(String id, Set<String> those) {
            return dependencies.getOrDefault(id, List.of()).stream()
                    .anyMatch(a -> !done.contains(a) && !cancelled(a) && (those.contains(a) || dependsOnAny(a, those)));
        }
    }

    /**
     * Diamonds, chains, cancelled middles, jobs after their ancestors' end; each record told in any order, some twice.
     */
    @Test
    void readinessCancellationAndDependenciesMatchReferenceModel() {
        for (int seed = 0; seed < 400; seed++) {
            Random random = new Random(seed);
            JobDependencies real = new JobDependencies();
            ReferenceModel plain = new ReferenceModel();
            Set<String> announced = new HashSet<>();
            List<String> ids = new ArrayList<>();
            for (int step = 0; step < 60; step++) {
                switch (random.nextInt(5)) {
                    case 0, 1, 2 -> addRandomJobs(random, real, plain, ids);
                    case 3 -> {
                        List<String> ready = ids.stream().filter(plain::ready).toList();
                        if (!ready.isEmpty()) {
                            String id = ready.get(random.nextInt(ready.size()));
                            plain.done.add(id);
                            real.markDone(id);
                        }
                    }
                    default -> {
                        List<String> live = ids.stream()
                                .filter(id -> !plain.done.contains(id))
                                .toList();
                        if (!live.isEmpty() && random.nextInt(4) == 0) {
                            String id = live.get(random.nextInt(live.size()));
                            plain.cancelled.add(id);
                            real.markCancelled(id);
                        }
                    }
                }
                announced.addAll(real.takeChangedJobs());
                for (String id : ids) {
                    assertEquals(plain.ready(id), real.ready(id), id + " seed " + seed);
                    assertEquals(plain.cancelled(id), real.isCancelled(id), id + " seed " + seed);
                    assertEquals(plain.done.contains(id), real.isDone(id), id + " seed " + seed);
                    assertTrue(
                            (!plain.ready(id) && !plain.cancelled(id)) || announced.contains(id),
                            "nobody was told of " + id);
                    if (!plain.done.contains(id) && !plain.cancelled(id)) {
                        assertTrue(real.priority(id).compareTo(plain.priorities.get(id)) <= 0);
                        Set<String> those = new HashSet<>(List.of(ids.get(random.nextInt(ids.size()))));
                        assertEquals(plain.dependsOnAny(id, those), real.dependsOnAny(id, those), id + " seed " + seed);
                    }
                }
            }
        }
    }

    private static void addRandomJobs(Random random, JobDependencies real, ReferenceModel plain, List<String> ids) {
        List<String> batch = new ArrayList<>();
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            String id = "req-" + ids.size();
            Set<String> awaits = new HashSet<>();
            for (int k = random.nextInt(4); k > 0 && !ids.isEmpty(); k--) {
                awaits.add(ids.get(Math.max(0, ids.size() - 1 - random.nextInt(8))));
            }
            ids.add(id);
            batch.add(id);
            plain.dependencies.put(id, new ArrayList<>(awaits));
            plain.priorities.put(id, Priority.values()[random.nextInt(4)]);
        }
        Collections.shuffle(batch, random); // a later job's record may be read first
        batch.forEach(id -> real.addLive(id, plain.priorities.get(id), plain.dependencies.get(id)));
        batch.forEach(id -> real.addLive(id, Priority.PRODUCTION, List.of())); // a record read again says nothing new
    }

    @Test
    void priorityIsTheHighestOfTheJobAndItsDependents() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            JobDependencies real = new JobDependencies();
            ReferenceModel plain = new ReferenceModel();
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                addRandomJobs(random, real, plain, ids);
            }
            ids.forEach(id -> assertEquals(plain.priority(id), real.priority(id), id));
        }
    }

    /** Chains are walked, not recursed into: one of thousands of jobs must not end the process. */
    @Test
    void longChainsAndManyDependentsAreProcessedWithoutRecursion() {
        JobDependencies real = new JobDependencies();
        int many = 50_000;
        real.addLive("req-0", Priority.LOW, List.of());
        for (int i = 1; i < many; i++) {
            real.addLive("req-" + i, Priority.LOW, List.of("req-" + (i - 1)));
        }
        for (int i = 0; i < many; i++) {
            real.addLive("req-9" + many + i, Priority.LOW, List.of("req-0"));
        }
        real.addLive("req-last", Priority.HIGH, List.of("req-" + (many - 1)));
        assertEquals(Priority.HIGH, real.priority("req-0"));
        assertTrue(real.dependsOnAny("req-last", Set.of("req-0")));
        assertFalse(real.ready("req-1"));
        real.markCancelled("req-0");
        assertTrue(real.isCancelled("req-last"));
        assertEquals(2 * many + 1, real.takeChangedJobs().size());
    }
}
