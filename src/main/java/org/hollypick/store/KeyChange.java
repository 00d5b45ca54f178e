package org.hollypick.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A change of one key, as a watch reports it.
 *
 * @param value the new value; null if the key was deleted
 * @param revision the revision of the change; unsigned
 */
public record KeyChange(String key, JsonNode value, long revision) {
    /** Whether the key was deleted. */
    public boolean isDeletion() {
        return value == null;
    }
}
