package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.regex.Pattern;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.core.JobSpec;
import org.hollypick.core.JobSpec.Priority;
import org.hollypick.io.Codec;

/** The users' wire names, and the job's record, which uses them too. */
public final class JobCodec {
    private static final Pattern ID = Pattern.compile("req-[0-9]{1,18}");
    private static final double AMOUNT_MAX = 1e9;

    private JobCodec() {}

    /** A field that is missing or invalid. */
    public static final class Invalid extends Exception {
        Invalid(String message) {
            super(message);
        }
    }

    public static boolean isId(String id) {
        return ID.matcher(id).matches();
    }

    /** A submission. It has to name its team; records without one, of earlier versions, stay readable. */
    public static JobSpec submission(JsonNode b) throws Invalid {
        text(b, "owner");
        return read(b);
    }

    public static JobSpec read(JsonNode b) throws Invalid {
        String id = text(b, "name_id");
        if (!isId(id)) {
            throw new Invalid("name_id");
        }
        boolean service = switch (text(b, "shape")) {
            case "batch" -> false;
            case "standing" -> true;
            default -> throw new Invalid("shape");
        };
        Priority rank = rank(b);
        JsonNode tasks = b.path("shards");
        if (!tasks.isIntegralNumber()
                || !tasks.canConvertToInt()
                || tasks.asInt() < 1
                || tasks.asInt() > JobConstants.MAX_TASKS_PER_JOB) {
            throw new Invalid("shards");
        }
        Set<String> types = null;
        if (!absent(b.path("flavours"))) {
            types = new LinkedHashSet<>();
            if (!b.path("flavours").isArray() || b.path("flavours").isEmpty()) {
                throw new Invalid("flavours");
            }
            for (JsonNode t : b.path("flavours")) {
                if (!t.isTextual()) {
                    throw new Invalid("flavours");
                }
                types.add(t.asText());
            }
        }
        String zone = absent(b.path("hall")) ? null : text(b, "hall");
        double due = absent(b.path("due_s")) ? Double.NaN : amount(b, "due_s");
        double cpus = amount(b, "cores");
        double gpus = amount(b, "gpus");
        double memory = amount(b, "ram_gb");
        return new JobSpec(
                id,
                text(b, "jobkind"),
                absent(b.path("owner")) ? "" : text(b, "owner"),
                service,
                rank,
                tasks.asInt(),
                cpus,
                gpus,
                memory,
                types,
                zone,
                flag(b, "together"),
                flag(b, "spread"),
                flag(b, "lendable"),
                text(b, "bundle"),
                amount(b, "pull_gb"),
                amount(b, "expect_s"),
                amount(b, "bookmark_s"),
                amount(b, "stow_s"),
                due);
    }

    /** The jobs that have to be done before this one starts, each once. */
    public static Set<String> awaits(JsonNode b) throws Invalid {
        JsonNode list = b.path("awaits");
        Set<String> ids = new LinkedHashSet<>();
        if (absent(list)) {
            return ids;
        }
        if (!list.isArray()) {
            throw new Invalid("awaits");
        }
        for (JsonNode id : list) {
            if (!id.isTextual() || !isId(id.asText())) {
                throw new Invalid("awaits");
            }
            ids.add(id.asText());
        }
        return ids;
    }

    public static Priority rank(JsonNode b) throws Invalid {
        return switch (text(b, "rank")) {
            case "prod" -> Priority.PRODUCTION;
            case "urgent" -> Priority.HIGH;
            case "standard" -> Priority.NORMAL;
            case "low" -> Priority.LOW;
            default -> throw new Invalid("rank");
        };
    }

    public static ObjectNode write(JobSpec spec) {
        ObjectNode b = Codec.object()
                .put("name_id", spec.id())
                .put("jobkind", spec.jobClass())
                .put("owner", spec.team().isEmpty() ? null : spec.team())
                .put("shape", spec.service() ? "standing" : "batch")
                .put(
                        "rank",
                        switch (spec.priority()) {
                            case PRODUCTION -> "prod";
                            case HIGH -> "urgent";
                            case NORMAL -> "standard";
                            case LOW -> "low";
                        })
                .put("shards", spec.tasks())
                .put("cores", spec.cpus())
                .put("gpus", spec.gpus())
                .put("ram_gb", spec.memory());
        if (spec.types() != null) {
            ArrayNode types = b.putArray("flavours");
            spec.types().forEach(types::add);
        }
        if (spec.zone() != null) {
            b.put("hall", spec.zone());
        }
        b.put("together", spec.oneZone())
                .put("spread", spec.spread())
                .put("lendable", spec.spot())
                .put("bundle", spec.image())
                .put("pull_gb", spec.imageGb())
                .put("expect_s", spec.estimateS())
                .put("bookmark_s", spec.checkpointS())
                .put("stow_s", spec.saveS());
        if (!Double.isNaN(spec.dueS())) {
            b.put("due_s", spec.dueS());
        }
        return b;
    }

    private static boolean absent(JsonNode n) {
        return n.isMissingNode() || n.isNull();
    }

    private static String text(JsonNode b, String field) throws Invalid {
        JsonNode n = b.path(field);
        if (!n.isTextual() || n.asText().isEmpty() || n.asText().length() > 200) {
            throw new Invalid(field);
        }
        return n.asText();
    }

    private static double amount(JsonNode b, String field) throws Invalid {
        JsonNode n = b.path(field);
        if (!n.isNumber() || !(n.asDouble() >= 0) || n.asDouble() > AMOUNT_MAX) {
            throw new Invalid(field);
        }
        return n.asDouble();
    }

    private static boolean flag(JsonNode b, String field) throws Invalid {
        JsonNode n = b.path(field);
        if (!n.isBoolean()) {
            throw new Invalid(field);
        }
        return n.asBoolean();
    }
}
