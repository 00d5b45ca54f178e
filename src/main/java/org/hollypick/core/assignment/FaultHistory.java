package org.hollypick.core.assignment;

import java.util.HashSet;
import java.util.Set;

/**
 * The failures of tasks on one machine, and its quarantine. Times are milliseconds of the event loop's clock. Confined
 * to the event loop.
 */
public final class FaultHistory {
    /**
     * Ids of the jobs whose tasks failed on the machine. Cleared when a task that was assigned after the last failure
     * completes there, and when a quarantine expires.
     */
    public final Set<String> failedJobs = new HashSet<>();

    private long lastFailureAt;
    private boolean quarantined;
    private long quarantinedUntil;

    FaultHistory() {}

    /** Whether the machine is quarantined: failures are attributed to it, and it gets no new tasks for a while. */
    public boolean isQuarantined() {
        return quarantined;
    }

    /** Begins the quarantine or extends it. */
    public void quarantine(long until) {
        quarantined = true;
        quarantinedUntil = until;
    }

    /** Ends the quarantine. */
    public void endQuarantine() {
        quarantined = false;
    }

    /** Whether the machine is quarantined and the quarantine has expired. */
    public boolean isQuarantineOver(long now) {
        return quarantined && now >= quarantinedUntil;
    }

    /** Records that a task of the job failed on the machine. */
    public void recordFailure(String jobId, long now) {
        lastFailureAt = now;
        failedJobs.add(jobId);
    }

    /** When a task last failed on the machine, in milliseconds; 0 if none has. */
    public long lastFailureAt() {
        return lastFailureAt;
    }
}
