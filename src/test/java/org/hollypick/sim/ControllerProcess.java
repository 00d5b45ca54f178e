package org.hollypick.sim;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hollypick.Controller;
import org.hollypick.io.Response;
import org.hollypick.io.ServerResponse;

/**
 * A controller's process as its host sees it, whatever its version. An answer is asked for what it says in the moment
 * of sending.
 */
interface ControllerProcess {
    void start();

    void handle(String method, String path, byte[] body, Consumer<Supplier<Response>> reply);

    void handlePeerRequest(String method, String path, byte[] body, Consumer<Supplier<Response>> reply);

    static ControllerProcess of(Controller node) {
        return new ControllerProcess() {
            @Override
            public void start() {
                node.start();
            }

            @Override
            public void handle(String method, String path, byte[] body, Consumer<Supplier<Response>> reply) {
                node.handle(method, path, body, a -> reply.accept(() -> reply(a.orRefusalIfInvalid())));
            }

            @Override
            public void handlePeerRequest(String method, String path, byte[] body, Consumer<Supplier<Response>> reply) {
                node.handlePeerRequest(method, path, body, a -> reply.accept(() -> reply(a.orRefusalIfInvalid())));
            }
        };
    }

    private static Response reply(ServerResponse a) {
        return new Response(a.status(), a.body());
    }
}
