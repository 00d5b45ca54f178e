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
 * Which job needs which, as far as it is durable: what may start, what never can, and how urgent each is for those that
 * need it. Every node follows the records with it. Fed in any order: a job that is awaited before it is known counts as
 * not done. Chains may be thousands of jobs long, so nothing here recurses. Not final: tests put faulty ones in its
 * place.
 */
public class JobDependencies {
    private enum Fate {
        LIVE,
        DONE,
        CANCELLED
    }

    private static final class Vertex {
        private final String id;
        private Fate fate = Fate.LIVE;
        /** Its own record was seen, so that it is known what it awaits. */
        private boolean known;
        /** How many of the jobs that it awaits aren't done. */
        private int missing;

        private List<Vertex> awaited = List.of();
        private final List<Vertex> neededBy = new ArrayList<>(0);
        /** The highest of its own and of those that need it. */
        private Priority priority = Priority.LOW;

        private Vertex(String id) {
            this.id = id;
        }
    }

    private static final Vertex DONE = ended(Fate.DONE);
    private static final Vertex CANCELLED = ended(Fate.CANCELLED);

    private final Map<String, Vertex> vertices = new HashMap<>();
    private Set<String> changed = new LinkedHashSet<>();

    private static Vertex ended(Fate fate) {
        Vertex v = new Vertex("");
        v.fate = fate;
        return v;
    }

    private Vertex vertex(String id) {
        return vertices.computeIfAbsent(id, Vertex::new);
    }

    /** The job's record is there and it isn't over. */
    public void addLive(String id, Priority priority, Collection<String> awaits) {
        Vertex job = vertex(id);
        if (job.known || job.fate != Fate.LIVE) {
            return;
        }
        job.known = true;
        job.awaited = new ArrayList<>(awaits.size());
        boolean cancelled = false;
        for (String other : awaits) {
            Vertex awaited = vertex(other);
            cancelled |= awaited.fate == Fate.CANCELLED;
            if (awaited.fate == Fate.LIVE) {
                job.awaited.add(awaited);
                job.missing++;
                awaited.neededBy.add(job);
            }
        }
        if (cancelled) {
            cancelled(id);
        } else {
            raise(job, priority);
            raiseAwaited(job);
            changed.add(id);
        }
    }

    /** It is durable that the job is done. */
    public void done(String id) {
        Vertex job = vertex(id);
        if (job.fate == Fate.LIVE) {
            end(job, DONE);
            for (Vertex v : job.neededBy) {
                if (v.fate == Fate.LIVE && --v.missing == 0) {
                    changed.add(v.id);
                }
            }
        }
    }

    /** It is durable that the job is cancelled, and with it all that needs it, directly or through others. */
    public void cancelled(String id) {
        ArrayDeque<Vertex> todo = new ArrayDeque<>();
        todo.add(vertex(id));
        while (!todo.isEmpty()) {
            Vertex job = todo.poll();
            if (job.fate == Fate.LIVE) {
                end(job, CANCELLED);
                changed.add(job.id);
                todo.addAll(job.neededBy);
            }
        }
    }

    private void end(Vertex job, Vertex as) {
        job.fate = as.fate;
        job.awaited = List.of();
        vertices.put(job.id, as);
    }

    private void raise(Vertex job, Priority priority) {
        if (priority.compareTo(job.priority) < 0) {
            job.priority = priority;
            changed.add(job.id);
        }
    }

    /** What is awaited is as urgent as what awaits it. */
    private void raiseAwaited(Vertex from) {
        ArrayDeque<Vertex> todo = new ArrayDeque<>();
        todo.add(from);
        while (!todo.isEmpty()) {
            Vertex job = todo.poll();
            for (Vertex awaited : job.awaited) {
                if (awaited.fate == Fate.LIVE && job.priority.compareTo(awaited.priority) < 0) {
                    raise(awaited, job.priority);
                    todo.add(awaited);
                }
            }
        }
    }

    /** All that the job awaits is durably done. */
    public boolean ready(String id) {
        Vertex job = vertices.get(id);
        return job != null && job.known && job.fate == Fate.LIVE && job.missing == 0;
    }

    public boolean anyCancelled(Collection<String> anyOf) {
        for (String id : anyOf) {
            if (isCancelled(id)) {
                return true;
            }
        }
        return false;
    }

    /** Durably cancelled, itself or a job that it needs: it can never be done. Once so, it stays so. */
    public boolean isCancelled(String id) {
        Vertex job = vertices.get(id);
        return job != null && job.fate == Fate.CANCELLED;
    }

    public boolean isDone(String id) {
        Vertex job = vertices.get(id);
        return job != null && job.fate == Fate.DONE;
    }

    /** The jobs that it awaits and that aren't over. */
    public List<String> awaited(String id) {
        Vertex job = vertices.get(id);
        List<String> open = new ArrayList<>();
        if (job != null) {
            for (Vertex v : job.awaited) {
                if (v.fate == Fate.LIVE) {
                    open.add(v.id);
                }
            }
        }
        return open;
    }

    /** The highest rank of the job and of the known jobs that need it. */
    public Priority priority(String id) {
        Vertex job = vertices.get(id);
        return job == null ? Priority.LOW : job.priority;
    }

    /** Whether the job needs one of those, directly or through others. */
    public boolean needsAny(String id, Set<String> those) {
        Set<Vertex> seen = new LinkedHashSet<>();
        ArrayDeque<Vertex> todo = new ArrayDeque<>();
        if (vertices.containsKey(id)) {
            todo.add(vertices.get(id));
        }
        while (!todo.isEmpty()) {
            for (Vertex awaited : todo.poll().awaited) {
                if (awaited.fate == Fate.LIVE && seen.add(awaited)) {
                    if (those.contains(awaited.id)) {
                        return true;
                    }
                    todo.add(awaited);
                }
            }
        }
        return false;
    }

    /** Jobs that became ready, were cancelled or became more urgent since the last time. */
    public Set<String> takeChanged() {
        Set<String> taken = changed;
        changed = new LinkedHashSet<>();
        return taken;
    }
}
