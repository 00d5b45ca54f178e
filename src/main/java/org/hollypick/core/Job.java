package org.hollypick.core;

import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import java.util.HashSet;
import java.util.Set;
import org.hollypick.core.ledger.Placement;

/** A live job, owned by this controller. */
public final class Job {
    public enum Status { LIVE, DONE, ABORTED }

    public final JobSpec spec;
    /** Arrival order: the stamp of the job's record. */
    public final long order;
    /** The roster stamp that the record's creation was conditional on. */
    public final long under;
    public final long arrivedAt;
    public Status status = Status.LIVE;
    public long abortedAt;
    public final BitSet done = new BitSet();
    /** Progress that is durable already. */
    public BitSet committed = new BitSet();
    /** Tasks with nothing anywhere. */
    public final BitSet pending = new BitSet();
    /** Tasks that may be somewhere. */
    public final Int2ObjectOpenHashMap<Placement> live = new Int2ObjectOpenHashMap<>();
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

    public Job(JobSpec spec, long order, long under, long now) {
        this.spec = spec;
        this.order = order;
        this.under = under;
        this.arrivedAt = now;
        pending.set(0, spec.tasks());
    }

    public boolean second() {
        return spec.service() || moved;
    }

    public int running() {
        int n = 0;
        for (Placement p : live.values()) {
            if (p.state == Placement.State.RUNNING || p.state == Placement.State.SAVING) {
                n++;
            }
        }
        return n;
    }

    public int inZone(String zone) {
        int n = 0;
        for (Placement p : live.values()) {
            if (p.machine.zone.equals(zone)) {
                n++;
            }
        }
        return n;
    }

    public boolean finished() {
        return !spec.service() && done.cardinality() == spec.tasks();
    }
}
