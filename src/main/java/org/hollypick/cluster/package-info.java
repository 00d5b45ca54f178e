/**
 * Cluster membership and leader election: this controller's session with the key-value store, the replica of the stored
 * records, the leader record with its fencing token, and the leader leases. Also contains the messages that controllers
 * exchange about leadership, leases and reachability, and the renewal of agents' leases in a network partition.
 */
package org.hollypick.cluster;
