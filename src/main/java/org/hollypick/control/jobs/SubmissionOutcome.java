package org.hollypick.control.jobs;

/** How the attempt to store a submitted job ended. */
public enum SubmissionOutcome {
    /** The job's record was stored. */
    CREATED,
    /** The job has a record already: the submission is a repeated one. */
    ALREADY_EXISTS,
    /** No record can hold the job. */
    TOO_LARGE,
    /** It isn't known whether the record was stored, or the store has no capacity: the user has to submit again. */
    RETRY_LATER
}
