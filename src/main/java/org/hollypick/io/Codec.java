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

/**
 * Encodes and decodes messages, as Jackson trees: JSON between controllers, CBOR for all other systems. Stateless; safe
 * for use by any thread.
 */
public final class Codec {
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
    private static final ObjectMapper JSON = JsonMapper.builder()
            .disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET)
            .build();

    private Codec() {}

    /** Creates an empty object. */
    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Creates an empty array. */
    public static ArrayNode array() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /** The media type of a JSON or CBOR message, for the Content-Type header. */
    static String contentType(boolean json) {
        return json ? "application/json" : "application/cbor";
    }

    /** Encodes a tree as JSON if {@code json}, otherwise as CBOR. */
    public static byte[] write(JsonNode node, boolean json) {
        try {
            return (json ? JSON : CBOR).writeValueAsBytes(node);
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode message as " + contentType(json), e);
        }
    }

    /**
     * Decodes a message from JSON if {@code json}, otherwise from CBOR.
     *
     * @return the tree; null if the bytes are empty or malformed
     */
    public static JsonNode read(byte[] bytes, boolean json) {
        if (bytes.length == 0) {
            return null;
        }
        try {
            JsonNode node = (json ? JSON : CBOR).readTree(bytes);
            return node == null || node.isMissingNode() ? null : node;
        } catch (IOException | RuntimeException | StackOverflowError e) {
            return null; // a malformed message must not fail the controller; deep nesting overflows the stack
        }
    }

    /** Creates a streaming parser for a CBOR message. */
    public static JsonParser cborParser(byte[] bytes) throws IOException {
        return CBOR.createParser(bytes);
    }

    /** Reads an unsigned 64-bit number; compare the result with {@link Long#compareUnsigned}. */
    public static long u64(JsonNode node) {
        return node.isBigInteger() ? node.bigIntegerValue().longValue() : node.asLong();
    }
}
