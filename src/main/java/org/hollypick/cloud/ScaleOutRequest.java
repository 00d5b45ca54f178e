package org.hollypick.cloud;

/**
 * A request for machines of one kind. Immutable.
 *
 * @param requestId makes the request idempotent: the same id again gives the same machines
 */
public record ScaleOutRequest(String requestId, String type, String zone, boolean spot, int count) {}
