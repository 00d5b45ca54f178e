package org.hollypick.cloud;

import java.util.List;

/**
 * A part of the cloud's list of machines. Immutable.
 *
 * @param truncated whether the list goes on after the last machine of this part
 */
public record InstancePage(List<Instance> instances, boolean truncated) {}
