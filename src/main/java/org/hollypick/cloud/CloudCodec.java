package org.hollypick.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.core.MachineType;
import org.hollypick.io.Codec;
import org.hollypick.io.Response;

/** Encodes and decodes the cloud's messages. The cloud's field names differ from the code's and occur only here. */
final class CloudCodec {
    /** Paths of the cloud's API. */
    static final String PATH_MACHINE_TYPES = "/machine_types";

    static final String PATH_INSTANCES = "/hosts";
    static final String PATH_TERMINATE = "/hosts/return";

    /** The machine types that the cloud offers. */
    private static final String MACHINE_TYPES = "flavours";
    /** The name of a machine type in the list of types. */
    private static final String MACHINE_TYPE_NAME = "sku";
    /** The zones in which a machine type is available. */
    private static final String ZONES = "halls";

    private static final String CPUS = "cores";
    private static final String GPUS = "gpus";
    private static final String MEMORY_GB = "ram_gb";
    /** Storage for container images. */
    private static final String IMAGE_CACHE_GB = "cache_gb";
    /** Rate at which images are pulled. */
    private static final String PULL_GB_PER_SECOND = "pull_gb_per_s";
    /** Price per hour of an on-demand machine. */
    private static final String ON_DEMAND_PRICE = "price";
    /** Price per hour of a spot machine. */
    private static final String SPOT_PRICE = "market_price";
    /** Usual time from the scale-out request until the agent runs. */
    private static final String BOOT_SECONDS = "ready_s";

    /** The idempotency key of a scale-out request. */
    private static final String REQUEST_ID = "hire";
    /** The machine type of a machine. */
    private static final String MACHINE_TYPE = "flavour";
    /** The zone of a machine. */
    private static final String ZONE = "hall";
    /** Whether a machine is a spot instance. */
    private static final String SPOT = "lendable";
    /** The number of machines requested. */
    private static final String COUNT = "number";
    /** Machines: ids in a scale-out response and in a request to terminate machines, objects in a list. */
    private static final String MACHINES = "bothies";

    private static final String MACHINE_ID = "name_id";
    private static final String ADDRESS = "addr";
    private static final String STATUS = "status";
    private static final String STATUS_RUNNING = "running";
    private static final String STATUS_FAILED = "failed";
    private static final String AGE_SECONDS = "age_s";
    /** Whether more machines follow a page of the list. */
    private static final String TRUNCATED = "truncated";

    private static final int HTTP_SERVICE_UNAVAILABLE = 503;

    private CloudCodec() {}

    /** @param after the machine id after which the page begins; null for the first page */
    static String instancesPath(int pageSize, String after) {
        return PATH_INSTANCES + "?page=" + pageSize + (after == null ? "" : "&from=" + after);
    }

    /** The machine types by name, in the cloud's order. */
    static Map<String, MachineType> machineTypes(JsonNode body) {
        Map<String, MachineType> types = new LinkedHashMap<>();
        for (JsonNode node : body.path(MACHINE_TYPES)) {
            MachineType type = machineType(node);
            types.put(type.name(), type);
        }
        return types;
    }

    private static MachineType machineType(JsonNode node) {
        Set<String> zones = new LinkedHashSet<>();
        node.path(ZONES).forEach(zone -> zones.add(zone.asText()));
        return new MachineType(
                node.path(MACHINE_TYPE_NAME).asText(),
                node.path(CPUS).asDouble(),
                node.path(GPUS).asDouble(),
                node.path(MEMORY_GB).asDouble(),
                node.path(IMAGE_CACHE_GB).asDouble(),
                node.path(PULL_GB_PER_SECOND).asDouble(1),
                node.path(ON_DEMAND_PRICE).asDouble(),
                node.path(SPOT_PRICE).asDouble(),
                node.path(BOOT_SECONDS).asDouble(),
                zones);
    }

    static ObjectNode scaleOut(ScaleOutRequest request) {
        return Codec.object()
                .put(REQUEST_ID, request.requestId())
                .put(MACHINE_TYPE, request.type())
                .put(ZONE, request.zone())
                .put(SPOT, request.spot())
                .put(COUNT, request.count());
    }

    static ScaleOutResult scaleOutResult(Response response) {
        List<String> machineIds = new ArrayList<>();
        response.body().path(MACHINES).forEach(id -> machineIds.add(id.asText()));
        return new ScaleOutResult(outcome(response), response.status(), machineIds);
    }

    private static ScaleOutResult.Outcome outcome(Response response) {
        if (response.ok()) {
            return ScaleOutResult.Outcome.GRANTED;
        }
        if (response.failedWith(Response.Failure.NO_RESPONSE)) {
            return ScaleOutResult.Outcome.NO_RESPONSE;
        }
        return response.status() == HTTP_SERVICE_UNAVAILABLE
                ? ScaleOutResult.Outcome.OUT_OF_CAPACITY
                : ScaleOutResult.Outcome.FAILED;
    }

    static ObjectNode terminate(Collection<String> machineIds) {
        ObjectNode body = Codec.object();
        ArrayNode ids = body.putArray(MACHINES);
        machineIds.forEach(ids::add);
        return body;
    }

    static InstancePage instancePage(JsonNode body) {
        List<Instance> instances = new ArrayList<>();
        body.path(MACHINES).forEach(node -> instances.add(instance(node)));
        return new InstancePage(instances, body.path(TRUNCATED).asBoolean());
    }

    private static Instance instance(JsonNode node) {
        return new Instance(
                node.path(MACHINE_ID).asText(),
                node.path(MACHINE_TYPE).asText(),
                node.path(ZONE).asText(),
                node.path(SPOT).asBoolean(),
                node.path(ADDRESS).asText(""),
                status(node.path(STATUS).asText()),
                node.path(AGE_SECONDS).asDouble());
    }

    private static Instance.Status status(String text) {
        return switch (text) {
            case STATUS_RUNNING -> Instance.Status.RUNNING;
            case STATUS_FAILED -> Instance.Status.FAILED;
            default -> Instance.Status.OTHER;
        };
    }
}
