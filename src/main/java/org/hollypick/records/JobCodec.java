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

/**
 * Encodes and decodes a job's specification. Submissions and stored records use the same field names. Stateless, any
 * thread.
 */
public final class JobCodec {
    private static final String ID = "name_id";
    private static final String JOB_CLASS = "jobkind";
    private static final String TEAM = "owner";
    /** {@link #BATCH} or {@link #SERVICE}. */
    private static final String KIND = "shape";

    private static final String BATCH = "batch";
    private static final String SERVICE = "standing";
    private static final String PRIORITY = "rank";
    private static final String PRIORITY_PRODUCTION = "prod";
    private static final String PRIORITY_HIGH = "urgent";
    private static final String PRIORITY_NORMAL = "standard";
    private static final String PRIORITY_LOW = "low";
    /** How many tasks the job has. */
    private static final String TASKS = "shards";

    private static final String CPUS = "cores";
    private static final String GPUS = "gpus";
    private static final String MEMORY_GB = "ram_gb";
    /** The machine types that the tasks may run on; absent for all. */
    private static final String MACHINE_TYPES = "flavours";
    /** The zone that the tasks have to run in; absent for any. */
    private static final String ZONE = "hall";
    /** Whether all tasks have to run in one zone. */
    private static final String ONE_ZONE = "together";
    /** Whether no zone may hold more than half of the tasks, rounded up. */
    private static final String SPREAD_OVER_ZONES = "spread";
    /** Whether the tasks may run on spot instances. */
    private static final String SPOT_ALLOWED = "lendable";

    private static final String IMAGE = "bundle";
    private static final String IMAGE_GB = "pull_gb";
    /** The expected run time of a task, in seconds. */
    private static final String ESTIMATE_SECONDS = "expect_s";
    /** Seconds between a task's checkpoints. */
    private static final String CHECKPOINT_INTERVAL_SECONDS = "bookmark_s";
    /** Seconds that a task needs to save its state. */
    private static final String CHECKPOINT_SAVE_SECONDS = "stow_s";
    /** The deadline, in seconds; absent for none. */
    private static final String DEADLINE_SECONDS = "due_s";
    /** In a submission: the ids of the jobs that have to complete before this one starts. */
    private static final String DEPENDENCIES = "awaits";

    private static final Pattern ID_PATTERN = Pattern.compile("req-[0-9]{1,18}");
    private static final double MAX_NUMBER = 1e9;
    private static final int MAX_TEXT_LENGTH = 200;

    private JobCodec() {}

    /**
     * Thrown if a specification or a stored record can't be decoded. For a specification, the message is the name of
     * the missing or invalid field.
     */
    public static final class InvalidException extends Exception {
        InvalidException(String message) {
            super(message);
        }
    }

    /** Whether {@code id} has the form of a job's id. */
    public static boolean isId(String id) {
        return ID_PATTERN.matcher(id).matches();
    }

    /** Decodes a submission, which has to name its team; stored records of earlier versions may have none. */
    public static JobSpec decodeSubmission(JsonNode body) throws InvalidException {
        decodeText(body, TEAM);
        return decode(body);
    }

    /** Decodes a specification; the exception names the first field that is missing or invalid. */
    public static JobSpec decode(JsonNode body) throws InvalidException {
        String id = decodeText(body, ID);
        if (!isId(id)) {
            throw new InvalidException(ID);
        }
        boolean service = decodeKind(body);
        Priority priority = decodePriority(body);
        int tasks = decodeTasks(body);
        Set<String> machineTypes = decodeMachineTypes(body);
        String zone = isAbsent(body.path(ZONE)) ? null : decodeText(body, ZONE);
        double deadlineSeconds =
                isAbsent(body.path(DEADLINE_SECONDS)) ? Double.NaN : decodeNumber(body, DEADLINE_SECONDS);
        double cpus = decodeNumber(body, CPUS);
        double gpus = decodeNumber(body, GPUS);
        double memoryGb = decodeNumber(body, MEMORY_GB);
        return new JobSpec(
                id,
                decodeText(body, JOB_CLASS),
                isAbsent(body.path(TEAM)) ? "" : decodeText(body, TEAM),
                service,
                priority,
                tasks,
                cpus,
                gpus,
                memoryGb,
                machineTypes,
                zone,
                decodeBoolean(body, ONE_ZONE),
                decodeBoolean(body, SPREAD_OVER_ZONES),
                decodeBoolean(body, SPOT_ALLOWED),
                decodeText(body, IMAGE),
                decodeNumber(body, IMAGE_GB),
                decodeNumber(body, ESTIMATE_SECONDS),
                decodeNumber(body, CHECKPOINT_INTERVAL_SECONDS),
                decodeNumber(body, CHECKPOINT_SAVE_SECONDS),
                deadlineSeconds);
    }

    private static boolean decodeKind(JsonNode body) throws InvalidException {
        return switch (decodeText(body, KIND)) {
            case BATCH -> false;
            case SERVICE -> true;
            default -> throw new InvalidException(KIND);
        };
    }

    /** Whether a stored specification is that of a service. */
    static boolean isService(JsonNode body) {
        return body.path(KIND).asText().equals(SERVICE);
    }

    private static int decodeTasks(JsonNode body) throws InvalidException {
        JsonNode tasks = body.path(TASKS);
        boolean valid = tasks.isIntegralNumber()
                && tasks.canConvertToInt()
                && tasks.asInt() >= 1
                && tasks.asInt() <= JobConstants.MAX_TASKS_PER_JOB;
        if (!valid) {
            throw new InvalidException(TASKS);
        }
        return tasks.asInt();
    }

    /** Decodes the machine types; null if the tasks may run on all of them. */
    private static Set<String> decodeMachineTypes(JsonNode body) throws InvalidException {
        JsonNode list = body.path(MACHINE_TYPES);
        if (isAbsent(list)) {
            return null;
        }
        if (!list.isArray() || list.isEmpty()) {
            throw new InvalidException(MACHINE_TYPES);
        }
        Set<String> machineTypes = new LinkedHashSet<>();
        for (JsonNode type : list) {
            if (!type.isTextual()) {
                throw new InvalidException(MACHINE_TYPES);
            }
            machineTypes.add(type.asText());
        }
        return machineTypes;
    }

    /** Decodes the ids of the jobs that have to complete before a submitted one starts, each once. */
    public static Set<String> decodeDependencies(JsonNode body) throws InvalidException {
        JsonNode list = body.path(DEPENDENCIES);
        Set<String> ids = new LinkedHashSet<>();
        if (isAbsent(list)) {
            return ids;
        }
        if (!list.isArray()) {
            throw new InvalidException(DEPENDENCIES);
        }
        for (JsonNode id : list) {
            if (!id.isTextual() || !isId(id.asText())) {
                throw new InvalidException(DEPENDENCIES);
            }
            ids.add(id.asText());
        }
        return ids;
    }

    /** Decodes the priority of a specification. */
    public static Priority decodePriority(JsonNode body) throws InvalidException {
        return switch (decodeText(body, PRIORITY)) {
            case PRIORITY_PRODUCTION -> Priority.PRODUCTION;
            case PRIORITY_HIGH -> Priority.HIGH;
            case PRIORITY_NORMAL -> Priority.NORMAL;
            case PRIORITY_LOW -> Priority.LOW;
            default -> throw new InvalidException(PRIORITY);
        };
    }

    private static String encode(Priority priority) {
        return switch (priority) {
            case PRODUCTION -> PRIORITY_PRODUCTION;
            case HIGH -> PRIORITY_HIGH;
            case NORMAL -> PRIORITY_NORMAL;
            case LOW -> PRIORITY_LOW;
        };
    }

    /** Encodes a specification, for the store and for other controllers. */
    public static ObjectNode encode(JobSpec spec) {
        ObjectNode body = Codec.object()
                .put(ID, spec.id())
                .put(JOB_CLASS, spec.jobClass())
                .put(TEAM, spec.team().isEmpty() ? null : spec.team())
                .put(KIND, spec.service() ? SERVICE : BATCH)
                .put(PRIORITY, encode(spec.priority()))
                .put(TASKS, spec.tasks())
                .put(CPUS, spec.cpus())
                .put(GPUS, spec.gpus())
                .put(MEMORY_GB, spec.memoryGb());
        if (spec.machineTypes() != null) {
            ArrayNode machineTypes = body.putArray(MACHINE_TYPES);
            spec.machineTypes().forEach(machineTypes::add);
        }
        if (spec.zone() != null) {
            body.put(ZONE, spec.zone());
        }
        body.put(ONE_ZONE, spec.oneZone())
                .put(SPREAD_OVER_ZONES, spec.spreadOverZones())
                .put(SPOT_ALLOWED, spec.spotAllowed())
                .put(IMAGE, spec.image())
                .put(IMAGE_GB, spec.imageGb())
                .put(ESTIMATE_SECONDS, spec.estimateS())
                .put(CHECKPOINT_INTERVAL_SECONDS, spec.checkpointIntervalS())
                .put(CHECKPOINT_SAVE_SECONDS, spec.checkpointSaveS());
        if (!Double.isNaN(spec.deadlineS())) {
            body.put(DEADLINE_SECONDS, spec.deadlineS());
        }
        return body;
    }

    private static boolean isAbsent(JsonNode value) {
        return value.isMissingNode() || value.isNull();
    }

    private static String decodeText(JsonNode body, String field) throws InvalidException {
        JsonNode value = body.path(field);
        if (!value.isTextual() || value.asText().isEmpty() || value.asText().length() > MAX_TEXT_LENGTH) {
            throw new InvalidException(field);
        }
        return value.asText();
    }

    private static double decodeNumber(JsonNode body, String field) throws InvalidException {
        JsonNode value = body.path(field);
        boolean valid = value.isNumber() && value.asDouble() >= 0 && value.asDouble() <= MAX_NUMBER;
        if (!valid) {
            throw new InvalidException(field);
        }
        return value.asDouble();
    }

    private static boolean decodeBoolean(JsonNode body, String field) throws InvalidException {
        JsonNode value = body.path(field);
        if (!value.isBoolean()) {
            throw new InvalidException(field);
        }
        return value.asBoolean();
    }
}
