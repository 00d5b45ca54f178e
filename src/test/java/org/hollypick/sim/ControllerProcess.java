package org.hollypick.sim;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hollypick.Controller;
import org.hollypick.io.Response;
import org.hollypick.io.ServerResponse;

/**
 * A controller of any version. A reply is a supplier that is evaluated when the response is sent: a response that is no
 * longer valid by then becomes a refusal.
 */
interface ControllerProcess {
    void start();

    void handle(String method, String path, byte[] body, Consumer<Supplier<Response>> reply);

    void handlePeerRequest(String method, String path, byte[] body, Consumer<Supplier<Response>> reply);

    static ControllerProcess of(Controller controller) {
        return new ControllerProcess() {
            @Override
            public void start() {
                controller.start();
            }

            @Override
            public void handle(String method, String path, byte[] body, Consumer<Supplier<Response>> reply) {
                controller.handle(
                        method, path, body, response -> reply.accept(() -> toResponse(response.orRefusalIfInvalid())));
            }

            @Override
            public void handlePeerRequest(String method, String path, byte[] body, Consumer<Supplier<Response>> reply) {
                controller.handlePeerRequest(
                        method, path, body, response -> reply.accept(() -> toResponse(response.orRefusalIfInvalid())));
            }
        };
    }

    private static Response toResponse(ServerResponse response) {
        return new Response(response.status(), response.body());
    }
}
