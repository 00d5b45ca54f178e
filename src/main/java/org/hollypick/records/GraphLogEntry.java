package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;

/** One change of a graph in its stored form; made and read by {@link GraphLogCodec} only. */
public final class GraphLogEntry {
    private final JsonNode encoded;

    GraphLogEntry(JsonNode encoded) {
        this.encoded = encoded;
    }

    JsonNode encoded() {
        return encoded;
    }
}
