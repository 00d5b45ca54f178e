package org.hollypick.control.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.EstimateConstants;
import org.hollypick.core.Scheduler;
import org.hollypick.core.estimate.Estimates;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.records.Records;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What was learned of run times, kept for the next leader: kinds by hash in a few records, one written now and then
 * after everything else. Each write is conditional on the leader record and on the record that it replaces, so one that
 * is applied late takes nothing back.
 */
public final class RuntimeStatisticsStore {
    private static final Logger LOG = LoggerFactory.getLogger(RuntimeStatisticsStore.class);

    private final EventLoop eventLoop;
    private final StoreReplica replica;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final long token;
    private final Estimates estimates;
    /** By record: its kinds, the one that learned last at the end, and whether one learned since the last write. */
    private final List<LinkedHashMap<String, Boolean>> slots = new ArrayList<>();

    private long nextWrite;
    private int nextSlot;

    /** Reads from {@code replica} and writes under the scheduler's fencing token. */
    public RuntimeStatisticsStore(
            EventLoop eventLoop,
            StoreReplica replica,
            KeyValueStoreClient store,
            Settings settings,
            Scheduler scheduler) {
        this.eventLoop = eventLoop;
        this.replica = replica;
        this.store = store;
        this.settings = settings;
        this.token = scheduler.token();
        this.estimates = scheduler.estimates();
        for (int i = 0; i < EstimateConstants.STATISTICS_RECORDS; i++) {
            slots.add(new LinkedHashMap<>());
        }
        this.nextWrite = eventLoop.now() + EstimateConstants.STATISTICS_WRITE_INTERVAL_MS;
    }

    private static int slot(String kind) {
        return Hashing.consistentHash(
                Hashing.murmur3_32_fixed().hashString(kind, StandardCharsets.UTF_8),
                EstimateConstants.STATISTICS_RECORDS);
    }

    /** What earlier leaders learned. */
    public void load() {
        for (int i = 0; i < EstimateConstants.STATISTICS_RECORDS; i++) {
            StoreReplica.Entry entry = replica.get(StoreKeys.learned(i));
            if (entry == null || entry.data().path("v").asInt() > EstimateConstants.STATISTICS_FORMAT) {
                continue;
            }
            try {
                for (JsonNode k : entry.data().path("kinds")) {
                    estimates.restore(read(k));
                    slots.get(i).put(k.path("k").asText(), false);
                }
            } catch (RuntimeException x) { // learning goes on without it
                LOG.error("what was learned can't be read key={} reason={}", StoreKeys.learned(i), x.toString());
            }
        }
    }

    private static Estimates.Kept read(JsonNode k) {
        JsonNode runs = k.path("r");
        if (!k.path("k").isTextual() || runs.size() % 3 != 0) {
            throw new IllegalArgumentException("kind or runs");
        }
        short[][] read = new short[runs.size() / 3][];
        for (int i = 0; i < read.length; i++) {
            read[i] = new short[] {
                (short) runs.path(3 * i).asInt(),
                (short) runs.path(3 * i + 1).asInt(),
                (short) runs.path(3 * i + 2).asInt()
            };
        }
        return new Estimates.Kept(k.path("k").asText(), k.path("n").asLong(), read);
    }

    /**
     * Writes the next record with new statistics, if the write interval has passed and the store has capacity to spare.
     */
    public void flush() {
        for (String kind : estimates.takeDirty()) {
            LinkedHashMap<String, Boolean> kinds = slots.get(slot(kind));
            kinds.remove(kind);
            kinds.put(kind, true);
        }
        if (eventLoop.now() < nextWrite || !store.hasSpareWriteCapacity()) {
            return;
        }
        for (int i = 0; i < EstimateConstants.STATISTICS_RECORDS; i++) {
            int at = (nextSlot + i) % EstimateConstants.STATISTICS_RECORDS;
            String key = StoreKeys.learned(at);
            StoreReplica.Entry entry = replica.get(key);
            boolean newer = entry != null && entry.data().path("v").asInt() > EstimateConstants.STATISTICS_FORMAT;
            if (!newer && slots.get(at).containsValue(true)) {
                nextSlot = at + 1;
                nextWrite = eventLoop.now() + EstimateConstants.STATISTICS_WRITE_INTERVAL_MS;
                write(at, key, entry == null ? 0 : entry.revision());
                return;
            }
        }
    }

    private void write(int at, String key, long stamp) {
        LinkedHashMap<String, Boolean> kinds = slots.get(at);
        ObjectNode record = Codec.object().put("v", EstimateConstants.STATISTICS_FORMAT);
        ArrayDeque<ObjectNode> list = new ArrayDeque<>();
        int left = Records.room(settings) - 32;
        List<String> newestFirst = new ArrayList<>(kinds.keySet());
        Collections.reverse(newestFirst);
        for (String kind : newestFirst) {
            Estimates.Kept kept = estimates.keep(kind, EstimateConstants.STATISTICS_RUNS);
            ObjectNode k = kept == null ? null : write(kept);
            int bytes = k == null ? 0 : Records.bytes(k) + 1;
            if (k == null || bytes > left) {
                kinds.remove(kind); // the one that learned longest ago gives way
                continue;
            }
            left -= bytes;
            list.addFirst(k);
        }
        ArrayNode out = record.putArray("kinds");
        list.forEach(out::add);
        Map<String, Boolean> written = new LinkedHashMap<>(kinds);
        kinds.replaceAll((k, dirty) -> false);
        store.commit(
                new CompareAndSwap()
                        .expectRevision(StoreKeys.LEADER_RECORD, token)
                        .expectRevision(key, stamp)
                        .put(key, record),
                r -> {
                    if (!r.ok()) {
                        written.forEach((k, dirty) -> kinds.merge(k, dirty, Boolean::logicalOr));
                    }
                });
    }

    private static ObjectNode write(Estimates.Kept kept) {
        ObjectNode k = Codec.object().put("k", kept.kind()).put("n", kept.seen());
        ArrayNode runs = k.putArray("r");
        for (short[] run : kept.runs()) {
            runs.add(run[0]).add(run[1]).add(run[2]);
        }
        return k;
    }
}
