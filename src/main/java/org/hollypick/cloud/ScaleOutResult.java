package org.hollypick.cloud;

import java.util.List;

/**
 * The outcome of a {@link ScaleOutRequest}. Immutable.
 *
 * @param status the HTTP status, or the code of a failure, for the log
 * @param machineIds the machines that were started; may be fewer than requested
 */
public record ScaleOutResult(Outcome outcome, int status, List<String> machineIds) {
    /** The outcomes that callers distinguish. */
    public enum Outcome {
        GRANTED,
        /** No response was received: the request may have been executed, or may still be. */
        NO_RESPONSE,
        /** The cloud has no machine of this type available in the zone now. */
        OUT_OF_CAPACITY,
        /** The request wasn't sent, or was rejected for another reason. */
        FAILED
    }
}
