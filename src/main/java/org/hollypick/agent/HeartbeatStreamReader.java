package org.hollypick.agent;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.TaskStatus;
import org.hollypick.io.WireNames;

/**
 * Decodes one heartbeat from a stream without building a tree, since heartbeats are most of the input of a busy leader.
 * A field of an unexpected type reads as empty; unknown fields are skipped.
 */
final class HeartbeatStreamReader {
    private final JsonParser parser;
    private final HeartbeatBuilder heartbeat = new HeartbeatBuilder();

    HeartbeatStreamReader(JsonParser parser) {
        this.parser = parser;
    }

    /**
     * Reads one heartbeat.
     *
     * @return null if the stream doesn't hold a heartbeat
     */
    Heartbeat read() throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            return null;
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            readField(name, parser.nextToken());
        }
        return heartbeat.isComplete() ? heartbeat.build() : null;
    }

    private void readField(String name, JsonToken value) throws IOException {
        switch (name) {
            case AgentCodec.MACHINE_ID -> heartbeat.machine = text(value);
            case AgentCodec.ADDRESS -> heartbeat.address = text(value);
            case AgentCodec.MACHINE_TYPE -> heartbeat.type = text(value);
            case AgentCodec.ZONE -> heartbeat.zone = text(value);
            case AgentCodec.SPOT -> heartbeat.spot = value == JsonToken.VALUE_TRUE;
            case WireNames.AGENT_INCARNATION -> {
                heartbeat.hasIncarnation = value == JsonToken.VALUE_NUMBER_INT;
                heartbeat.incarnation = unsignedLong(value);
            }
            case AgentCodec.SEQUENCE -> {
                heartbeat.hasSequence = value == JsonToken.VALUE_NUMBER_INT;
                heartbeat.sequence = unsignedLong(value);
            }
            case WireNames.FENCING_TOKEN -> heartbeat.token = unsignedLong(value);
            case AgentCodec.EVICTION_NOTICE_S -> heartbeat.evictionNoticeS = number(value);
            case AgentCodec.TASKS -> readTasks(value);
            default -> parser.skipChildren();
        }
    }

    private void readTasks(JsonToken list) throws IOException {
        if (list != JsonToken.START_ARRAY) {
            parser.skipChildren();
            return;
        }
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            heartbeat.tasks.add(readTask());
        }
    }

    private TaskStatus readTask() throws IOException {
        String task = "";
        long attempt = 0;
        State state = State.RUNNING;
        String exitReason = "";
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (name) {
                case AgentCodec.TASK -> task = text(value);
                case AgentCodec.ATTEMPT -> attempt = unsignedLong(value);
                case AgentCodec.TASK_STATE -> state = AgentCodec.decodeState(text(value));
                case AgentCodec.EXIT_REASON -> exitReason = text(value);
                default -> parser.skipChildren();
            }
        }
        return new TaskStatus(task, attempt, state, exitReason);
    }

    private String text(JsonToken value) throws IOException {
        parser.skipChildren();
        return value == JsonToken.VALUE_STRING ? parser.getText() : "";
    }

    private long unsignedLong(JsonToken value) throws IOException {
        parser.skipChildren();
        return value == JsonToken.VALUE_NUMBER_INT ? parser.getNumberValue().longValue() : 0;
    }

    /** Returns the number, or NaN if the value isn't a number. */
    private double number(JsonToken value) throws IOException {
        return value.isNumeric() ? parser.getDoubleValue() : Double.NaN;
    }
}
