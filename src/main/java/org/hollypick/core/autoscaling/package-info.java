/**
 * Plans scale out and scale in of the cluster's machines: {@link org.hollypick.core.autoscaling.Autoscaler} compares
 * the capacity that jobs need within their teams' quotas with the capacity of the machines. Each plan names the
 * machines to start, the idle ones to terminate and the service replicas to move. The package only decides;
 * {@code org.hollypick.control.provisioning} sends the requests to the cloud.
 */
package org.hollypick.core.autoscaling;
