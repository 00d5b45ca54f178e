package org.hollypick.relay;

import java.util.function.Consumer;
import org.hollypick.io.ServerResponse;

/**
 * A heartbeat that waits for the leader.
 *
 * @param heartbeat the bytes as the agent sent them
 * @param expiresAtMillis when the agent is told to retry, by the steady clock in milliseconds
 * @param responder takes the response, exactly once
 */
record QueuedHeartbeat(byte[] heartbeat, long expiresAtMillis, Consumer<ServerResponse> responder) {}
