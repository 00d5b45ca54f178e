/**
 * The leader's model of machines and of the task attempts assigned to them, with the heartbeats that agents send and
 * the commands that they receive. Mutable state is confined to the event loop.
 */
package org.hollypick.core.assignment;
