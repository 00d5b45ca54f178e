package org.hollypick.agent;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.TaskStatus;
import org.hollypick.io.Codec;
import org.hollypick.io.WireNames;

/** Encodes and decodes the messages between controllers and agents, whose field names differ from the code's names. */
public final class AgentCodec {
    /** Paths of the agent's API. */
    static final String PATH_COMMANDS = "/commands";

    static final String PATH_INSPECT = "/inspect";

    /** The id of the machine that sends a heartbeat. */
    static final String MACHINE_ID = "bothy";
    /** Address at which the agent takes direct calls. */
    static final String ADDRESS = "addr";

    static final String MACHINE_TYPE = "flavour";
    static final String ZONE = "hall";
    /** Whether the machine is a spot instance. */
    static final String SPOT = "lendable";
    /** Sequence number within the agent's incarnation, counting heartbeats and responses to direct calls. */
    static final String SEQUENCE = "tick";
    /** Seconds until the cloud reclaims the machine; null if it has announced no eviction. */
    static final String EVICTION_NOTICE_S = "warning_s";
    /** The tasks on the machine. */
    static final String TASKS = "shards";

    /** The task's id: the id of its job and its index. */
    static final String TASK = "shard";
    /** Number of an attempt to run a task; unique over all attempts. */
    static final String ATTEMPT = "try";

    static final String TASK_STATE = "status";
    /** Why a task exited. */
    static final String EXIT_REASON = "cause";

    private static final String STATE_PULLING_IMAGE = "fetching";
    private static final String STATE_CHECKPOINTING = "saving";
    private static final String STATE_EXITED = "exited";

    /** Commands in the response to a heartbeat or in a direct call. */
    private static final String COMMANDS = "orders";

    private static final String VERB = "verb";
    private static final String VERB_LAUNCH = "launch";
    private static final String VERB_KILL = "kill";
    private static final String VERB_CLEAR = "clear";
    /** Seconds that a killed task has to write a checkpoint. */
    private static final String GRACE_S = "leeway_s";

    private AgentCodec() {}

    /**
     * Decodes the heartbeat in a request's body.
     *
     * @return null if the bytes are not a heartbeat
     */
    public static Heartbeat decodeHeartbeat(byte[] cbor) {
        try (JsonParser parser = Codec.cborParser(cbor)) {
            return new HeartbeatStreamReader(parser).read();
        } catch (IOException | RuntimeException e) {
            return null; // malformed input must not make the controller fail
        }
    }

    /**
     * Decodes the heartbeat in an agent's response.
     *
     * @return null if the body is not a heartbeat
     */
    public static Heartbeat decodeHeartbeat(JsonNode body) {
        if (!isHeartbeat(body)) {
            return null;
        }
        HeartbeatBuilder heartbeat = new HeartbeatBuilder();
        heartbeat.machine = body.path(MACHINE_ID).asText();
        heartbeat.address = body.path(ADDRESS).asText("");
        heartbeat.type = body.path(MACHINE_TYPE).asText("");
        heartbeat.zone = body.path(ZONE).asText("");
        heartbeat.spot = body.path(SPOT).asBoolean();
        heartbeat.incarnation = Codec.u64(body.path(WireNames.AGENT_INCARNATION));
        heartbeat.sequence = Codec.u64(body.path(SEQUENCE));
        heartbeat.token = Codec.u64(body.path(WireNames.FENCING_TOKEN));
        JsonNode notice = body.path(EVICTION_NOTICE_S);
        heartbeat.evictionNoticeS = notice.isNumber() ? notice.asDouble() : Double.NaN;
        body.path(TASKS).forEach(task -> heartbeat.tasks.add(decodeTaskStatus(task)));
        return heartbeat.build();
    }

    private static boolean isHeartbeat(JsonNode body) {
        return body != null
                && body.isObject()
                && body.path(MACHINE_ID).isTextual()
                && body.path(WireNames.AGENT_INCARNATION).isIntegralNumber()
                && body.path(SEQUENCE).isIntegralNumber();
    }

    private static TaskStatus decodeTaskStatus(JsonNode task) {
        return new TaskStatus(
                task.path(TASK).asText(),
                Codec.u64(task.path(ATTEMPT)),
                decodeState(task.path(TASK_STATE).asText()),
                task.path(EXIT_REASON).asText(""));
    }

    /** Whether the body contains that machine id; other fields are not checked. */
    static boolean identifiesMachine(String machineId, JsonNode body) {
        return body.path(MACHINE_ID).asText().equals(machineId);
    }

    static State decodeState(String text) {
        return switch (text) {
            case STATE_PULLING_IMAGE -> State.PULLING_IMAGE;
            case STATE_CHECKPOINTING -> State.CHECKPOINTING;
            case STATE_EXITED -> State.EXITED;
            default -> State.RUNNING;
        };
    }

    /** Encodes the response to a heartbeat: the leader's fencing token and commands. */
    public static ObjectNode encodeCommands(long token, List<Command> commands) {
        ObjectNode body = Codec.object().put(WireNames.FENCING_TOKEN, token);
        ArrayNode list = body.putArray(COMMANDS);
        commands.forEach(command -> encodeCommand(command, list.addObject()));
        return body;
    }

    /** Encodes a direct call: commands for one incarnation of the agent. */
    static ObjectNode encodeCommands(long token, long incarnation, List<Command> commands) {
        return encodeCommands(token, commands).put(WireNames.AGENT_INCARNATION, incarnation);
    }

    private static void encodeCommand(Command command, ObjectNode node) {
        switch (command.verb()) {
            case LAUNCH -> node.put(VERB, VERB_LAUNCH);
            case KILL -> node.put(VERB, VERB_KILL).put(GRACE_S, command.graceS());
            case CLEAR -> node.put(VERB, VERB_CLEAR);
        }
        node.put(TASK, command.task()).put(ATTEMPT, command.attempt());
    }
}
