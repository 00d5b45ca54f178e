package org.hollypick.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;

/**
 * A key of the store with its value.
 *
 * @param revision the revision under which the key was last written; unsigned
 * @param sessionId the session whose end deletes the key; empty if there is none, and in pages of a listing
 */
public record KeyValue(String key, JsonNode value, long revision, OptionalLong sessionId) {}
