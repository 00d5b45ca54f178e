package org.hollypick.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.BitSet;
import org.hollypick.api.JobCodec;
import org.hollypick.config.Constants;
import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;
import org.hollypick.core.ledger.Machine;
import org.hollypick.io.Codec;

/** What the durable records hold. */
public final class Records {
    public static final String DONE = "done";
    public static final String ABORTED = "aborted";

    private Records() {}

    public static ObjectNode live(JobSpec spec, long rosterStamp) {
        ObjectNode record = Codec.object().put("under", rosterStamp);
        record.set("spec", JobCodec.write(spec));
        return record;
    }

    /** A job that is over keeps only what users may ask. */
    public static ObjectNode over(Job job, String status) {
        return Codec.object().put("status", status).put("done", job.done.cardinality());
    }

    public static boolean isOver(JsonNode record) {
        return record.has("status");
    }

    public static JsonNode machine(Machine m) {
        return Codec.object().put("type", m.type.name()).put("zone", m.zone).put("spot", m.spot).put("addr", m.addr);
    }

    public static int chunks(int tasks) {
        return (tasks + Constants.PROGRESS_CHUNK - 1) / Constants.PROGRESS_CHUNK;
    }

    public static String text(BitSet bits) {
        return Base64.getEncoder().encodeToString(bits.toByteArray());
    }

    public static BitSet bits(JsonNode text) {
        return BitSet.valueOf(Base64.getDecoder().decode(text.asText("")));
    }
}
