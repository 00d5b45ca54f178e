package org.hollypick.sim;

/**
 * The properties of a simulated machine that the cloud provider assigns.
 *
 * @param address the address of its agent
 * @param spot whether the cloud provider may reclaim the machine without notice
 */
record MachineIdentity(String name, String address, String zone, boolean spot, double cores) {}
