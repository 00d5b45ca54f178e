package org.hollypick.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.hollypick.agent.AgentCodec;
import org.hollypick.core.JobSpec;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.io.Codec;
import org.junit.jupiter.api.Test;

/**
 * Round trips through the codecs of records and heartbeats. Heartbeats are decoded by a streaming parser, which has to
 * give the same result as decoding the parsed tree, and must not throw on malformed bytes.
 */
class RecordAndHeartbeatCodecTest {
    private static ObjectNode randomHeartbeat(Random random) {
        ObjectNode heartbeat = Codec.object()
                .put("bothy", "n-" + random.nextInt(1_000))
                .put("tenure", random.nextInt(5))
                .put("tick", random.nextLong() >>> 1);
        if (random.nextBoolean()) {
            heartbeat
                    .put("addr", "10.0.0.1:9000")
                    .put("flavour", "t")
                    .put("hall", "a")
                    .put("lendable", random.nextBoolean());
        }
        if (random.nextBoolean()) {
            heartbeat
                    .putNull("warning_s")
                    .set(
                            "new_field",
                            Codec.object()
                                    .put("x", 1)
                                    .set("y", Codec.array().add(1).add("z")));
        } else {
            heartbeat.put("warning_s", random.nextDouble() * 20).put("baton", random.nextInt(100));
        }
        ArrayNode tasks = heartbeat.putArray("shards");
        for (int i = random.nextInt(6); i > 0; i--) {
            ObjectNode task = tasks.addObject()
                    .put("shard", "req-1/" + i)
                    .put("try", random.nextLong() >>> 1)
                    .put("status", new String[] {"fetching", "running", "saving", "exited"}[random.nextInt(4)]);
            if (random.nextBoolean()) {
                task.put("cause", "done").put("saved", true);
            }
        }
        return heartbeat;
    }

    @Test
    void heartbeatDecodedFromBytesEqualsHeartbeatDecodedFromTree() {
        Random random = new Random(1);
        for (int i = 0; i < 5_000; i++) {
            ObjectNode heartbeat = randomHeartbeat(random);
            Heartbeat streamed = AgentCodec.decodeHeartbeat(Codec.write(heartbeat, false));
            assertEquals(AgentCodec.decodeHeartbeat(heartbeat), streamed);
        }
    }

    @Test
    void truncatedHeartbeatsDecodeToNullAndCorruptedOnesThrowNoException() {
        Random random = new Random(2);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = Codec.write(randomHeartbeat(random), false);
            byte[] truncated = Arrays.copyOf(bytes, random.nextInt(bytes.length));
            assertNull(AgentCodec.decodeHeartbeat(truncated));
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            AgentCodec.decodeHeartbeat(bytes); // may still be a valid heartbeat, but must not throw
        }
        assertNull(AgentCodec.decodeHeartbeat(Codec.write(Codec.object().put("bothy", "n-1"), false)));
        assertNull(AgentCodec.decodeHeartbeat(Codec.write(Codec.array(), false)));
    }

    /**
     * Guards against a job without a team being accepted but never run: its record once held an empty team, which the
     * decoder rejected.
     */
    @Test
    void jobWithoutTeamIsDecodedFromItsEncoding() throws JobCodec.InvalidException {
        JobSpec spec = new JobSpec(
                "req-1",
                "c",
                "",
                false,
                JobSpec.Priority.LOW,
                3,
                1,
                0,
                1,
                null,
                null,
                false,
                false,
                true,
                "img",
                1,
                10,
                0,
                0,
                Double.NaN);
        assertEquals(spec, JobCodec.decode(JobCodec.encode(spec)));
    }

    /** Packed log entries are restored; text that is truncated, or isn't packed entries, is rejected. */
    @Test
    void packedEntriesAreDecodedAndMalformedOnesAreRejected() throws JobCodec.InvalidException {
        ObjectNode record = GraphLogCodec.encodeRecord(
                "req-1",
                List.of(
                        GraphLogCodec.graphSealed(),
                        GraphLogCodec.resultRecorded(7, Codec.object().put("value", "x"))));
        assertEquals(2, GraphLogCodec.decodeRecord(record).size());
        String packed = record.path("b").asText();
        for (String malformed : List.of("", "no base64!", packed.substring(0, packed.length() / 2), "AAAA")) {
            assertThrows(
                    JobCodec.InvalidException.class,
                    () -> GraphLogCodec.decodeRecord(Codec.object().put("b", malformed)),
                    malformed);
        }
    }
}
