package org.hollypick.core.assignment;

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.health.HeartbeatValidity;

/**
 * A machine, its agent's incarnation and lease as far as they are known, and everything that may be on it. Times are
 * milliseconds of the event loop's clock. Confined to the event loop.
 */
public final class Machine {
    /** The cloud's name for it. */
    public final String id;

    private String address = "";
    public final MachineType type;
    public final String zone;
    public final boolean spot;

    /** Whether its record is durable; before that, nothing may be launched on it. */
    private boolean registered;

    private boolean reconciled;
    private boolean hasOrphanedTasks;
    private boolean heartbeatReceived;
    private boolean confirmedLive;
    /** No command may go out from then on, until the next incarnation is heard of. */
    private long incarnationExpiredAt;
    /** Whether a heartbeat request, not only responses to direct calls, came in the known incarnation. */
    private boolean heartbeatInIncarnation;
    /**
     * It reaches no controller: direct commands may reach it, but don't renew its lease, with which all it is given
     * would end.
     */
    private boolean awaitsHeartbeat;
    /** Whether responses and commands reach the agent. */
    public final HeartbeatValidity validity = new HeartbeatValidity();
    /** Direct calls to its agent. */
    public final DirectCalls directCalls = new DirectCalls();
    /** Whether peers of this controller reach it. */
    public final PeerContact peerContact = new PeerContact();
    /** Failures of tasks on it, and its quarantine. */
    public final FaultHistory faults = new FaultHistory();

    private long incarnation;
    private long heartbeatSequence;
    /** The highest token that it has shown: a larger sequence number beside a lower one is an earlier incarnation's. */
    private long seenToken;
    /** Heartbeats of earlier incarnations are outdated. */
    private long minIncarnation;

    private long incarnationSeenAt;
    /** When the last heartbeat was acknowledged, in milliseconds; the lease can't have been renewed later. */
    private long heartbeatAcknowledgedAt;
    /**
     * When an assignment was last listed for the first time. An agent that begins again within its lease, its counts
     * going on, has a lease from that beginning, which no heartbeat tells apart from an empty machine; but whatever it
     * lists began there.
     */
    private long newAssignmentListedAt;

    private long lastHeartbeatAt;
    public final long createdAt;
    private long idleSince;
    private boolean scalingIn;
    private boolean draining;

    private long noRoomUntil;
    /** More than is needed: arrays go elsewhere while they can. */
    private boolean surplus;
    /** Its replicas move elsewhere, so that it can be returned; it gets nothing new. */
    private boolean evicting;
    /** Its replicas will move after those of the machines that are emptied now. */
    private boolean evictedNext;
    /** In the first Tyrex partition. */
    private boolean inFirstPartition;

    /** By attempt: those never repeat, whatever the task. */
    public final Long2ObjectLinkedOpenHashMap<Assignment> assignments = new Long2ObjectLinkedOpenHashMap<>();

    private List<TaskStatus> reportedTasks = List.of();
    public final Object2LongOpenHashMap<String> images = new Object2LongOpenHashMap<>();

    private double usedCpus;
    private double usedGpus;
    private double usedMemoryGb;
    /** Running totals over what may be there: tasks, those still without image, cores of services. */
    private int liveAssignments;

    private int starting;
    private double serviceCpus;
    private long taskLists;

    /** A machine that is known from now on, and holds nothing. */
    public Machine(String id, MachineType type, String zone, boolean spot, long now) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.createdAt = now;
        this.idleSince = now;
    }

    /** An assignment is decided, or was found in a heartbeat: it takes its resources from now on. */
    public void add(Assignment assignment) {
        assignments.put(assignment.attempt, assignment);
        adjustCounts(assignment, 1);
        assignment.holdsResources = true;
        use(assignment, 1);
    }

    /** The assignment that a command or a heartbeat names; null if there is none. */
    public Assignment assignmentOf(String task, long attempt) {
        Assignment assignment = assignments.get(attempt);
        return assignment != null && assignment.taskId.equals(task) ? assignment : null;
    }

    void adjustCounts(Assignment assignment, int sign) {
        if (assignment.mayExist()) {
            liveAssignments += sign;
            starting += assignment.starting() ? sign : 0;
            serviceCpus += assignment.spec.service() ? sign * assignment.spec.cpus() : 0;
        }
    }

    /** Nothing can be on it that isn't accounted for. */
    public boolean accountedFor() {
        return reconciled && !hasOrphanedTasks;
    }

    // ---- address, registration and contact ----

    /** The address at which its agent is called; empty while unknown. */
    public String address() {
        return address;
    }

    /** The cloud named its address. */
    public void setAddress(String address) {
        this.address = address;
    }

    /** It is known from a durable record: its silence is counted from {@code now}. */
    public void restoreFromRecord(String recordedAddress, long now) {
        address = recordedAddress;
        lastHeartbeatAt = now;
    }

    /** Whether its record is durable; before that, nothing may be launched on it. */
    public boolean isRegistered() {
        return registered;
    }

    /** Its record is durable. */
    public void markRegistered() {
        registered = true;
    }

    /** A heartbeat came, or the response to a direct call: no call counts as unacknowledged any more. */
    public void recordContact(long now) {
        lastHeartbeatAt = now;
        directCalls.resetUnacknowledgedCalls();
    }

    /** When its last heartbeat or response to a direct call came, in milliseconds. */
    public long lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    /** A heartbeat that was received at {@code receivedAt} is acknowledged: its lease may be renewed from then. */
    public void acknowledgeHeartbeat(long receivedAt) {
        heartbeatAcknowledgedAt = receivedAt;
    }

    /** No acknowledgement of this term reached it. */
    public void clearHeartbeatAcknowledgement() {
        heartbeatAcknowledgedAt = 0;
    }

    /**
     * When the newest acknowledged heartbeat was received, in milliseconds: the lease can't have been renewed later. 0
     * if none was acknowledged.
     */
    public long heartbeatAcknowledgedAt() {
        return heartbeatAcknowledgedAt;
    }

    // ---- scheduling and autoscaling ----

    /** Whether it is in the first Tyrex partition. */
    public boolean isInFirstPartition() {
        return inFirstPartition;
    }

    /** Puts it into the first Tyrex partition or the second. */
    public void setInFirstPartition(boolean first) {
        inFirstPartition = first;
    }

    /** It refused a task for want of room: it gets none before {@code until}. */
    public void recordNoRoom(long until) {
        noRoomUntil = until;
    }

    /** Whether it refused a task for want of room so lately that it gets none now. */
    public boolean reportedNoRoom(long now) {
        return now < noRoomUntil;
    }

    /** Whether its termination was requested. */
    public boolean isScalingIn() {
        return scalingIn;
    }

    /** Its termination is requested; it gets nothing new. */
    public void beginScaleIn() {
        scalingIn = true;
    }

    /** Whether it is more than is needed: arrays go elsewhere while they can. */
    public boolean isSurplus() {
        return surplus;
    }

    /** Marks it as more than is needed, or as needed. */
    public void setSurplus(boolean surplus) {
        this.surplus = surplus;
    }

    /** Whether its replicas move elsewhere, so that it can be terminated; it gets nothing new. */
    public boolean isEvicting() {
        return evicting;
    }

    /** Whether its replicas will move after those of the machines that are being evicted now. */
    public boolean isEvictedNext() {
        return evictedNext;
    }

    /** Decides whether its replicas move elsewhere now, or after those of other machines; not both. */
    public void planEviction(boolean now, boolean next) {
        evicting = now;
        evictedNext = next;
    }

    // ---- heartbeats and incarnations ----

    /** Whether it was reconciled under the current token, or nothing of earlier terms can be on it. */
    public boolean reconciled() {
        return reconciled;
    }

    /** It reported under the current token, or nothing of earlier terms can be on it any more. */
    public void markReconciled() {
        reconciled = true;
    }

    /** Whether a heartbeat was received in this term. */
    public boolean heartbeatReceived() {
        return heartbeatReceived;
    }

    /** Whether it showed the current token or answered a call: a heartbeat alone may be a delayed copy. */
    public boolean confirmedLive() {
        return confirmedLive;
    }

    /** It showed the current token, or answered a call. */
    public void markConfirmedLive() {
        confirmedLive = true;
    }

    /** Since when the known incarnation is over, in milliseconds; 0 while it isn't. */
    public long incarnationExpiredAt() {
        return incarnationExpiredAt;
    }

    /** Whether its last incarnation ended without a heartbeat, and none came since. */
    public boolean awaitsHeartbeat() {
        return awaitsHeartbeat;
    }

    /** The agent's known incarnation. */
    public long incarnation() {
        return incarnation;
    }

    /** The sequence number of the newest heartbeat. */
    public long heartbeatSequence() {
        return heartbeatSequence;
    }

    /** When the known incarnation was first heard of, in milliseconds; it began before that. */
    public long incarnationSeenAt() {
        return incarnationSeenAt;
    }

    /** Whether it reported a task that isn't assigned to it: of a job that ended, or a second attempt. */
    public boolean hasOrphanedTasks() {
        return hasOrphanedTasks;
    }

    /** Whether the newest heartbeat lists a task that isn't assigned to it. */
    public void setOrphanedTasks(boolean orphanedTasks) {
        hasOrphanedTasks = orphanedTasks;
    }

    /** The tasks that the newest heartbeat lists. */
    public List<TaskStatus> reportedTasks() {
        return reportedTasks;
    }

    /** Nothing that was reported can be on it any more. */
    public void clearReportedTasks() {
        reportedTasks = List.of();
        hasOrphanedTasks = false;
    }

    /** Since when it holds nothing, in milliseconds; meaningless unless {@link #idle}. */
    public long idleSince() {
        return idleSince;
    }

    /** It holds nothing from now on, if it didn't before. */
    public void becameIdle(long now) {
        idleSince = Math.max(idleSince, now);
    }

    // ---- draining ----

    /** Whether the cloud announced that it takes the machine. */
    public boolean draining() {
        return draining;
    }

    /** The cloud announced that it takes the machine. */
    public void beginDraining() {
        draining = true;
    }

    /** Whether the heartbeat is a duplicate of the newest one that was processed, or older. */
    public boolean hasProcessed(Heartbeat heartbeat) {
        return heartbeatReceived && !heartbeat.newerThan(incarnation, heartbeatSequence);
    }

    /**
     * Whether a heartbeat says nothing whatever its sequence number: of an incarnation that is over, or with a larger
     * sequence number and a lower token than the machine has shown. An agent's token never falls, so such a heartbeat
     * was written by an earlier incarnation.
     */
    public boolean isOutdated(Heartbeat heartbeat) {
        return Long.compareUnsigned(heartbeat.incarnation(), minIncarnation) < 0
                || (incarnationExpired() && Long.compareUnsigned(heartbeat.incarnation(), incarnation) <= 0)
                || (heartbeatReceived
                        && heartbeat.newerThan(incarnation, heartbeatSequence)
                        && Long.compareUnsigned(heartbeat.token(), seenToken) < 0);
    }

    /** The known incarnation is over since the agent reports another one; see {@link #awaitsHeartbeat}. */
    public void endIncarnation() {
        awaitsHeartbeat = !heartbeatInIncarnation;
        heartbeatInIncarnation = false;
    }

    /** The agent's first heartbeat, or its first one of another incarnation, was received. */
    public void beginIncarnation(long now) {
        incarnationSeenAt = now;
        incarnationExpiredAt = 0;
        if (!heartbeatReceived) {
            heartbeatReceived = true;
            idleSince = now;
        }
    }

    /** The agent restarted without tasks, as a direct call shows; the incarnation that it is known by is over. */
    public void expireRestartedIncarnation(long now) {
        incarnationExpiredAt = now;
        incarnationSeenAt = now;
        reportedTasks = List.of();
    }

    /**
     * Whether a lease may be running: a heartbeat came in the known incarnation, or a task may be there. An incarnation
     * may also be known from the response to a direct call alone: its lease began before that response came.
     */
    public boolean mayHoldLease() {
        return (heartbeatReceived && !incarnationExpired()) || !assignments.isEmpty();
    }

    /** The lease of the known incarnation has expired; only heartbeats of a later incarnation count from now on. */
    public void expireIncarnation(long now) {
        if (heartbeatReceived) {
            incarnationExpiredAt = now;
            minIncarnation = incarnation + 1;
        }
    }

    /** The heartbeat is the newest one from now on. */
    public void recordHeartbeat(Heartbeat heartbeat) {
        seenToken = heartbeat.token();
        incarnation = heartbeat.incarnation();
        heartbeatSequence = heartbeat.sequence();
        if (!heartbeat.address().isEmpty()) {
            address = heartbeat.address();
        }
        reportedTasks = heartbeat.tasks();
    }

    /**
     * The newest heartbeat came as a request of the agent. An agent has one in flight, so the response to the one
     * before was taken or lost by now.
     */
    public void heartbeatRequestReceived() {
        for (Assignment assignment : assignments.values()) {
            assignment.heartbeatResponseSettled();
        }
        awaitsHeartbeat = false;
        heartbeatInIncarnation = true;
    }

    /** A new list of reported tasks begins: {@link #unlistedAssignments} tells which assignments it doesn't hold. */
    public void beginTaskList() {
        taskLists++;
    }

    /** The newest heartbeat lists the assignment. */
    public void markListed(Assignment assignment, long now) {
        if (assignment.lastListedIn == 0) {
            newAssignmentListedAt = now;
        }
        assignment.lastListedIn = taskLists;
    }

    /**
     * From when the lease of the agent's present life counts at the latest: whatever is known to be there was renewed,
     * first heard of or begun by then.
     */
    public long leaseStartedAt() {
        return Math.max(Math.max(heartbeatAcknowledgedAt, incarnationSeenAt), newAssignmentListedAt);
    }

    /** The assignments that the newest list of reported tasks does not hold. */
    public List<Assignment> unlistedAssignments() {
        List<Assignment> list = new ArrayList<>();
        for (Assignment assignment : assignments.values()) {
            if (assignment.lastListedIn != taskLists) {
                list.add(assignment);
            }
        }
        return list;
    }

    /** Its room may be used by others: it exited, or is killed at once by a command ahead of theirs. */
    public void release(Assignment assignment) {
        if (assignment.holdsResources) {
            assignment.holdsResources = false;
            use(assignment, -1);
        }
    }

    private void use(Assignment assignment, int sign) {
        usedCpus += sign * assignment.spec.cpus();
        usedGpus += sign * assignment.spec.gpus();
        usedMemoryGb += sign * assignment.spec.memoryGb();
    }

    /** Cores that its assignments take. */
    public double usedCpus() {
        return usedCpus;
    }

    /** GPUs that its assignments take. */
    public double usedGpus() {
        return usedGpus;
    }

    /** Gigabytes of memory that its assignments take. */
    public double usedMemoryGb() {
        return usedMemoryGb;
    }

    /** Whether a task of the job fits beside what its assignments take. */
    public boolean hasRoom(JobSpec job) {
        double slack = 1e-6; // sums of decimal amounts
        return usedCpus + job.cpus() <= type.cpus() + slack
                && usedGpus + job.gpus() <= type.gpus() + slack
                && usedMemoryGb + job.memoryGb() <= type.memoryGb() + slack;
    }

    /** Whether it may be given new tasks. */
    public boolean schedulable() {
        return registered
                && reconciled
                && heartbeatReceived
                && confirmedLive
                && !incarnationExpired()
                && !awaitsHeartbeat
                && !validity.isUnreachableInbound()
                && !draining
                && !scalingIn
                && !faults.isQuarantined()
                && !evicting;
    }

    /** Whether no assignment may exist on it. */
    public boolean idle() {
        return liveAssignments == 0;
    }

    /** Whether nothing can be sent to its agent: no response reaches it, or its incarnation expired. */
    public boolean unreachable() {
        return validity.isUnreachableInbound() || incarnationExpired();
    }

    /** Whether the known incarnation is over. */
    public boolean incarnationExpired() {
        return incarnationExpiredAt > 0;
    }

    /** Tasks that may be there but wait for their image. */
    public int startingTasks() {
        return starting;
    }

    /** Cores that services take on it. */
    public double serviceCpus() {
        return serviceCpus;
    }

    /** The assignments that may exist on it. */
    public List<Assignment> liveAssignments() {
        List<Assignment> list = new ArrayList<>();
        for (Assignment assignment : assignments.values()) {
            if (assignment.mayExist()) {
                list.add(assignment);
            }
        }
        return list;
    }
}
