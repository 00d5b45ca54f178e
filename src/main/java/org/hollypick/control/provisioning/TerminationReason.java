package org.hollypick.control.provisioning;

import java.util.Locale;

/** Why a machine is terminated, for the log. */
public enum TerminationReason {
    /** No task runs on the machine and it isn't needed. */
    IDLE,
    /** The machine's agent stopped responding. */
    UNRESPONSIVE,
    /** The cloud reports the machine as failed, or its agent never sent a heartbeat. */
    FAILED_TO_START,
    /** An earlier request to terminate the machine was not confirmed. */
    RETRY;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
