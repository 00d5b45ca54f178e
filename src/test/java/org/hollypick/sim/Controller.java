package org.hollypick.sim;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hollypick.Node;
import org.hollypick.io.Answer;
import org.hollypick.io.Reply;

/**
 * A controller's process as its host sees it, whatever its version. An answer is asked for what it says in the moment
 * of sending.
 */
interface Controller {
    void start();

    void handle(String method, String path, byte[] body, Consumer<Supplier<Reply>> reply);

    void handleMesh(String method, String path, byte[] body, Consumer<Supplier<Reply>> reply);

    static Controller of(Node node) {
        return new Controller() {
            @Override
            public void start() {
                node.start();
            }

            @Override
            public void handle(String method, String path, byte[] body, Consumer<Supplier<Reply>> reply) {
                node.handle(method, path, body, a -> reply.accept(() -> reply(a.now())));
            }

            @Override
            public void handleMesh(String method, String path, byte[] body, Consumer<Supplier<Reply>> reply) {
                node.handleMesh(method, path, body, a -> reply.accept(() -> reply(a.now())));
            }
        };
    }

    private static Reply reply(Answer a) {
        return new Reply(a.status(), a.body());
    }
}
