package org.hollypick.core.assignment;

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.health.HeartbeatValidity;

/** A machine and everything that may be on it. */
public final class Machine {
    public final String id;
    public String addr = "";
    public final MachineType type;
    public final String zone;
    public final boolean spot;

    /** Durably recorded; before that nothing may be launched here. */
    public boolean registered;
    /** It has reported under the current token, or nothing older can be on it. */
    public boolean heard;
    /**
     * It reported a task that isn't accounted for: of a job that is over, or a second attempt. It is told to end that.
     */
    public boolean strays;
    /** Its worker has reported at least once in this term. */
    public boolean up;
    /**
     * It has seen this term's token, or answered a question: a report alone may be a late copy of a machine that is
     * gone.
     */
    public boolean proved;
    /**
     * Since when the session that is known of is over; nothing may be told to it until the next one is heard of. 0: it
     * isn't.
     */
    public long lapsedAt;
    /** Whether a report, not only answers to direct commands, came in the session that is known. */
    public boolean reportedInSession;
    /**
     * Its last session ended without any report, and none came since: it reaches no controller. Direct commands may
     * reach it, but don't renew its lease: what it is given would end with that.
     */
    public boolean needsReport;
    /** Whether what it is told reaches it. */
    public final HeartbeatValidity validity = new HeartbeatValidity();

    public long session;
    public long tick;
    /** The highest token that it has shown: larger counts beside a lower one are an earlier life's. */
    public long seenToken;
    /** Reports of older sessions tell nothing any more. */
    public long minSession;
    /** When this session was first heard of; it began before that. */
    public long sessionSince;
    /** When the last report was answered with 200; its lease can't have been renewed later. */
    public long answeredAt;
    /**
     * When a placement was last listed for the first time. A worker that begins again within its lease, its counts
     * going on, has a lease from that beginning, which no report tells apart from an empty machine; but whatever it
     * lists began there.
     */
    private long newPlacementListedAt;

    public long lastReportAt;
    public long createdAt;
    public long idleSince;
    public boolean returning;
    /** Gets no new tasks: on notice, faulty, or chosen to be returned. */
    public boolean draining;

    public boolean faulty;
    public long faultyUntil;
    public long noRoomUntil;
    /** Direct calls left unanswered since its last word. */
    public int unanswered;
    /**
     * When another controller last reached it while this one didn't, since when without a break, and when that was last
     * asked.
     */
    public long elsewhereAt;

    public long elsewhereSince;
    public long elsewhereAskedAt;
    /** When another controller last tried it in vain. */
    public long elsewhereFailedAt;
    /** More than is needed: arrays go elsewhere while they can. */
    public boolean surplus;
    /** Its replicas move elsewhere, so that it can be returned; it gets nothing new. */
    public boolean emptying;
    /** Its replicas will move after those of the machines that are emptied now. */
    public boolean emptiedNext;
    /** In the first Tyrex partition. */
    public boolean first;

    public boolean directBusy;
    /** No direct call before this time; the last one was left unanswered. */
    public long directAfter;
    /** By attempt: those never repeat, whatever the task. */
    public final Long2ObjectLinkedOpenHashMap<Assignment> placements = new Long2ObjectLinkedOpenHashMap<>();

    public List<TaskStatus> reported = List.of();
    public final Object2LongOpenHashMap<String> images = new Object2LongOpenHashMap<>();
    public final Set<String> failedJobs = new HashSet<>();
    /** When a task last failed on it. */
    public long failedAt;

    public double usedCpus;
    public double usedGpus;
    public double usedMemory;
    /** Running totals over what may be there: tasks, those still without image, cores of services. */
    private int there;

    private int starting;
    private double serviceCpus;
    private long reports;

    public Machine(String id, MachineType type, String zone, boolean spot, long now) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.createdAt = now;
        this.idleSince = now;
    }

    public void add(Assignment p) {
        placements.put(p.attempt, p);
        count(p, 1);
        p.usesRoom = true;
        use(p, 1);
    }

    /** The placement that an order or a report names; null if there is none. */
    public Assignment at(String task, long attempt) {
        Assignment p = placements.get(attempt);
        return p != null && p.taskId.equals(task) ? p : null;
    }

    void count(Assignment p, int sign) {
        if (p.there()) {
            there += sign;
            starting += p.starting() ? sign : 0;
            serviceCpus += p.spec.service() ? sign * p.spec.cpus() : 0;
        }
    }

    /** Nothing can be on it that isn't accounted for. */
    public boolean known() {
        return heard && !strays;
    }

    /** A new report begins: what it doesn't list is told by {@link #unlisted}. */
    public void beginReport() {
        reports++;
    }

    /** The present report lists the placement. */
    public void listed(Assignment p, long now) {
        if (p.listedIn == 0) {
            newPlacementListedAt = now;
        }
        p.listedIn = reports;
    }

    /**
     * From when the lease of the worker's present life counts at the latest: whatever is known to be there was renewed,
     * first heard of or begun by then.
     */
    public long leaseFrom() {
        return Math.max(Math.max(answeredAt, sessionSince), newPlacementListedAt);
    }

    public List<Assignment> unlisted() {
        List<Assignment> list = new ArrayList<>();
        for (Assignment p : placements.values()) {
            if (p.listedIn != reports) {
                list.add(p);
            }
        }
        return list;
    }

    /** Its room may be used by others: it exited, or is killed at once by an order ahead of theirs. */
    public void release(Assignment p) {
        if (p.usesRoom) {
            p.usesRoom = false;
            use(p, -1);
        }
    }

    private void use(Assignment p, int sign) {
        usedCpus += sign * p.spec.cpus();
        usedGpus += sign * p.spec.gpus();
        usedMemory += sign * p.spec.memory();
    }

    public boolean hasRoom(JobSpec job) {
        double slack = 1e-6; // sums of decimal amounts
        return usedCpus + job.cpus() <= type.cpus() + slack
                && usedGpus + job.gpus() <= type.gpus() + slack
                && usedMemory + job.memory() <= type.memory() + slack;
    }

    public boolean usable() {
        return registered
                && heard
                && up
                && proved
                && !lapsed()
                && !needsReport
                && !validity.unreachableInbound()
                && !draining
                && !returning
                && !faulty
                && !emptying;
    }

    public boolean idle() {
        return there == 0;
    }

    /** It can't be given anything, and may never be again: deaf, or begun again under a session that is over. */
    public boolean useless() {
        return validity.unreachableInbound() || lapsed();
    }

    public boolean lapsed() {
        return lapsedAt > 0;
    }

    /** Tasks that may be there but wait for their image. */
    public int startingTasks() {
        return starting;
    }

    public double serviceCpus() {
        return serviceCpus;
    }

    public List<Assignment> there() {
        List<Assignment> list = new ArrayList<>();
        for (Assignment p : placements.values()) {
            if (p.there()) {
                list.add(p);
            }
        }
        return list;
    }
}
