package org.hollypick.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hollypick.io.Codec;
import org.hollypick.io.WireNames;

/** The key-value store's wire protocol: field names, and the bodies of its requests. */
final class StoreCodec {
    /** The conditions of a transaction. */
    private static final String CONDITIONS = "when";

    /** The writes of a transaction. */
    private static final String WRITES = "then";

    /** The key of a condition. */
    private static final String KEY = "key";

    /** The key that a write sets. */
    private static final String PUT = "put";

    /** The key that a write deletes. */
    private static final String DELETE = "drop";

    private static final String VALUE = "data";

    private StoreCodec() {}

    static ObjectNode encode(CompareAndSwap transaction) {
        ObjectNode body = Codec.object();
        ArrayNode conditions = body.putArray(CONDITIONS);
        transaction
                .expectedRevisions()
                .forEach(expected -> conditions
                        .addObject()
                        .put(KEY, expected.getKey())
                        .put(WireNames.REVISION, expected.getLongValue()));
        ArrayNode writes = body.putArray(WRITES);
        transaction.writes().forEach(write -> writes.add(encode(write)));
        return body;
    }

    private static JsonNode encode(CompareAndSwap.Write write) {
        ObjectNode encoded = Codec.object();
        if (write instanceof CompareAndSwap.Put put) {
            encoded.put(PUT, put.key());
            if (put.sessionId() != null) {
                encoded.put(WireNames.STORE_SESSION, put.sessionId());
            }
            return encoded.set(VALUE, put.value());
        }
        return encoded.put(DELETE, write.key());
    }
}
