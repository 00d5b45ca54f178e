package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Base64;
import java.util.BitSet;

/**
 * Encodes and decodes sets of tasks: a bitmap in base64, with the first task in the lowest bit of the first byte.
 * Stateless, any thread.
 */
public final class TaskBitmapCodec {
    private TaskBitmapCodec() {}

    /** Encodes a set of tasks. */
    public static String encode(BitSet tasks) {
        return Base64.getEncoder().encodeToString(tasks.toByteArray());
    }

    /** Decodes a set of tasks; empty if the field is missing. */
    public static BitSet decode(JsonNode text) {
        return BitSet.valueOf(Base64.getDecoder().decode(text.asText("")));
    }
}
