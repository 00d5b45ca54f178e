package org.hollypick.control.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hollypick.core.Job;
import org.hollypick.records.TerminalStatus;

/** The terminal record of one job, as it is to be written. */
record TerminalWrite(Job job, TerminalStatus status, ObjectNode record) {
    String jobId() {
        return job.spec.id();
    }
}
