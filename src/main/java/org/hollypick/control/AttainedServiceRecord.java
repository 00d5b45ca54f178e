package org.hollypick.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.hollypick.cluster.Keys;
import org.hollypick.cluster.View;
import org.hollypick.config.Settings;
import org.hollypick.core.Scheduler;
import org.hollypick.io.Codec;
import org.hollypick.records.Records;
import org.hollypick.state.StateClient;

/** Tyrex's partial sizes: one value a controller, written now and then, taken over by the next leader. */
final class AttainedServiceRecord {
    private final View view;
    private final Settings settings;
    private final StateClient state;
    private final Scheduler scheduler;
    private String last = "";

    AttainedServiceRecord(View view, Settings settings, StateClient state, Scheduler scheduler) {
        this.view = view;
        this.settings = settings;
        this.state = state;
        this.scheduler = scheduler;
    }

    void load() {
        Map<String, Double> sizes = new HashMap<>();
        view.entries().forEach((key, e) -> {
            if (key.startsWith(Keys.SIZES)) {
                e.data()
                        .path("sizes")
                        .fields()
                        .forEachRemaining(
                                f -> sizes.put(f.getKey(), f.getValue().asDouble()));
            }
        });
        scheduler.jobs.forEach((id, job) -> {
            if (sizes.containsKey(id)) {
                scheduler.restoreSize(job, sizes.get(id));
            }
        });
    }

    void write() {
        ObjectNode record = Codec.object();
        ObjectNode sizes = record.putObject("sizes");
        // The value limit bounds it, the largest first; a size that is left out restarts at zero after a takeover.
        int left = Records.room(settings) - Records.bytes(record);
        for (Map.Entry<String, Double> e : scheduler.sizes().entrySet().stream()
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
            state.commit(
                    new StateClient.Txn()
                            .when(Keys.LEADER_RECORD, scheduler.token)
                            .put(Keys.sizes(settings.node()), record),
                    r -> {
                        if (r.ok()) {
                            last = text;
                        }
                    });
        }
    }
}
