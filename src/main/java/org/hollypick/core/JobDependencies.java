package org.hollypick.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.core.JobSpec.Priority;

/**
 * The dependency graph of the jobs, from their durable records: which jobs may start, which are cancelled with a
 * dependency, and which priority each inherits from the jobs that depend on it. Every controller keeps one up to date
 * with its replica of the key-value store. Records may arrive in any order: a dependency whose record is unknown counts
 * as not completed. Chains may be thousands of jobs long, so the graph is traversed with a queue instead of recursion.
 * Not final, so that tests can override methods with faulty ones. Confined to the event loop.
 */
public class JobDependencies {
    private enum State {
        LIVE,
        COMPLETED,
        CANCELLED
    }

    private static final class Vertex {
        private final String id;
        private State state = State.LIVE;
        /** Whether the job's own record was seen; only then are its dependencies known. */
        private boolean recordSeen;
        /** The number of the job's dependencies that aren't completed. */
        private int incompleteDependencies;

        private List<Vertex> dependencies = List.of();
        private final List<Vertex> dependents = new ArrayList<>(0);
        /** The highest of the job's own priority and those of its dependents. */
        private Priority priority = Priority.LOW;

        private Vertex(String id) {
            this.id = id;
        }

        private boolean isLive() {
            return state == State.LIVE;
        }
    }

    /** The vertices that all completed and all cancelled jobs share: only the state of a terminal job is kept. */
    private static final Vertex COMPLETED = terminalVertex(State.COMPLETED);

    private static final Vertex CANCELLED = terminalVertex(State.CANCELLED);

    private final Map<String, Vertex> vertices = new HashMap<>();
    private Set<String> changedJobs = new LinkedHashSet<>();

    private static Vertex terminalVertex(State state) {
        Vertex vertex = new Vertex("");
        vertex.state = state;
        return vertex;
    }

    private Vertex vertex(String id) {
        return vertices.computeIfAbsent(id, Vertex::new);
    }

    // ---- changes of the records ----

    /**
     * Adds a job whose record is live.
     *
     * @param dependencyIds the jobs that have to complete before it starts
     */
    public void addLive(String id, Priority priority, Collection<String> dependencyIds) {
        Vertex job = vertex(id);
        if (job.recordSeen || !job.isLive()) {
            return;
        }
        job.recordSeen = true;
        job.dependencies = new ArrayList<>(dependencyIds.size());
        boolean dependencyCancelled = false;
        for (String dependencyId : dependencyIds) {
            Vertex dependency = vertex(dependencyId);
            dependencyCancelled |= dependency.state == State.CANCELLED;
            if (dependency.isLive()) {
                addDependency(job, dependency);
            }
        }
        if (dependencyCancelled) {
            markCancelled(id);
        } else {
            raisePriority(job, priority);
            raisePriorityOfDependencies(job);
            changedJobs.add(id);
        }
    }

    private static void addDependency(Vertex job, Vertex dependency) {
        job.dependencies.add(dependency);
        job.incompleteDependencies++;
        dependency.dependents.add(job);
    }

    /** Records that the job's completion is durable. */
    public void markDone(String id) {
        Vertex job = vertex(id);
        if (!job.isLive()) {
            return;
        }
        terminate(job, COMPLETED);
        for (Vertex dependent : job.dependents) {
            if (dependent.isLive()) {
                dependencyCompleted(dependent);
            }
        }
    }

    private void dependencyCompleted(Vertex job) {
        job.incompleteDependencies--;
        if (job.incompleteDependencies == 0) {
            changedJobs.add(job.id);
        }
    }

    /**
     * Records that the cancellation of the job, and of all jobs that depend on it directly or indirectly, is durable.
     */
    public void markCancelled(String id) {
        ArrayDeque<Vertex> queue = new ArrayDeque<>();
        queue.add(vertex(id));
        while (!queue.isEmpty()) {
            Vertex job = queue.poll();
            if (job.isLive()) {
                terminate(job, CANCELLED);
                changedJobs.add(job.id);
                queue.addAll(job.dependents);
            }
        }
    }

    private void terminate(Vertex job, Vertex terminalVertex) {
        job.state = terminalVertex.state;
        job.dependencies = List.of();
        vertices.put(job.id, terminalVertex);
    }

    private void raisePriority(Vertex job, Priority priority) {
        if (priority.compareTo(job.priority) < 0) {
            job.priority = priority;
            changedJobs.add(job.id);
        }
    }

    /** Gives all direct and indirect dependencies of the job at least its priority. */
    private void raisePriorityOfDependencies(Vertex start) {
        ArrayDeque<Vertex> queue = new ArrayDeque<>();
        queue.add(start);
        while (!queue.isEmpty()) {
            Vertex job = queue.poll();
            for (Vertex dependency : job.dependencies) {
                if (dependency.isLive() && job.priority.compareTo(dependency.priority) < 0) {
                    raisePriority(dependency, job.priority);
                    queue.add(dependency);
                }
            }
        }
    }

    // ---- queries ----

    /** Whether the job is live and all its dependencies are durably completed. */
    public boolean ready(String id) {
        Vertex job = vertices.get(id);
        return job != null && job.recordSeen && job.isLive() && job.incompleteDependencies == 0;
    }

    /** Whether one of the jobs is durably cancelled. */
    public boolean anyCancelled(Collection<String> ids) {
        for (String id : ids) {
            if (isCancelled(id)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the job, or one that it depends on, is durably cancelled, so that it never completes. This is final. */
    public boolean isCancelled(String id) {
        Vertex job = vertices.get(id);
        return job != null && job.state == State.CANCELLED;
    }

    /** Whether the job is durably completed. This is final. */
    public boolean isDone(String id) {
        Vertex job = vertices.get(id);
        return job != null && job.state == State.COMPLETED;
    }

    /** The job's direct dependencies that are live. */
    public List<String> liveDependencies(String id) {
        Vertex job = vertices.get(id);
        List<String> liveDependencies = new ArrayList<>();
        if (job != null) {
            for (Vertex dependency : job.dependencies) {
                if (dependency.isLive()) {
                    liveDependencies.add(dependency.id);
                }
            }
        }
        return liveDependencies;
    }

    /** The highest priority of the job and of the known jobs that depend on it, directly or indirectly. */
    public Priority priority(String id) {
        Vertex job = vertices.get(id);
        return job == null ? Priority.LOW : job.priority;
    }

    /** Whether the job depends on one of {@code ids}, directly or indirectly. */
    public boolean dependsOnAny(String id, Set<String> ids) {
        Set<Vertex> visited = new LinkedHashSet<>();
        ArrayDeque<Vertex> queue = new ArrayDeque<>();
        if (vertices.containsKey(id)) {
            queue.add(vertices.get(id));
        }
        while (!queue.isEmpty()) {
            for (Vertex dependency : queue.poll().dependencies) {
                if (dependency.isLive() && visited.add(dependency)) {
                    if (ids.contains(dependency.id)) {
                        return true;
                    }
                    queue.add(dependency);
                }
            }
        }
        return false;
    }

    /** Returns the jobs that were added, became ready or cancelled, or whose priority rose since the last call. */
    public Set<String> takeChangedJobs() {
        Set<String> taken = changedJobs;
        changedJobs = new LinkedHashSet<>();
        return taken;
    }
}
