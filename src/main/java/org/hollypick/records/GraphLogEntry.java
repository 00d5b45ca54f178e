package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;

/** One change of a graph in its stored form; created and read only by {@link GraphLogCodec}. */
public final class GraphLogEntry {
    private final JsonNode encoded;

    GraphLogEntry(JsonNode encoded) {
        this.encoded = encoded;
    }

    JsonNode encoded() {
        return encoded;
    }
}
