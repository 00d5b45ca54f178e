package org.hollypick.control.graphs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.config.constants.GraphConstants;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.io.EventLoop;
import org.hollypick.records.GraphRecords;
import org.hollypick.records.Records;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One graph's log: entries in their order, as many to a record and records to a transaction as fit, one transaction at
 * a time. Each is conditional on the token and on the graph's own record, under keys that were never used; while its
 * outcome isn't known the very same one is sent again.
 */
final class GraphLog {
    private static final Logger LOG = LoggerFactory.getLogger(GraphLog.class);

    private final EventLoop eventLoop;
    private final Settings settings;
    private final KeyValueStoreClient store;
    private final String id;
    private final long token;
    private final LongSupplier numbers;
    private final int room;
    private final ArrayDeque<Entry> unwritten = new ArrayDeque<>();
    private boolean writing;
    private long notBefore;

    /** Something to be recorded, and who wants to know when it is; without {@code op} only that all before it is. */
    private record Entry(ObjectNode op, int bytes, Runnable durable) {}

    /** {@code numbers}: each number once in this term. */
    GraphLog(
            EventLoop eventLoop,
            Settings settings,
            KeyValueStoreClient store,
            String id,
            long token,
            LongSupplier numbers) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.store = store;
        this.id = id;
        this.token = token;
        this.numbers = numbers;
        this.room = Records.room(settings);
    }

    void add(ObjectNode op, Runnable durable) {
        unwritten.add(new Entry(op, packed(op), durable));
    }

    /** Runs once all that was added so far is durable. */
    void then(Runnable durable) {
        if (unwritten.isEmpty()) {
            durable.run();
        } else {
            unwritten.add(new Entry(null, 0, durable));
        }
    }

    int size() {
        return unwritten.size();
    }

    boolean isEmpty() {
        return unwritten.isEmpty();
    }

    /** Whether an entry fits a record by itself. */
    boolean fits(ObjectNode op) {
        return packed(op) <= room;
    }

    private int packed(ObjectNode op) {
        return Records.bytes(GraphRecords.record(id, List.of(op)));
    }

    /**
     * Writes what there is, unless a write is under way; {@code order}: the stamp of the graph's own record;
     * {@code written} hears of each success.
     */
    void flush(long order, Runnable written) {
        if (writing || unwritten.isEmpty() || eventLoop.now() < notBefore || store.shouldShedWrite()) {
            return;
        }
        int most = Math.min(settings.txnOps(), NetworkConstants.MAX_BODY_BYTES * 3 / 4 / settings.valueBytes());
        List<Entry> taken = new ArrayList<>();
        List<List<ObjectNode>> records = new ArrayList<>();
        int left = 0;
        for (Entry e : unwritten) {
            if (e.op != null) {
                if (left < e.bytes) {
                    if (records.size() == most) {
                        break;
                    }
                    records.add(new ArrayList<>());
                    left = room;
                }
                records.get(records.size() - 1).add(e.op);
                left -= e.bytes;
            }
            taken.add(e);
        }
        if (records.isEmpty()) { // who only wanted to know was added while the last entry was being written
            taken.forEach(e -> unwritten.poll().durable.run());
            return;
        }
        CompareAndSwap txn = new CompareAndSwap()
                .expectRevision(StoreKeys.LEADER_RECORD, token)
                .expectRevision(StoreKeys.job(id), order);
        for (List<ObjectNode> ops : records) {
            String key = StoreKeys.graphLog(id, token, numbers.getAsLong());
            txn.expectAbsent(key).put(key, GraphRecords.record(id, ops));
        }
        writing = true;
        commit(txn, taken, written);
    }

    /** The same keys again until the outcome is known: a second copy of an entry may never stand beside the first. */
    private void commit(CompareAndSwap txn, List<Entry> taken, Runnable written) {
        store.commit(txn, r -> {
            if (r.ok() || (r.status() == 409 && onlyOwnKeys(r.body()))) { // an earlier try was carried out after all
                writing = false;
                notBefore = eventLoop.now() + GraphConstants.GRAPH_WRITE_GAP_MS;
                for (Entry e : taken) {
                    unwritten.poll();
                    e.durable.run();
                }
                written.run();
            } else if (r.status() == 409 || r.status() == 400) {
                // Another leader, or the graph is over: nothing more is recorded, and callers hear nothing good.
                if (r.status() == 400) {
                    LOG.error("record of a graph refused graph={}", id);
                }
                notBefore = Long.MAX_VALUE;
                writing = false;
            } else {
                eventLoop.after(ElectionConstants.SESSION_RETRY_MS, () -> commit(txn, taken, written));
            }
        });
    }

    private static boolean onlyOwnKeys(JsonNode body) {
        for (JsonNode failed : body.path("failed")) {
            if (!failed.asText().startsWith(StoreKeys.GRAPH_LOG)) {
                return false;
            }
        }
        return true;
    }
}
