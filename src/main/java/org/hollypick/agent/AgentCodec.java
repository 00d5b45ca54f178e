package org.hollypick.agent;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.TaskStatus;
import org.hollypick.io.Codec;
import org.hollypick.io.WireNames;

/** The workers' wire names. */
public final class AgentCodec {
    private AgentCodec() {}

    /**
     * The report in a request's body, or null if it isn't one. Read as a stream: reports are most of what a busy leader
     * reads.
     */
    public static Heartbeat report(byte[] cbor) {
        try (JsonParser p = Codec.cborParser(cbor)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                return null;
            }
            Fields f = new Fields();
            while (p.nextToken() == JsonToken.FIELD_NAME) {
                String name = p.currentName();
                JsonToken value = p.nextToken();
                switch (name) {
                    case "bothy" -> f.machine = text(p, value);
                    case "addr" -> f.addr = text(p, value);
                    case "flavour" -> f.type = text(p, value);
                    case "hall" -> f.zone = text(p, value);
                    case "lendable" -> f.spot = value == JsonToken.VALUE_TRUE;
                    case WireNames.AGENT_INCARNATION -> {
                        f.hasSession = value == JsonToken.VALUE_NUMBER_INT;
                        f.session = u64(p, value);
                    }
                    case "tick" -> {
                        f.hasTick = value == JsonToken.VALUE_NUMBER_INT;
                        f.tick = u64(p, value);
                    }
                    case WireNames.FENCING_TOKEN -> f.token = u64(p, value);
                    case "warning_s" -> f.noticeS = value.isNumeric() ? p.getDoubleValue() : Double.NaN;
                    case "shards" -> tasks(p, value, f.tasks);
                    default -> p.skipChildren();
                }
            }
            return f.machine.isEmpty() || !f.hasSession || !f.hasTick
                    ? null
                    : new Heartbeat(
                            f.machine, f.addr, f.type, f.zone, f.spot, f.session, f.tick, f.token, f.noticeS, f.tasks);
        } catch (IOException | RuntimeException e) {
            return null; // garbage from outside must never harm the node
        }
    }

    /** What has been read of a report so far. */
    private static final class Fields {
        private String machine = "";
        private String addr = "";
        private String type = "";
        private String zone = "";
        private boolean spot;
        private boolean hasSession;
        private boolean hasTick;
        private long session;
        private long tick;
        private long token;
        private double noticeS = Double.NaN;
        private final List<TaskStatus> tasks = new ArrayList<>();
    }

    private static void tasks(JsonParser p, JsonToken list, List<TaskStatus> tasks) throws IOException {
        if (list != JsonToken.START_ARRAY) {
            p.skipChildren();
            return;
        }
        while (p.nextToken() == JsonToken.START_OBJECT) {
            String task = "";
            long attempt = 0;
            State state = State.RUNNING;
            String why = "";
            while (p.nextToken() == JsonToken.FIELD_NAME) {
                String name = p.currentName();
                JsonToken value = p.nextToken();
                switch (name) {
                    case "shard" -> task = text(p, value);
                    case "try" -> attempt = u64(p, value);
                    case "status" -> state = state(text(p, value));
                    case "cause" -> why = text(p, value);
                    default -> p.skipChildren();
                }
            }
            tasks.add(new TaskStatus(task, attempt, state, why));
        }
    }

    private static String text(JsonParser p, JsonToken value) throws IOException {
        p.skipChildren();
        return value == JsonToken.VALUE_STRING ? p.getText() : "";
    }

    private static long u64(JsonParser p, JsonToken value) throws IOException {
        p.skipChildren();
        return value == JsonToken.VALUE_NUMBER_INT ? p.getNumberValue().longValue() : 0;
    }

    private static State state(String status) {
        return switch (status) {
            case "fetching" -> State.PULLING_IMAGE;
            case "saving" -> State.CHECKPOINTING;
            case "exited" -> State.EXITED;
            default -> State.RUNNING;
        };
    }

    /** The report in a worker's answer, or null if it isn't one. */
    public static Heartbeat report(JsonNode b) {
        if (b == null
                || !b.isObject()
                || !b.path("bothy").isTextual()
                || !b.path(WireNames.AGENT_INCARNATION).isIntegralNumber()
                || !b.path("tick").isIntegralNumber()) {
            return null;
        }
        List<TaskStatus> tasks = new ArrayList<>();
        for (JsonNode t : b.path("shards")) {
            State state = state(t.path("status").asText());
            tasks.add(new TaskStatus(
                    t.path("shard").asText(),
                    Codec.u64(t.path("try")),
                    state,
                    t.path("cause").asText("")));
        }
        return new Heartbeat(
                b.path("bothy").asText(),
                b.path("addr").asText(""),
                b.path("flavour").asText(""),
                b.path("hall").asText(""),
                b.path("lendable").asBoolean(),
                Codec.u64(b.path(WireNames.AGENT_INCARNATION)),
                Codec.u64(b.path("tick")),
                Codec.u64(b.path(WireNames.FENCING_TOKEN)),
                b.path("warning_s").isNumber() ? b.path("warning_s").asDouble() : Double.NaN,
                tasks);
    }

    public static ObjectNode orders(long token, List<Command> commands) {
        ObjectNode body = Codec.object().put(WireNames.FENCING_TOKEN, token);
        ArrayNode list = body.putArray("orders");
        for (Command command : commands) {
            ObjectNode n = list.addObject();
            switch (command.verb()) {
                case LAUNCH -> n.put("verb", "launch");
                case KILL -> n.put("verb", "kill").put("leeway_s", command.graceS());
                case CLEAR -> n.put("verb", "clear");
            }
            n.put("shard", command.task()).put("try", command.attempt());
        }
        return body;
    }
}
