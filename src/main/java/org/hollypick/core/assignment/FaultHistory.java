package org.hollypick.core.assignment;

import java.util.HashSet;
import java.util.Set;

/**
 * The failures of tasks on one machine, and its quarantine. Times are milliseconds of the event loop's clock. Confined
 * to the event loop.
 */
public final class FaultHistory {
    /** The jobs whose tasks failed on the machine since one last succeeded there. */
    public final Set<String> failedJobs = new HashSet<>();

    private long lastFailureAt;
    private boolean quarantined;
    private long quarantinedUntil;

    FaultHistory() {}

    /** Whether it is quarantined: its failures are the machine's own, and it gets no new tasks for a while. */
    public boolean isQuarantined() {
        return quarantined;
    }

    /** Begins the quarantine, or prolongs it. */
    public void quarantine(long until) {
        quarantined = true;
        quarantinedUntil = until;
    }

    /** Ends the quarantine. */
    public void endQuarantine() {
        quarantined = false;
    }

    /** Whether it is quarantined, and has been for long enough. */
    public boolean isQuarantineOver(long now) {
        return quarantined && now >= quarantinedUntil;
    }

    /** A task of the job failed on it. */
    public void recordFailure(String jobId, long now) {
        lastFailureAt = now;
        failedJobs.add(jobId);
    }

    /** When a task last failed on it, in milliseconds. */
    public long lastFailureAt() {
        return lastFailureAt;
    }
}
