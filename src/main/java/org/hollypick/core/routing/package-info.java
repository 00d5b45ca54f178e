/**
 * The choice of a route under partial connectivity: requests are sent directly or through a peer, and controllers that
 * reach fewer machines delay their candidacy for the leadership.
 */
package org.hollypick.core.routing;
