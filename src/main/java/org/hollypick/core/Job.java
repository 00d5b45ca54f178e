package org.hollypick.core;

import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ObjIntConsumer;
import org.hollypick.config.constants.FaultConstants;
import org.hollypick.core.assignment.Assignment;

/** A live job, owned by this controller. */
public final class Job {
    public enum Status {
        LIVE,
        DONE,
        ABORTED
    }

    public final JobSpec spec;
    /** Arrival order: the stamp of the job's record. */
    public final long order;
    /** The leader record stamp that the record's creation was conditional on. */
    public final long under;

    public Status status = Status.LIVE;
    /** All that it awaits is durably done; before that nothing of it starts, and it counts for nothing. */
    public boolean ready;
    /** Its own rank, or a higher one of a job that needs it. */
    public JobSpec.Rank rank;
    /** Its user asked to cancel it: nothing of it starts any more, whether that is durable yet or not. */
    public boolean withdrawn;

    public final BitSet done = new BitSet();
    /** Progress that is durable already. */
    public BitSet committed = new BitSet();
    /** Tasks with nothing anywhere. */
    public final BitSet pending = new BitSet();
    /** Tasks that may be somewhere. */
    public final Int2ObjectOpenHashMap<Assignment> live = new Int2ObjectOpenHashMap<>();

    private final Object2IntOpenHashMap<String> inZone = new Object2IntOpenHashMap<>();
    /** Tasks that were last reported as running or saving. */
    public int running;
    /** Attempts that ended with done and whose progress isn't durable yet. */
    public final List<Assignment> uncommitted = new ArrayList<>();

    public final Int2LongOpenHashMap notBefore = new Int2LongOpenHashMap();
    public int failures;
    /** Machines on which its tasks failed since one last succeeded; more than one speaks against the job. */
    public final Set<String> failedOn = new HashSet<>();
    /** Tyrex: moved on to the second partition. */
    public boolean moved;
    /** Tyrex: run time, in seconds, of tasks finished in the present partition. */
    public double partialSize;
    /** A write of the done state is on its way. */
    public boolean closing;
    /** Writes of an end that went out and may be, or become, true: another node may tell it before this one knows. */
    public int endsInDoubt;

    /** Null: all tasks are as {@code spec} says. */
    private final TaskSet set;

    public Job(JobSpec spec, long order, long under, boolean ready, JobSpec.Rank rank) {
        this(spec, null, order, under, ready, rank);
        pending.set(0, spec.tasks());
    }

    /** A job whose tasks aren't all alike: what of it waits is told by and by ({@link Scheduler#release}). */
    public Job(JobSpec spec, TaskSet set, long order, long under, boolean ready, JobSpec.Rank rank) {
        this.spec = spec;
        this.set = set;
        this.ready = ready;
        this.rank = rank;
        this.order = order;
        this.under = under;
    }

    /** What that task takes and where it may go. */
    public JobSpec spec(int index) {
        return set == null ? spec : set.spec(index);
    }

    public int tasks() {
        return set == null ? spec.tasks() : set.count();
    }

    /** Tasks that wait for others of the same job. */
    public int unreleased() {
        return set == null ? 0 : set.unreleased();
    }

    /** Whether its tasks may become more. */
    public boolean grows() {
        return set != null;
    }

    /** Whether its tasks differ in what they take. */
    public boolean mixed() {
        return set != null && set.mixed();
    }

    /** Whether that task may still start. */
    boolean wanted(int index) {
        return status == Status.LIVE && !withdrawn && !done.get(index) && (set == null || set.wanted(index));
    }

    /** {@code committed} holds more than before. */
    void committedMore() {
        if (set != null) {
            set.committed(committed);
        }
    }

    /** Finished, and all of its tasks were done. */
    public boolean successful() {
        return set == null || set.successful();
    }

    void errored(int index) {
        if (set != null) {
            set.errored(index);
        }
    }

    /** How many tasks of each description wait. */
    public void forEachWaiting(ObjIntConsumer<JobSpec> each) {
        if (!mixed()) {
            if (!pending.isEmpty()) {
                each.accept(spec(pending.nextSetBit(0)), pending.cardinality());
            }
            return;
        }
        Map<JobSpec, int[]> counts = new IdentityHashMap<>();
        pending.stream().forEach(i -> counts.computeIfAbsent(set.spec(i), k -> new int[1])[0]++);
        counts.forEach((spec, count) -> each.accept(spec, count[0]));
    }

    /** It starts now, or was found, on that machine. */
    public void placed(Assignment p) {
        live.put(p.index, p);
        pending.clear(p.index);
        inZone.addTo(p.machine.zone, 1);
    }

    /** That attempt can't be anywhere any more; whether the task waits again is up to the caller. */
    public boolean unplaced(Assignment p) {
        if (live.get(p.index) != p) {
            return false;
        }
        live.remove(p.index);
        inZone.addTo(p.machine.zone, -1);
        return true;
    }

    /**
     * It failed on several machines and succeeded on none since: one task at a time is enough to find out when that is
     * over.
     */
    public boolean failsEverywhere() {
        return failedOn.size() >= FaultConstants.JOB_ERRORS;
    }

    public boolean second() {
        return spec.service() || moved;
    }

    public int inZone(String zone) {
        return inZone.getInt(zone);
    }

    /** Something of it waits to be started, and may. */
    public boolean waits() {
        return status == Status.LIVE && ready && !pending.isEmpty();
    }

    public boolean finished() {
        return !spec.service() && (set == null ? done.cardinality() == spec.tasks() : set.finished(done));
    }
}
