package org.hollypick.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;

/**
 * A key of the store with its value.
 *
 * @param revision the revision under which it was last written; unsigned
 * @param sessionId the session with which it is deleted; empty for a key that stays, and in pages of a listing
 */
public record KeyValue(String key, JsonNode value, long revision, OptionalLong sessionId) {}
