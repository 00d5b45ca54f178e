package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;
import org.hollypick.core.assignment.Machine;
import org.hollypick.io.Codec;

/** One machine as it is stored in a record of registered machines. Stateless, any thread. */
public final class MachineRecordCodec {
    private static final String TYPE = "type";
    private static final String ZONE = "zone";
    private static final String SPOT = "spot";
    private static final String ADDRESS = "addr";

    private MachineRecordCodec() {}

    /**
     * What is stored of a machine.
     *
     * @param address the host and port of its agent; empty if no record names it
     */
    public record MachineRecord(String typeName, String zone, boolean spot, String address) {}

    /** The stored form of a machine. */
    public static JsonNode encode(Machine machine) {
        return Codec.object()
                .put(TYPE, machine.type.name())
                .put(ZONE, machine.zone)
                .put(SPOT, machine.spot)
                .put(ADDRESS, machine.address());
    }

    /** What the stored form says of a machine. */
    public static MachineRecord decode(JsonNode record) {
        return new MachineRecord(
                record.path(TYPE).asText(),
                record.path(ZONE).asText(),
                record.path(SPOT).asBoolean(),
                record.path(ADDRESS).asText(""));
    }
}
