package org.hollypick.io;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;

/** Encodes messages as Jackson trees: JSON among controllers, CBOR for everyone else. Stateless; any thread. */
public final class Codec {
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
    private static final ObjectMapper JSON = JsonMapper.builder()
            .disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET)
            .build();

    private Codec() {}

    /** A new, empty map. */
    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** A new, empty list. */
    public static ArrayNode array() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /** The media type of such a message, for the Content-Type header. */
    static String contentType(boolean json) {
        return json ? "application/json" : "application/cbor";
    }

    /** Encodes the tree, as JSON or else as CBOR. */
    public static byte[] write(JsonNode node, boolean json) {
        try {
            return (json ? JSON : CBOR).writeValueAsBytes(node);
        } catch (IOException e) {
            throw new IllegalStateException("a tree that can't be written", e);
        }
    }

    /**
     * Decodes a message, from JSON or else from CBOR.
     *
     * @return the tree; null if the bytes hold none
     */
    public static JsonNode read(byte[] bytes, boolean json) {
        if (bytes.length == 0) {
            return null;
        }
        try {
            JsonNode node = (json ? JSON : CBOR).readTree(bytes);
            return node == null || node.isMissingNode() ? null : node;
        } catch (IOException | RuntimeException | StackOverflowError e) {
            return null; // malformed input must never harm the controller
        }
    }

    /** A streaming parser of a CBOR message. */
    public static JsonParser cborParser(byte[] bytes) throws IOException {
        return CBOR.createParser(bytes);
    }

    /** An unsigned 64-bit number; compare with {@link Long#compareUnsigned}. */
    public static long u64(JsonNode node) {
        return node.isBigInteger() ? node.bigIntegerValue().longValue() : node.asLong();
    }
}
