package org.hollypick.client;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * The resources and placement constraints of a node's task; the graph's defaults apply to unset fields. Not
 * thread-safe.
 */
public final class Task {
    private final ObjectNode fields = JsonNodeFactory.instance.objectNode();

    /** Sets the number of CPU cores. */
    public Task cores(double cores) {
        fields.put(WireFields.CPUS, cores);
        return this;
    }

    /** Sets the number of GPUs. */
    public Task gpus(double gpus) {
        fields.put(WireFields.GPUS, gpus);
        return this;
    }

    /** Sets the memory in GB. */
    public Task memoryGb(double gb) {
        fields.put(WireFields.MEMORY_GB, gb);
        return this;
    }

    /** Sets the name of the image and its size in GB. */
    public Task image(String name, double gb) {
        fields.put(WireFields.IMAGE, name).put(WireFields.IMAGE_GB, gb);
        return this;
    }

    /** Sets the expected run time. */
    public Task expectSeconds(double seconds) {
        fields.put(WireFields.ESTIMATE_S, seconds);
        return this;
    }

    /**
     * Declares that the task writes a checkpoint after each {@code everySeconds} of progress, within
     * {@code savingSeconds}.
     */
    public Task checkpoints(double everySeconds, double savingSeconds) {
        fields.put(WireFields.CHECKPOINT_INTERVAL_S, everySeconds).put(WireFields.CHECKPOINT_SAVE_S, savingSeconds);
        return this;
    }

    /** Restricts the task to a zone. */
    public Task zone(String zone) {
        fields.put(WireFields.ZONE, zone);
        return this;
    }

    /** Restricts the task to some machine types. */
    public Task machineTypes(List<String> types) {
        types.forEach(fields.putArray(WireFields.MACHINE_TYPES)::add);
        return this;
    }

    /** Sets whether the task may run on spot instances. */
    public Task spot(boolean allowed) {
        fields.put(WireFields.SPOT, allowed);
        return this;
    }

    ObjectNode fields() {
        return fields.deepCopy();
    }
}
