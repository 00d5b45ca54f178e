package org.hollypick.cloud;

/**
 * A machine as the cloud lists it. Immutable.
 *
 * @param address where its agent listens; empty until the cloud knows it
 * @param spot whether the cloud may take it back at short notice
 */
public record Instance(
        String machineId, String type, String zone, boolean spot, String address, Status status, double ageSeconds) {
    /** How far the machine is, as far as the difference matters here. */
    public enum Status {
        RUNNING,
        /** It won't come up any more. */
        FAILED,
        /** Booting, or in any other state. */
        OTHER
    }
}
