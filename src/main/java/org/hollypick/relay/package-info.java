/**
 * Relays agents' heartbeats to the leader in batches, and the leader's responses back to the agents. A controller that
 * can't reach the leader reports this in the key-value store, so that the leader may resign.
 */
package org.hollypick.relay;
