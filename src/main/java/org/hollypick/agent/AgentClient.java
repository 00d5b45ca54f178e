package org.hollypick.agent;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.core.assignment.Command;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.io.WireNames;

/** Orders and questions straight to a worker's address. */
public final class AgentClient {
    private final EventLoop eventLoop;

    public AgentClient(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** {@code still}: whether this node may order anything, asked when the order is sent. */
    public void command(
            String addr,
            long token,
            long session,
            List<Command> commands,
            BooleanSupplier still,
            Consumer<Response> reply) {
        ObjectNode body = AgentCodec.orders(token, commands).put(WireNames.AGENT_INCARNATION, session);
        eventLoop.send(
                Request.of(addr, "POST", "/commands", body, NetworkConstants.COMMAND_TIMEOUT_MS)
                        .onlyWhile(still),
                reply);
    }

    /** Whether that machine answers: its report. */
    public void inspect(String machine, String addr, long timeoutMs, Consumer<Response> reply) {
        eventLoop.send(
                Request.of(addr, "GET", "/inspect", null, timeoutMs),
                r -> reply.accept(
                        r.ok() && !r.body().path("bothy").asText().equals(machine) ? Response.noResponse() : r));
    }
}
