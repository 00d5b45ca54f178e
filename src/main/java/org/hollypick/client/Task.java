package org.hollypick.client;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * What a node's task takes and where it may run; whatever isn't set is as the graph's defaults say. Not thread-safe.
 */
public final class Task {
    private final ObjectNode fields = JsonNodeFactory.instance.objectNode();

    /** CPU cores. */
    public Task cores(double cores) {
        fields.put(WireFields.CPUS, cores);
        return this;
    }

    /** GPUs. */
    public Task gpus(double gpus) {
        fields.put(WireFields.GPUS, gpus);
        return this;
    }

    /** Memory in GB. */
    public Task memoryGb(double gb) {
        fields.put(WireFields.MEMORY_GB, gb);
        return this;
    }

    /** The image, and its size in GB. */
    public Task image(String name, double gb) {
        fields.put(WireFields.IMAGE, name).put(WireFields.IMAGE_GB, gb);
        return this;
    }

    /** How long it probably runs. */
    public Task expectSeconds(double seconds) {
        fields.put(WireFields.ESTIMATE_S, seconds);
        return this;
    }

    /** It writes a checkpoint by itself after so many seconds of progress, and needs that long for it. */
    public Task checkpoints(double everySeconds, double savingSeconds) {
        fields.put(WireFields.CHECKPOINT_INTERVAL_S, everySeconds).put(WireFields.CHECKPOINT_SAVE_S, savingSeconds);
        return this;
    }

    /** The only zone in which it may run. */
    public Task zone(String zone) {
        fields.put(WireFields.ZONE, zone);
        return this;
    }

    /** The only machine types on which it may run. */
    public Task machineTypes(List<String> types) {
        types.forEach(fields.putArray(WireFields.MACHINE_TYPES)::add);
        return this;
    }

    /** Whether it may run on spot instances. */
    public Task spot(boolean allowed) {
        fields.put(WireFields.SPOT, allowed);
        return this;
    }

    ObjectNode fields() {
        return fields.deepCopy();
    }
}
