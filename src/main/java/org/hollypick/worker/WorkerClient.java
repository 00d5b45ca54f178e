package org.hollypick.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.core.ledger.Order;
import org.hollypick.io.Call;
import org.hollypick.io.Reply;
import org.hollypick.io.Runtime;
import org.hollypick.io.WireNames;

/** Orders and questions straight to a worker's address. */
public final class WorkerClient {
    private final Runtime runtime;

    public WorkerClient(Runtime runtime) {
        this.runtime = runtime;
    }

    /** {@code still}: whether this node may order anything, asked when the order is sent. */
    public void command(
            String addr, long token, long session, List<Order> orders, BooleanSupplier still, Consumer<Reply> reply) {
        ObjectNode body = WorkerCodec.orders(token, orders).put(WireNames.WORKER_SESSION, session);
        runtime.call(
                Call.of(addr, "POST", "/commands", body, NetworkConstants.COMMAND_TIMEOUT_MS)
                        .only(still),
                reply);
    }

    /** Whether that machine answers: its report. */
    public void inspect(String machine, String addr, long timeoutMs, Consumer<Reply> reply) {
        runtime.call(
                Call.of(addr, "GET", "/inspect", null, timeoutMs),
                r -> reply.accept(r.ok() && !r.body().path("bothy").asText().equals(machine) ? Reply.noAnswer() : r));
    }
}
