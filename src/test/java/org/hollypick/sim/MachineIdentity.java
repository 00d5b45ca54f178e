package org.hollypick.sim;

/**
 * A simulated machine as the cloud provider knows it.
 *
 * @param spot whether it may be taken back without notice
 */
record MachineIdentity(String name, String address, String zone, boolean spot, double cores) {}
