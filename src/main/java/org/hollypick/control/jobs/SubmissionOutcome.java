package org.hollypick.control.jobs;

/** How the attempt to store a submitted job ended. */
public enum SubmissionOutcome {
    /** The job's record was stored. */
    CREATED,
    /** The job already has a record: this is a repeated submission. */
    ALREADY_EXISTS,
    /** The job doesn't fit into a record. */
    TOO_LARGE,
    /**
     * It is unknown whether the record was stored, or the store has no capacity: the user has to submit the job again.
     */
    RETRY_LATER
}
