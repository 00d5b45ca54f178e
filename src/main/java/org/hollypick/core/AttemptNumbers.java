package org.hollypick.core;

import org.hollypick.config.constants.JobConstants;

/**
 * Numbers the attempts of one term: the leader's fencing token in the upper bits, a count in the lower ones, so that no
 * number ever repeats. Confined to the event loop.
 */
final class AttemptNumbers {
    /** The number of attempts that can be numbered under one fencing token. */
    private static final long CAPACITY = 1L << JobConstants.ATTEMPT_COUNTER_BITS;

    private final long token;
    private long used;

    AttemptNumbers(long token) {
        this.token = token;
    }

    /** The fencing token under which an attempt was started. */
    static long tokenOf(long attempt) {
        return attempt >>> JobConstants.ATTEMPT_COUNTER_BITS;
    }

    /** Returns the next unused number. */
    long next() {
        if (used >= CAPACITY) {
            throw new IllegalStateException(
                    "all " + CAPACITY + " attempt numbers of fencing token " + token + " are used");
        }
        return (token << JobConstants.ATTEMPT_COUNTER_BITS) + used++;
    }

    /** Whether fewer than {@link JobConstants#ATTEMPT_NUMBER_RESERVE} numbers are left. */
    boolean nearlyExhausted() {
        return used > CAPACITY - JobConstants.ATTEMPT_NUMBER_RESERVE;
    }
}
