package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.core.JobSpec;
import org.hollypick.core.assignment.Machine;
import org.hollypick.io.Codec;

/** What the durable records hold. */
public final class Records {
    private static final String AWAITS = "awaits";
    private static final String MORE = "awaits_in";

    private Records() {}

    /** Bytes that a value may have, by this program's count. */
    public static int room(Settings settings) {
        return (int) (settings.valueBytes() * StoreConstants.USABLE_VALUE_SHARE);
    }

    public static int bytes(JsonNode value) {
        return Codec.write(value, true).length;
    }

    // ---- jobs ----

    /** Further records of what a job awaits, by their keys' common beginning. */
    public record More(String key, List<List<String>> parts) {
        public String key(int part) {
            return partKey(key, part);
        }
    }

    /** {@code more}: null if the job's own record holds everything that it awaits. */
    public static ObjectNode live(JobSpec spec, long leaderRecordRevision, Collection<String> awaits, More more) {
        ObjectNode record = Codec.object().put("under", leaderRecordRevision);
        record.set("spec", JobCodec.write(spec));
        if (!awaits.isEmpty()) {
            record.set(AWAITS, awaited(awaits));
        }
        if (more != null) {
            record.putObject(MORE).put("key", more.key).put("parts", more.parts.size());
        }
        return record;
    }

    private static String partKey(String key, int part) {
        return key + "/" + part;
    }

    private static ArrayNode awaited(Collection<String> ids) {
        ArrayNode list = Codec.array();
        ids.forEach(list::add);
        return list;
    }

    /**
     * All that a live job awaits. Of a part that isn't there the key stands in: no such job is ever done, so nothing
     * starts.
     */
    public static List<String> awaits(JsonNode record, StoreReplica replica) {
        List<String> ids = new ArrayList<>();
        record.path(AWAITS).forEach(id -> ids.add(id.asText()));
        JsonNode more = record.path(MORE);
        for (int i = 0; i < more.path("parts").asInt(); i++) {
            String key = partKey(more.path("key").asText(), i);
            StoreReplica.Entry part = replica.get(key);
            if (part == null) {
                ids.add(key);
            } else {
                part.data().path(AWAITS).forEach(id -> ids.add(id.asText()));
            }
        }
        return ids;
    }

    /** One further record of what a job awaits. */
    public static ObjectNode part(Collection<String> ids) {
        ObjectNode part = Codec.object();
        part.set(AWAITS, awaited(ids));
        return part;
    }

    /** A job that is over keeps only what users may ask. */
    public static ObjectNode over(TerminalStatus status, int done) {
        return Codec.object().put("status", status.wireName()).put("done", done);
    }

    public static boolean isOver(JsonNode record) {
        return record.has("status");
    }

    public static TerminalStatus status(JsonNode record) {
        return TerminalStatus.ofStored(record.path("status").asText());
    }

    /** Tasks that were done when the job came to its terminal state. */
    public static int completedTasks(JsonNode record) {
        return record.path("done").asInt();
    }

    public static JobSpec.Priority rank(JsonNode record) throws JobCodec.Invalid {
        return JobCodec.rank(GraphRecordCodec.isGraph(record) ? GraphRecordCodec.base(record) : record.path("spec"));
    }

    public static boolean isService(JsonNode record) {
        return record.path("spec").path("shape").asText().equals("standing");
    }

    // ---- machines and progress ----

    public static JsonNode machine(Machine machine) {
        return Codec.object()
                .put("type", machine.type.name())
                .put("zone", machine.zone)
                .put("spot", machine.spot)
                .put("addr", machine.address);
    }

    public static String text(BitSet bits) {
        return Base64.getEncoder().encodeToString(bits.toByteArray());
    }

    public static BitSet bits(JsonNode text) {
        return BitSet.valueOf(Base64.getDecoder().decode(text.asText("")));
    }
}
