package org.hollypick.agent;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.core.assignment.Command;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/** Client of the agents, called at their own addresses. Confined to the event loop. */
public final class AgentClient {
    private final EventLoop eventLoop;

    /** Creates a client that sends its requests through the event loop. */
    public AgentClient(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /**
     * Sends commands; a call without commands only asks for the agent's state.
     *
     * @param token the leader's fencing token
     * @param incarnation the agent's incarnation that the commands are for
     * @param validWhile whether this controller may send commands, checked at the moment of sending
     */
    public void sendCommands(
            String address,
            long token,
            long incarnation,
            List<Command> commands,
            BooleanSupplier validWhile,
            Consumer<AgentResponse> callback) {
        Request request = Request.of(
                address,
                "POST",
                AgentCodec.PATH_COMMANDS,
                AgentCodec.encodeCommands(token, incarnation, commands),
                NetworkConstants.COMMAND_TIMEOUT_MS);
        eventLoop.send(request.onlyWhile(validWhile), response -> callback.accept(AgentResponse.of(response)));
    }

    /** Probes whether the machine's agent responds at the address. */
    public void probe(String machineId, String address, long timeoutMs, Consumer<ProbeResult> callback) {
        eventLoop.send(
                Request.of(address, "GET", AgentCodec.PATH_INSPECT, null, timeoutMs),
                response -> callback.accept(probeResult(machineId, response)));
    }

    private static ProbeResult probeResult(String machineId, Response response) {
        if (response.failedWith(Response.Failure.NO_CAPACITY)) {
            return ProbeResult.NOT_ATTEMPTED;
        }
        boolean reached = response.ok() && AgentCodec.identifiesMachine(machineId, response.body());
        return reached ? ProbeResult.REACHED : ProbeResult.NOT_REACHED;
    }
}
