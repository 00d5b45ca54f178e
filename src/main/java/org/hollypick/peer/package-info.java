/**
 * Requests between controllers. Dispatches the requests that peers send to this controller, and forwards requests to
 * the key-value store through peers while the direct route is down.
 */
package org.hollypick.peer;
