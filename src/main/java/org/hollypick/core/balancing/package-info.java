/**
 * Balances the agents' heartbeats over the controllers by redirecting machines from overloaded controllers to others.
 */
package org.hollypick.core.balancing;
