package org.hollypick.peer;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.hollypick.io.Codec;
import org.hollypick.io.ServerResponse;

/**
 * Dispatches the requests of other controllers, which are POST requests with JSON bodies, to a handler for each path.
 * Confined to the event loop.
 */
public final class PeerRequestDispatcher {
    /** Handles the requests to one path. */
    public interface Handler {
        /** Responds to one request, now or later; {@code body}: null if it isn't JSON. */
        void handle(JsonNode body, Consumer<ServerResponse> responder);
    }

    private final Map<String, Handler> handlers = new HashMap<>();

    /** Registers the handler of a path. */
    public void on(String path, Handler handler) {
        handlers.put(path, handler);
    }

    /** Has the handler of the path respond to a request; responds with 404 if there is none. */
    public void handle(String method, String path, byte[] bytes, Consumer<ServerResponse> responder) {
        Handler handler = method.equals("POST") ? handlers.get(path) : null;
        if (handler == null) {
            responder.accept(ServerResponse.error(404, "no such path"));
        } else {
            handler.handle(Codec.read(bytes, true), responder);
        }
    }
}
