package org.hollypick.core;

import org.hollypick.config.constants.JobConstants;

/**
 * Numbers the attempts of one term: the leader's fencing token in the upper bits, a count in the lower ones, so that no
 * number ever repeats. Confined to the event loop.
 */
final class AttemptNumbers {
    private static final long CAPACITY = 1L << JobConstants.ATTEMPT_BITS;

    private final long token;
    private long used;

    AttemptNumbers(long token) {
        this.token = token;
    }

    /** The fencing token under which an attempt was started. */
    static long tokenOf(long attempt) {
        return attempt >>> JobConstants.ATTEMPT_BITS;
    }

    long next() {
        if (used >= CAPACITY) {
            throw new IllegalStateException("out of attempt numbers under this token");
        }
        return (token << JobConstants.ATTEMPT_BITS) + used++;
    }

    boolean nearlyExhausted() {
        return used > CAPACITY - JobConstants.ATTEMPT_RESERVE;
    }
}
