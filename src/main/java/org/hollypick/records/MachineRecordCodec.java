package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;
import org.hollypick.core.assignment.Machine;
import org.hollypick.io.Codec;

/** Encodes and decodes one machine in a record of registered machines. Stateless, any thread. */
public final class MachineRecordCodec {
    private static final String TYPE = "type";
    private static final String ZONE = "zone";
    private static final String SPOT = "spot";
    private static final String ADDRESS = "addr";

    private MachineRecordCodec() {}

    /**
     * The stored properties of a machine.
     *
     * @param typeName the name of the machine type
     * @param spot whether the machine is a spot instance
     * @param address the host and port of the machine's agent; empty if the record has none
     */
    public record MachineRecord(String typeName, String zone, boolean spot, String address) {}

    /** Encodes a machine. */
    public static JsonNode encode(Machine machine) {
        return Codec.object()
                .put(TYPE, machine.type.name())
                .put(ZONE, machine.zone)
                .put(SPOT, machine.spot)
                .put(ADDRESS, machine.address());
    }

    /** Decodes a machine; a field that is missing is empty or false. */
    public static MachineRecord decode(JsonNode record) {
        return new MachineRecord(
                record.path(TYPE).asText(),
                record.path(ZONE).asText(),
                record.path(SPOT).asBoolean(),
                record.path(ADDRESS).asText(""));
    }
}
