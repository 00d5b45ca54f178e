package org.hollypick.control.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.core.Job;
import org.hollypick.core.Scheduler;
import org.hollypick.io.Codec;
import org.hollypick.records.Records;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;

/** Tyrex's partial sizes: one value a controller, written now and then, taken over by the next leader. */
public final class AttainedServiceStore {
    private final StoreReplica replica;
    private final Settings settings;
    private final KeyValueStoreClient store;
    private final Scheduler scheduler;
    private String last = "";

    /** Reads from {@code replica} and writes under the scheduler's fencing token. */
    public AttainedServiceStore(
            StoreReplica replica, Settings settings, KeyValueStoreClient store, Scheduler scheduler) {
        this.replica = replica;
        this.settings = settings;
        this.store = store;
        this.scheduler = scheduler;
    }

    /** Restores the attained service that earlier leaders recorded for the live jobs. */
    public void load() {
        Map<String, Double> sizes = new HashMap<>();
        replica.entries().forEach((key, e) -> {
            if (key.startsWith(StoreKeys.SIZES)) {
                e.data()
                        .path("sizes")
                        .fields()
                        .forEachRemaining(
                                f -> sizes.put(f.getKey(), f.getValue().asDouble()));
            }
        });
        for (Job job : scheduler.jobs()) {
            Double recorded = sizes.get(job.spec.id());
            if (recorded != null) {
                scheduler.restoreAttainedService(job, recorded);
            }
        }
    }

    /** Writes the attained service of the live jobs, if it changed since the last successful write. */
    public void write() {
        ObjectNode record = Codec.object();
        ObjectNode sizes = record.putObject("sizes");
        // The value limit bounds it, the largest first; a size that is left out restarts at zero after a takeover.
        int left = Records.room(settings) - Records.bytes(record);
        for (Map.Entry<String, Double> e : scheduler.attainedService().entrySet().stream()
                .sorted((x, y) -> Double.compare(Math.abs(y.getValue()), Math.abs(x.getValue())))
                .toList()) {
            double size = Math.round(e.getValue() * 10) / 10.0;
            left -= e.getKey().length() + Double.toString(size).length() + 4; // quotes, colon and comma
            if (left < 0) {
                break;
            }
            sizes.put(e.getKey(), size);
        }
        String text = record.toString();
        if (!text.equals(last)) {
            store.commit(
                    new CompareAndSwap()
                            .expectRevision(StoreKeys.LEADER_RECORD, scheduler.token())
                            .put(StoreKeys.sizes(settings.node()), record),
                    r -> {
                        if (r.ok()) {
                            last = text;
                        }
                    });
        }
    }
}
