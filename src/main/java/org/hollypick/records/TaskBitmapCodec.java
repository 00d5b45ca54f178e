package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Base64;
import java.util.BitSet;

/** Sets of tasks as they are stored: the bits in base64, the first task in the lowest bit. Stateless, any thread. */
public final class TaskBitmapCodec {
    private TaskBitmapCodec() {}

    /** The stored form of a set. */
    public static String encode(BitSet tasks) {
        return Base64.getEncoder().encodeToString(tasks.toByteArray());
    }

    /** The set that was stored; empty if the field is missing. */
    public static BitSet decode(JsonNode text) {
        return BitSet.valueOf(Base64.getDecoder().decode(text.asText("")));
    }
}
