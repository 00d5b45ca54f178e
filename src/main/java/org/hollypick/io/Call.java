package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;

/** An HTTP request to another system. A mesh call carries JSON, every other one CBOR. */
public record Call(String address, String method, String path, JsonNode body, long timeoutMs, boolean mesh) {
    public static Call of(String address, String method, String path, JsonNode body, long timeoutMs) {
        return new Call(address, method, path, body, timeoutMs, false);
    }
}
