package org.hollypick.client;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** What a node's task takes; whatever isn't set is as the graph's defaults say. */
public final class Task {
    private final ObjectNode fields = JsonNodeFactory.instance.objectNode();

    public Task cores(double cores) {
        fields.put("cores", cores);
        return this;
    }

    public Task gpus(double gpus) {
        fields.put("gpus", gpus);
        return this;
    }

    public Task memoryGb(double gb) {
        fields.put("ram_gb", gb);
        return this;
    }

    /** The image, and its size. */
    public Task image(String name, double gb) {
        fields.put("bundle", name).put("pull_gb", gb);
        return this;
    }

    /** How long it probably runs. */
    public Task expectSeconds(double seconds) {
        fields.put("expect_s", seconds);
        return this;
    }

    /** It saves by itself after so many seconds of progress, and needs that long for it. */
    public Task checkpoints(double everySeconds, double savingSeconds) {
        fields.put("bookmark_s", everySeconds).put("stow_s", savingSeconds);
        return this;
    }

    public Task zone(String zone) {
        fields.put("hall", zone);
        return this;
    }

    public Task machineTypes(List<String> types) {
        types.forEach(fields.putArray("flavours")::add);
        return this;
    }

    /** Whether it may run on machines that can be taken back. */
    public Task spot(boolean allowed) {
        fields.put("lendable", allowed);
        return this;
    }

    ObjectNode fields() {
        return fields.deepCopy();
    }
}
