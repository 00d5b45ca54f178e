package org.hollypick.cloud;

import java.util.List;

/**
 * What became of a {@link ScaleOutRequest}. Immutable.
 *
 * @param status the HTTP status, or the code of a failure, for the log
 * @param machineIds the machines that were started; may be fewer than requested
 */
public record ScaleOutResult(Outcome outcome, int status, List<String> machineIds) {
    /** The kinds of outcomes that callers tell apart. */
    public enum Outcome {
        GRANTED,
        /** The request may have been carried out, or may be yet. */
        NO_RESPONSE,
        /** The cloud has no machine of that kind to give now. */
        OUT_OF_CAPACITY,
        /** Not sent, or refused for another reason. */
        FAILED
    }
}
