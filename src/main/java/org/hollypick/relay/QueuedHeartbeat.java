package org.hollypick.relay;

import java.util.function.Consumer;
import org.hollypick.io.ServerResponse;

/**
 * A heartbeat that waits to be relayed to the leader.
 *
 * @param heartbeat the bytes as the agent sent them
 * @param expiresAtMillis the time from which on the heartbeat isn't sent any more and the agent is told to retry, by
 *     the steady clock
 * @param responder receives the response; called exactly once
 */
record QueuedHeartbeat(byte[] heartbeat, long expiresAtMillis, Consumer<ServerResponse> responder) {}
