package org.hollypick.control.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hollypick.core.Job;
import org.hollypick.records.TerminalStatus;

/** A terminal record to be written for a job. */
record TerminalWrite(Job job, TerminalStatus status, ObjectNode record) {
    String jobId() {
        return job.spec.id();
    }
}
