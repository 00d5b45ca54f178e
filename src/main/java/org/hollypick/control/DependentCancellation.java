package org.hollypick.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.cluster.Keys;
import org.hollypick.cluster.View;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.io.Runtime;
import org.hollypick.records.Records;
import org.hollypick.state.StateClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Jobs that can never be done, since one that they need was cancelled. Every node tells so from the records of the
 * others alone; their own records follow here, many to a transaction and after everything that users wait for.
 */
final class DependentCancellation {
    private static final Logger LOG = LoggerFactory.getLogger(DependentCancellation.class);

    private final Runtime runtime;
    private final View view;
    private final StateClient state;
    private final Settings settings;
    private final long token;
    /** Jobs whose records aren't written yet, and the stamps that they have now. */
    private final Map<String, Long> waiting = new LinkedHashMap<>();

    private boolean writing;
    private long notBefore;

    DependentCancellation(Runtime runtime, View view, StateClient state, Settings settings, long token) {
        this.runtime = runtime;
        this.view = view;
        this.state = state;
        this.settings = settings;
        this.token = token;
    }

    void add(String id, long stamp) {
        waiting.put(id, stamp);
    }

    void flush() {
        waiting.keySet().removeIf(id -> {
            View.Entry e = view.get(Keys.job(id));
            return e != null && Records.isOver(e.data());
        });
        if (writing || waiting.isEmpty() || runtime.now() < notBefore || !state.spare()) {
            return;
        }
        StateClient.Txn txn = new StateClient.Txn().when(Keys.LEADER_RECORD, token);
        List<String> ending = new ArrayList<>();
        for (Map.Entry<String, Long> e : waiting.entrySet()) {
            if (ending.size() == settings.txnOps()) {
                break;
            }
            ending.add(e.getKey());
            txn.when(Keys.job(e.getKey()), e.getValue()).put(Keys.job(e.getKey()), Records.over(Records.ABORTED, 0));
        }
        writing = true;
        state.commit(txn, r -> {
            writing = false;
            LOG.info("cancelled with what they need jobs={} status={} token={}", ending, r.status(), token);
            if (r.ok()) {
                waiting.keySet().removeAll(ending);
            } else {
                // by then the view shows what was written otherwise
                notBefore = runtime.now() + ElectionConstants.SESSION_RETRY_MS;
            }
        });
    }
}
