package org.hollypick.cloud;

/**
 * A request for new machines of one type in one zone. Immutable.
 *
 * @param requestId the idempotency key: a request with the same id returns the same machines
 */
public record ScaleOutRequest(String requestId, String type, String zone, boolean spot, int count) {}
