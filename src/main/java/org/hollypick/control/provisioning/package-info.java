/**
 * Provisioning of cloud machines by a leader: scale-out and scale-in as the autoscaler plans them, and reconciliation
 * of the scheduler's machines with the cloud's list.
 */
package org.hollypick.control.provisioning;
