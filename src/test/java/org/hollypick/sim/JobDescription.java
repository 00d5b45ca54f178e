package org.hollypick.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.hollypick.io.Codec;

/** Builds descriptions of batch jobs as users submit them. */
final class JobDescription {
    static final String DEFAULT_TEAM = "team";
    static final String DEFAULT_IMAGE = "img-0";

    private JobDescription() {}

    /** A batch job of one-core tasks, with the default team and image. */
    static ObjectNode batch(String id, int tasks, double seconds) {
        return batch(id, UserProtocol.BATCH, DEFAULT_TEAM, "standard", tasks, DEFAULT_IMAGE, seconds);
    }

    /** A batch job of one-core tasks; {@code seconds}: the expected run time of each task. */
    static ObjectNode batch(
            String id, String kind, String team, String priority, int tasks, String image, double seconds) {
        return Codec.object()
                .put(UserProtocol.JOB_ID, id)
                .put(UserProtocol.JOB_CLASS, kind)
                .put(UserProtocol.TEAM, team)
                .put(UserProtocol.KIND, UserProtocol.BATCH)
                .put(UserProtocol.PRIORITY, priority)
                .put(UserProtocol.TASK_COUNT, tasks)
                .put(UserProtocol.CORES, 1.0)
                .put(UserProtocol.GPUS, 0.0)
                .put(UserProtocol.MEMORY_GB, 2.0)
                .put(UserProtocol.GANG, false)
                .put(UserProtocol.SPREAD, false)
                .put(UserProtocol.PREEMPTIBLE, true)
                .put(UserProtocol.IMAGE, image)
                .put(UserProtocol.IMAGE_GB, 1.0)
                .put(UserProtocol.EXPECTED_S, seconds)
                .put(UserProtocol.CHECKPOINT_INTERVAL_S, 0.0)
                .put(UserProtocol.CHECKPOINT_SAVE_S, 0.0);
    }

    /** A stage of a pipeline: a batch job that depends on the given jobs. */
    static ObjectNode stage(String id, String priority, int tasks, double seconds, List<String> dependencies) {
        ObjectNode job = batch(id, "stage", DEFAULT_TEAM, priority, tasks, DEFAULT_IMAGE, seconds);
        dependencies.forEach(job.putArray(UserProtocol.DEPENDENCIES)::add);
        return job;
    }

    static String id(ObjectNode job) {
        return job.path(UserProtocol.JOB_ID).asText();
    }
}
