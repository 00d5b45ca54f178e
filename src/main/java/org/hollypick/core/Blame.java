package org.hollypick.core;

import java.util.Map;
import org.hollypick.config.Constants;
import org.hollypick.core.ledger.Machine;

/** Whose fault a task's failure is, the machine's or the job's, and how long either is left alone. */
final class Blame {
    private final Map<String, Job> jobs;

    Blame(Map<String, Job> jobs) {
        this.jobs = jobs;
    }

    /** A task ended without being done. */
    void ended(Machine m, Job job, int index, String why, long now) {
        switch (why) {
            case "error" -> {
                job.failures++;
                charge(m, job, now);
                back(job, index, now);
            }
            case "unknown" -> back(job, index, now);
            case "full", "busy" -> m.noRoomUntil = now + 1_000;
            default -> { }
        }
    }

    /** A task was done there. */
    static void cleared(Machine m, Job job) {
        m.failedJobs.clear();
        job.failures = 0;
        job.failedOn.clear();
    }

    /** Whether the machine's quarantine ends now. */
    static boolean pardon(Machine m, long now) {
        boolean ends = m.faulty && now >= m.faultyUntil;
        if (ends) {
            m.faulty = false;
            m.failedJobs.clear();
        }
        return ends;
    }

    private static void back(Job job, int index, long now) {
        long wait = Math.min(Constants.TASK_BACKOFF_MAX_MS, Constants.TASK_BACKOFF_MS << Math.min(job.failures, 5));
        job.notBefore.put(index, now + (job.failures <= 1 ? 0 : wait));
    }

    /**
     * Errors of several jobs, none of which failed elsewhere too, are the machine's: it gets nothing new for a while. What
     * runs there is left alone; a machine that only fails what it starts does no harm to it.
     */
    private void charge(Machine m, Job job, long now) {
        m.failedJobs.add(job.spec.id());
        job.failedOn.add(m.id);
        int own = 0;
        for (String id : m.failedJobs) {
            Job other = jobs.get(id);
            own += other != null && other.failedOn.size() == 1 ? 1 : 0;
        }
        if (own >= Constants.MACHINE_ERRORS) {
            m.faulty = true;
            m.faultyUntil = now + Constants.QUARANTINE_MS;
        }
    }
}
