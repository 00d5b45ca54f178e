package org.hollypick.core.assignment;

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.hollypick.config.constants.CommandTokenConstants;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.health.HeartbeatValidity;

/**
 * The leader's view of a machine: its agent's incarnation and lease, its used resources, and all assignments that may
 * exist on it. Times are milliseconds of the event loop's clock. Confined to the event loop.
 */
public final class Machine {
    /** The cloud's id of the machine. */
    public final String id;

    private String address = "";
    public final MachineType type;
    public final String zone;
    public final boolean spot;

    /** Whether the machine's record is durable; before that, nothing may be launched on it. */
    private boolean registered;

    private boolean reconciled;
    private boolean hasOrphanedTasks;
    private boolean heartbeatReceived;
    private boolean confirmedLive;
    /** When the known incarnation ended; 0 while it lasts. No command is sent until a new incarnation is known. */
    private long incarnationExpiredAt;
    /** Whether a heartbeat request, and not only responses to direct calls, was received in the known incarnation. */
    private boolean heartbeatInIncarnation;
    /**
     * Whether the agent's heartbeats apparently reach no controller. Direct calls may reach the agent but don't renew
     * its lease, so new tasks would end when the lease expires.
     */
    private boolean awaitsHeartbeat;
    /** Whether responses and commands reach the agent. */
    public final HeartbeatValidity validity = new HeartbeatValidity();
    /** The fencing tokens of the messages to and from the agent. */
    public final AgentTokens tokens = new AgentTokens();
    /** The direct calls to the agent. */
    public final DirectCalls directCalls = new DirectCalls();
    /** Whether the agent may have restarted with its first incarnation and without a token. */
    public final RestartCheck restartCheck = new RestartCheck();
    /** Whether peers of this controller reach the machine. */
    public final PeerContact peerContact = new PeerContact();
    /** The task failures on the machine, and its quarantine. */
    public final FaultHistory faults = new FaultHistory();

    /** The known incarnation: that of the newest heartbeat or response to a direct call. */
    private long incarnation;

    private long heartbeatSequence;
    /** Heartbeats of incarnations before this one are outdated. */
    private long minIncarnation;

    private long incarnationSeenAt;
    /** When the newest acknowledged heartbeat was received; the lease can't have been renewed later. */
    private long heartbeatAcknowledgedAt;
    /**
     * When an assignment was last listed for the first time. An agent that restarts within its lease and keeps its
     * incarnation and sequence number has a new lease from the restart on, but its heartbeats look like those of an
     * empty machine. Tasks that it lists afterwards were started under the new lease, so the lease began before they
     * were listed.
     */
    private long newAssignmentListedAt;

    private long lastHeartbeatAt;
    public final long createdAt;
    private long idleSince;
    private boolean scalingIn;
    private boolean draining;

    private long noRoomUntil;
    /** Whether the machine exceeds the needed capacity: job arrays prefer other machines. */
    private boolean surplus;
    /**
     * Whether the machine is evicted now: its replicas are moved so that it can be terminated, and it gets no new
     * tasks.
     */
    private boolean evicting;
    /** Whether the machine is evicted next, after the machines that are evicted now. */
    private boolean evictedNext;
    /** Whether the machine is in the first Tyrex partition. */
    private boolean inFirstPartition;

    /** Assignments by attempt number, which is unique over all tasks. */
    public final Long2ObjectLinkedOpenHashMap<Assignment> assignments = new Long2ObjectLinkedOpenHashMap<>();

    private List<TaskStatus> reportedTasks = List.of();
    public final Object2LongOpenHashMap<String> images = new Object2LongOpenHashMap<>();

    private final ResourceUsage usage = new ResourceUsage();
    /**
     * Totals over the assignments that may exist here: the number of all, the number of those still starting, and the
     * cores of services.
     */
    private int liveAssignments;

    private int startingTasks;
    private double serviceCpus;
    private long taskListNumber;

    /** Creates a machine without assignments, which isn't registered yet. */
    public Machine(String id, MachineType type, String zone, boolean spot, long now) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.createdAt = now;
        this.idleSince = now;
    }

    /** Adds an assignment that was decided or was found in a heartbeat, and allocates its resources. */
    public void add(Assignment assignment) {
        assignments.put(assignment.attempt, assignment);
        adjustCounts(assignment, 1);
        allocate(assignment);
    }

    /** The assignment with this task id and attempt number; null if there is none. */
    public Assignment assignmentOf(String task, long attempt) {
        Assignment assignment = assignments.get(attempt);
        return assignment != null && assignment.taskId.equals(task) ? assignment : null;
    }

    void adjustCounts(Assignment assignment, int sign) {
        if (assignment.mayExist()) {
            liveAssignments += sign;
            startingTasks += assignment.starting() ? sign : 0;
            serviceCpus += assignment.spec.service() ? sign * assignment.spec.cpus() : 0;
        }
    }

    /**
     * Whether every task that may be on the machine is assigned here: the machine is reconciled without orphaned tasks.
     */
    public boolean accountedFor() {
        return reconciled && !hasOrphanedTasks;
    }

    // ---- address, registration and contact ----

    /** The address for direct calls to the agent; empty while unknown. */
    public String address() {
        return address;
    }

    /** Sets the address, as reported by the cloud. */
    public void setAddress(String address) {
        this.address = address;
    }

    /** Restores the machine from its durable record. Time without a heartbeat counts from {@code now}. */
    public void restoreFromRecord(String recordedAddress, long now) {
        address = recordedAddress;
        lastHeartbeatAt = now;
    }

    /** Whether the machine's record is durable; before that, nothing may be launched on it. */
    public boolean isRegistered() {
        return registered;
    }

    /** Records that the machine's record is durable. */
    public void markRegistered() {
        registered = true;
    }

    /** Records a heartbeat or the response to a direct call, and resets the count of unacknowledged calls. */
    public void recordContact(long now) {
        lastHeartbeatAt = now;
        directCalls.resetUnacknowledgedCalls();
    }

    /** When the last heartbeat or response to a direct call was received, in milliseconds. */
    public long lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    /** Records that a heartbeat received at {@code receivedAt} is acknowledged, which may renew the lease from then. */
    public void acknowledgeHeartbeat(long receivedAt) {
        heartbeatAcknowledgedAt = receivedAt;
    }

    /** Records that no acknowledgement of this term has reached the agent. */
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

    // ---- copies of direct calls ----

    /**
     * Whether copies of direct calls have to be fenced off by a newer token than that of the messages so far: before
     * exited attempts are cleared, and before tasks that the agent no longer lists count as gone.
     */
    public boolean needsNewerToken() {
        for (Assignment assignment : assignments.values()) {
            boolean awaitsLaunch = assignment.state() == Assignment.State.LAUNCHING && !assignment.stopRequested();
            boolean unlisted = !awaitsLaunch && !isListed(assignment);
            if (assignment.needsNewerTokenToBeCleared(tokens.sent())
                    || (unlisted && assignment.copyMayLaunchUnder(tokens.sent()))) {
                return true;
            }
        }
        return false;
    }

    // ---- scheduling and autoscaling ----

    /** Whether the machine is in the first Tyrex partition. */
    public boolean isInFirstPartition() {
        return inFirstPartition;
    }

    /** Moves the machine to the first Tyrex partition, or to the second. */
    public void setInFirstPartition(boolean first) {
        inFirstPartition = first;
    }

    /** Records that the agent refused a task for lack of resources; the machine gets no tasks before {@code until}. */
    public void recordNoRoom(long until) {
        noRoomUntil = until;
    }

    /** Whether the machine gets no tasks because its agent recently refused one for lack of resources. */
    public boolean reportedNoRoom(long now) {
        return now < noRoomUntil;
    }

    /** Whether the machine's termination was requested. */
    public boolean isScalingIn() {
        return scalingIn;
    }

    /** Records that the machine's termination is requested; it gets no new tasks. */
    public void beginScaleIn() {
        scalingIn = true;
    }

    /** Whether the machine exceeds the needed capacity: job arrays prefer other machines. */
    public boolean isSurplus() {
        return surplus;
    }

    /** Sets whether the machine exceeds the needed capacity. */
    public void setSurplus(boolean surplus) {
        this.surplus = surplus;
    }

    /**
     * Whether the machine is evicted now: its replicas are moved so that it can be terminated, and it gets no new
     * tasks.
     */
    public boolean isEvicting() {
        return evicting;
    }

    /** Whether the machine is evicted next, after the machines that are evicted now. */
    public boolean isEvictedNext() {
        return evictedNext;
    }

    /** Sets whether the machine is evicted now, or next; at most one of the arguments is true. */
    public void planEviction(boolean now, boolean next) {
        evicting = now;
        evictedNext = next;
    }

    // ---- heartbeats and incarnations ----

    /** Whether the agent reported under the current token, or no task of an earlier term can be on the machine. */
    public boolean reconciled() {
        return reconciled;
    }

    /** Records that the agent reported under the current token, or that tasks of earlier terms can't exist any more. */
    public void markReconciled() {
        reconciled = true;
    }

    /** Whether a heartbeat was received in this term. */
    public boolean heartbeatReceived() {
        return heartbeatReceived;
    }

    /**
     * Whether the agent reported the current token or responded to a direct call. A heartbeat alone may be a delayed
     * copy from a machine that no longer exists.
     */
    public boolean confirmedLive() {
        return confirmedLive;
    }

    /** Records that the agent reported the current token or responded to a direct call. */
    public void markConfirmedLive() {
        confirmedLive = true;
    }

    /** When the known incarnation ended, in milliseconds; 0 while it lasts. */
    public long incarnationExpiredAt() {
        return incarnationExpiredAt;
    }

    /** Whether the previous incarnation ended without a heartbeat request and none has been received since. */
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

    /** When the known incarnation was first reported, in milliseconds; it began before that. */
    public long incarnationSeenAt() {
        return incarnationSeenAt;
    }

    /** Whether the newest heartbeat lists a task that isn't assigned here: of a job that ended, or another attempt. */
    public boolean hasOrphanedTasks() {
        return hasOrphanedTasks;
    }

    /** Sets whether the newest heartbeat lists a task that isn't assigned to this machine. */
    public void setOrphanedTasks(boolean orphanedTasks) {
        hasOrphanedTasks = orphanedTasks;
    }

    /** The tasks that the newest heartbeat lists. */
    public List<TaskStatus> reportedTasks() {
        return reportedTasks;
    }

    /** Discards the reported tasks: none of them can be on the machine any more. */
    public void clearReportedTasks() {
        reportedTasks = List.of();
        hasOrphanedTasks = false;
    }

    /** When the machine became idle, in milliseconds; meaningless unless {@link #idle}. */
    public long idleSince() {
        return idleSince;
    }

    /** Records that the machine is idle from {@code now} on. An earlier time doesn't replace a later one. */
    public void becameIdle(long now) {
        idleSince = Math.max(idleSince, now);
    }

    // ---- draining ----

    /** Whether the cloud has announced that it will reclaim the machine. */
    public boolean draining() {
        return draining;
    }

    /** Records that the cloud has announced that it will reclaim the machine. */
    public void beginDraining() {
        draining = true;
    }

    // ---- processing of heartbeats ----

    /** Whether the heartbeat is the newest processed one or an older one. */
    public boolean hasProcessed(Heartbeat heartbeat) {
        return heartbeatReceived && !heartbeat.newerThan(incarnation, heartbeatSequence);
    }

    /**
     * Whether the heartbeat must be ignored whatever its sequence number: it is of an incarnation that has ended, or it
     * has a larger sequence number but a lower token than the newest one. An agent's token doesn't decrease while it
     * runs, so such a heartbeat was sent before the agent restarted.
     */
    public boolean isOutdated(Heartbeat heartbeat) {
        return Long.compareUnsigned(heartbeat.incarnation(), minIncarnation) < 0
                || (incarnationExpired() && Long.compareUnsigned(heartbeat.incarnation(), incarnation) <= 0)
                || (heartbeatReceived
                        && heartbeat.newerThan(incarnation, heartbeatSequence)
                        && tokens.precedesRestart(heartbeat.token()));
    }

    /**
     * Whether the heartbeat may be one of the first of an agent that has restarted without its state, rather than a
     * late copy of one of the machine's first heartbeats: a heartbeat doesn't tell these apart. A copy of an earlier
     * command may have shown the restarted agent a token.
     */
    public boolean mayHaveRestarted(Heartbeat heartbeat) {
        boolean withoutToken = heartbeat.precedesAnyToken() && tokens.hasSeenAny();
        return heartbeatReceived && (withoutToken || countsFromTheStart(heartbeat));
    }

    private boolean countsFromTheStart(Heartbeat heartbeat) {
        long sequence = heartbeat.sequence();
        long lowestKnown = sequence + FailureDetectionConstants.MIN_SEQUENCE_DROP_OF_RESTART;
        return Long.compareUnsigned(sequence, FailureDetectionConstants.MAX_FIRST_SEQUENCE) <= 0
                && Long.compareUnsigned(heartbeatSequence, lowestKnown) >= 0
                && Long.compareUnsigned(heartbeat.incarnation(), incarnation) <= 0;
    }

    /** Ends the known incarnation, when the agent reports another one; see {@link #awaitsHeartbeat}. */
    public void endIncarnation() {
        awaitsHeartbeat = !heartbeatInIncarnation;
        heartbeatInIncarnation = false;
    }

    /** Begins an incarnation, when its first heartbeat or response to a direct call is received. */
    public void beginIncarnation(long now) {
        incarnationSeenAt = now;
        incarnationExpiredAt = 0;
        if (!heartbeatReceived) {
            heartbeatReceived = true;
            idleSince = now;
        }
    }

    /**
     * Ends the known incarnation, when the response to a direct call shows that the agent has restarted without tasks.
     * Further restarts are recorded as well: the agent's lease begins with the last one.
     */
    public void expireRestartedIncarnation(long now) {
        if (!incarnationExpired()) {
            incarnationExpiredAt = now;
        }
        incarnationSeenAt = now;
        reportedTasks = List.of();
    }

    /**
     * Begins the incarnation of an agent that has restarted and counts incarnations and sequence numbers from the start
     * again. Its first heartbeat shows a token that no earlier heartbeat of the machine shows, so these are told apart
     * by their tokens, and all launches that were sent before are refused.
     */
    public void beginIncarnationAfterRestart(Heartbeat first, long now) {
        endIncarnation();
        beginIncarnation(now);
        minIncarnation = first.incarnation();
        clearHeartbeatAcknowledgement();
        validity.agentRestarted(first);
        assignments.values().forEach(Assignment::earlierLaunchesRefused);
    }

    /**
     * Whether the agent may hold a lease: the known incarnation hasn't ended, or there are assignments. An incarnation
     * may be known only from the response to a direct call; its lease began before that response was received.
     */
    public boolean mayHoldLease() {
        return (heartbeatReceived && !incarnationExpired()) || !assignments.isEmpty();
    }

    /** Ends the known incarnation, when its lease has expired; from then on only later incarnations are accepted. */
    public void expireIncarnation(long now) {
        if (heartbeatReceived) {
            incarnationExpiredAt = now;
            minIncarnation = incarnation + 1;
        }
    }

    /** Records the heartbeat as the newest one. */
    public void recordHeartbeat(Heartbeat heartbeat) {
        tokens.recordSeen(heartbeat.token());
        incarnation = heartbeat.incarnation();
        heartbeatSequence = heartbeat.sequence();
        if (!heartbeat.address().isEmpty()) {
            address = heartbeat.address();
        }
        reportedTasks = heartbeat.tasks();
    }

    /**
     * Records that the newest heartbeat was a request of the agent. An agent has one heartbeat in flight at a time, so
     * the response to the previous one was received or lost by now.
     */
    public void heartbeatRequestReceived() {
        for (Assignment assignment : assignments.values()) {
            assignment.heartbeatResponseSettled();
        }
        awaitsHeartbeat = false;
        heartbeatInIncarnation = true;
    }

    /** Begins a new list of reported tasks. {@link #unlistedAssignments} returns the assignments that it lacks. */
    public void beginTaskList() {
        taskListNumber++;
    }

    /** Records that the newest heartbeat lists the assignment. */
    public void markListed(Assignment assignment, long now) {
        if (assignment.lastListedIn == 0) {
            newAssignmentListedAt = now;
        }
        assignment.lastListedIn = taskListNumber;
    }

    /**
     * The latest time at which the agent's current lease can have been started or renewed, as far as is known: the last
     * acknowledged heartbeat, the first report of the incarnation, or the first listing of a task.
     */
    public long leaseStartedAt() {
        return Math.max(Math.max(heartbeatAcknowledgedAt, incarnationSeenAt), newAssignmentListedAt);
    }

    /** The assignments that the newest list of reported tasks doesn't contain. */
    public List<Assignment> unlistedAssignments() {
        List<Assignment> list = new ArrayList<>();
        for (Assignment assignment : assignments.values()) {
            if (!isListed(assignment)) {
                list.add(assignment);
            }
        }
        return list;
    }

    private boolean isListed(Assignment assignment) {
        return assignment.lastListedIn == taskListNumber;
    }

    /** Whether a copy of a direct call may start the attempt, which the agent doesn't list now. */
    public boolean mayBeLaunchedByCopy(Assignment assignment) {
        return !isListed(assignment) && assignment.copyMayLaunchUnder(tokens.seen());
    }

    // ---- resources ----

    /** Counts the assignment's resources as used: it is new, or its attempt was started once more after its exit. */
    public void allocate(Assignment assignment) {
        if (!assignment.holdsResources) {
            assignment.holdsResources = true;
            usage.add(assignment.spec);
        }
    }

    /**
     * Frees the assignment's resources for other tasks, since its task exited, or is killed without a grace period by a
     * command that precedes the launches of the other tasks.
     */
    public void release(Assignment assignment) {
        if (assignment.holdsResources) {
            assignment.holdsResources = false;
            usage.remove(assignment.spec);
        }
    }

    /** The cores allocated to assignments. */
    public double usedCpus() {
        return usage.cpus();
    }

    /** The GPUs allocated to assignments. */
    public double usedGpus() {
        return usage.gpus();
    }

    /** The gigabytes of memory allocated to assignments. */
    public double usedMemoryGb() {
        return usage.memoryGb();
    }

    /** Whether the free resources are enough for a task of the job. */
    public boolean hasRoom(JobSpec job) {
        return usage.leavesRoomFor(job, type);
    }

    /** Whether new tasks may be assigned to the machine. */
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
                && !evicting
                && assignments.size() - liveAssignments < CommandTokenConstants.MAX_EXITED_ATTEMPTS_PER_MACHINE;
    }

    /** Whether no assignment may exist on the machine. */
    public boolean idle() {
        return liveAssignments == 0;
    }

    /** Whether nothing can be sent to the agent: responses don't reach it, or its known incarnation has ended. */
    public boolean unreachable() {
        return validity.isUnreachableInbound() || incarnationExpired();
    }

    /** Whether the known incarnation has ended. */
    public boolean incarnationExpired() {
        return incarnationExpiredAt > 0;
    }

    /** The number of tasks that may exist here and may still be waiting for their image. */
    public int startingTasks() {
        return startingTasks;
    }

    /** The cores of the services that may exist on the machine. */
    public double serviceCpus() {
        return serviceCpus;
    }

    /** The assignments that may exist on the machine. */
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
