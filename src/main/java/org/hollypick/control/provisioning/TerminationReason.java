package org.hollypick.control.provisioning;

import java.util.Locale;

/** Why a machine is terminated, for the log. */
public enum TerminationReason {
    /** Nothing runs there and it isn't needed. */
    IDLE,
    /** Its agent stopped responding. */
    UNRESPONSIVE,
    /** The cloud reports it as failed, or its agent never sent a heartbeat. */
    FAILED_TO_START,
    /** An earlier request to terminate it wasn't confirmed. */
    RETRY;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
