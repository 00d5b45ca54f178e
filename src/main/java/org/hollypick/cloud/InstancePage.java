package org.hollypick.cloud;

import java.util.List;

/**
 * One page of the cloud's list of machines. Immutable.
 *
 * @param truncated whether more machines follow the last one of this page
 */
public record InstancePage(List<Instance> instances, boolean truncated) {}
