package org.hollypick.core;

import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import java.util.ArrayList;
import java.util.List;

/**
 * The attempts that agents list as live although this leader has no reason to expect them there, each of which is
 * counted and reported once per term. Confined to the event loop.
 */
public final class UnexplainedAttempts {
    /** Why an attempt isn't expected. */
    public enum Kind {
        /** The agent had listed the attempt as exited before. */
        REAPPEARED,
        /** No assignment refers to the attempt: its job has ended, or its task has a newer attempt. */
        NOT_ASSIGNED
    }

    /** An attempt that an agent lists as live. */
    public record Sighting(Kind kind, String machine, String task, long attempt) {}

    private final LongOpenHashSet known = new LongOpenHashSet();
    private final List<Sighting> unreported = new ArrayList<>();
    private int reappeared;
    private int notAssigned;

    UnexplainedAttempts() {}

    void add(Kind kind, String machine, String task, long attempt) {
        if (!known.add(attempt)) {
            return;
        }
        unreported.add(new Sighting(kind, machine, task, attempt));
        if (kind == Kind.REAPPEARED) {
            reappeared++;
        } else {
            notAssigned++;
        }
    }

    /** Removes and returns the sightings since the last call, for the log. */
    public List<Sighting> takeUnreported() {
        if (unreported.isEmpty()) {
            return List.of();
        }
        List<Sighting> taken = List.copyOf(unreported);
        unreported.clear();
        return taken;
    }

    /** The number of attempts in this term that ran again after they had exited. */
    public int reappeared() {
        return reappeared;
    }

    /** The number of attempts in this term that no assignment referred to. */
    public int notAssigned() {
        return notAssigned;
    }
}
