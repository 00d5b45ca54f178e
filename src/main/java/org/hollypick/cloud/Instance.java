package org.hollypick.cloud;

/**
 * A machine as the cloud lists it. Immutable.
 *
 * @param address the address on which the machine's agent listens; empty until the cloud has assigned one
 * @param spot whether the cloud may reclaim the machine at short notice
 */
public record Instance(
        String machineId, String type, String zone, boolean spot, String address, Status status, double ageSeconds) {
    /** The state of a machine; states that callers don't distinguish are combined. */
    public enum Status {
        RUNNING,
        /** The machine has failed and won't become available any more. */
        FAILED,
        /** Booting, or in any other state. */
        OTHER
    }
}
