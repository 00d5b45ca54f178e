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
import org.hollypick.records.RecordSize;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the run time statistics for the next leader. The kinds of tasks are distributed by hash over a few records,
 * one of which is written at an interval, if the store has spare write capacity. Each write is conditional on the
 * leader record and on the revision that it replaces, so a write that is applied late can't overwrite newer statistics.
 * Confined to the event loop.
 */
public final class RuntimeStatisticsStore {
    private static final Logger LOG = LoggerFactory.getLogger(RuntimeStatisticsStore.class);

    /** Field: the version of the record's format. */
    private static final String FORMAT = "v";
    /** Field: the list of the record's kinds, the one with the latest run last. */
    private static final String KINDS = "kinds";
    /** Field of a kind: its name. */
    private static final String KIND_NAME = "k";
    /** Field of a kind: the number of runs ever observed. */
    private static final String OBSERVED_RUNS = "n";
    /** Field of a kind: its latest runs, {@link #NUMBERS_PER_RUN} numbers each. */
    private static final String RUNS = "r";

    private static final int NUMBERS_PER_RUN = 3;
    /** Maximum bytes of a record besides its kinds. */
    private static final int RECORD_OVERHEAD_BYTES = 32;

    private final EventLoop eventLoop;
    private final StoreReplica replica;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final long token;
    private final Estimates estimates;
    /**
     * By record number: the record's kinds, the one with the latest run last, each with whether it has unwritten runs.
     */
    private final List<LinkedHashMap<String, Boolean>> kindsByRecord = new ArrayList<>();

    private long nextWriteAt;
    private int nextRecord;

    /** Creates a store that reads from {@code replica} and writes under the scheduler's fencing token. */
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
            kindsByRecord.add(new LinkedHashMap<>());
        }
        scheduleNextWrite();
    }

    private void scheduleNextWrite() {
        nextWriteAt = eventLoop.now() + EstimateConstants.STATISTICS_WRITE_INTERVAL_MS;
    }

    /** The number of the record that stores a kind. */
    private static int recordNumberOf(String kind) {
        return Hashing.consistentHash(
                Hashing.murmur3_32_fixed().hashString(kind, StandardCharsets.UTF_8),
                EstimateConstants.STATISTICS_RECORDS);
    }

    private static boolean hasNewerFormat(StoreReplica.Entry entry) {
        return entry.data().path(FORMAT).asInt() > EstimateConstants.STATISTICS_FORMAT_VERSION;
    }

    /**
     * Restores the statistics that earlier leaders recorded. Ignores records of a newer format; an invalid record is
     * restored up to its first invalid kind.
     */
    public void load() {
        for (int i = 0; i < EstimateConstants.STATISTICS_RECORDS; i++) {
            StoreReplica.Entry entry = replica.get(StoreKeys.runtimeStatistics(i));
            if (entry != null && !hasNewerFormat(entry)) {
                load(i, entry.data());
            }
        }
    }

    private void load(int number, JsonNode record) {
        try {
            for (JsonNode encoded : record.path(KINDS)) {
                Estimates.Snapshot kind = decode(encoded);
                estimates.restore(kind);
                kindsByRecord.get(number).put(kind.kind(), false);
            }
        } catch (RuntimeException e) { // the remaining kinds are observed again
            LOG.error(
                    "runtime_statistics.record_rejected key={} reason={}",
                    StoreKeys.runtimeStatistics(number),
                    e.toString());
        }
    }

    /**
     * Writes the next record with new statistics, once the write interval has passed and the store has spare capacity.
     */
    public void flush() {
        for (String kind : estimates.takeUpdatedKinds()) {
            LinkedHashMap<String, Boolean> kinds = kindsByRecord.get(recordNumberOf(kind));
            kinds.remove(kind);
            kinds.put(kind, true);
        }
        if (eventLoop.now() < nextWriteAt || !store.hasSpareWriteCapacity()) {
            return;
        }
        for (int i = 0; i < EstimateConstants.STATISTICS_RECORDS; i++) {
            int number = (nextRecord + i) % EstimateConstants.STATISTICS_RECORDS;
            StoreReplica.Entry entry = replica.get(StoreKeys.runtimeStatistics(number));
            boolean writable = entry == null || !hasNewerFormat(entry);
            if (writable && kindsByRecord.get(number).containsValue(true)) {
                nextRecord = number + 1;
                scheduleNextWrite();
                write(number, entry == null ? 0 : entry.revision());
                return;
            }
        }
    }

    private void write(int number, long revision) {
        LinkedHashMap<String, Boolean> kinds = kindsByRecord.get(number);
        ObjectNode record = encode(kinds);
        Map<String, Boolean> unwrittenBefore = new LinkedHashMap<>(kinds);
        kinds.replaceAll((kind, unwritten) -> false);
        String key = StoreKeys.runtimeStatistics(number);
        CompareAndSwap transaction = new CompareAndSwap()
                .expectRevision(StoreKeys.LEADER_RECORD, token)
                .expectRevision(key, revision)
                .put(key, record);
        store.commit(transaction, result -> {
            if (!result.committed()) {
                unwrittenBefore.forEach((kind, unwritten) -> kinds.merge(kind, unwritten, Boolean::logicalOr));
            }
        });
    }

    /**
     * Encodes as many kinds as fit into a record, the one with the latest run first, and removes the others from
     * {@code kinds}.
     */
    private ObjectNode encode(Map<String, Boolean> kinds) {
        ArrayDeque<ObjectNode> latestLast = new ArrayDeque<>();
        int remainingBytes = RecordSize.maxBytes(settings) - RECORD_OVERHEAD_BYTES;
        List<String> latestFirst = new ArrayList<>(kinds.keySet());
        Collections.reverse(latestFirst);
        for (String kind : latestFirst) {
            Estimates.Snapshot snapshot = estimates.snapshot(kind, EstimateConstants.RECORDED_RUNS_PER_TASK_CLASS);
            ObjectNode encoded = snapshot == null ? null : encode(snapshot);
            int bytes = encoded == null ? 0 : RecordSize.encodedBytes(encoded) + 1;
            if (encoded == null || bytes > remainingBytes) {
                kinds.remove(kind);
            } else {
                remainingBytes -= bytes;
                latestLast.addFirst(encoded);
            }
        }
        ObjectNode record = Codec.object().put(FORMAT, EstimateConstants.STATISTICS_FORMAT_VERSION);
        ArrayNode list = record.putArray(KINDS);
        latestLast.forEach(list::add);
        return record;
    }

    private static ObjectNode encode(Estimates.Snapshot kind) {
        ObjectNode encoded = Codec.object().put(KIND_NAME, kind.kind()).put(OBSERVED_RUNS, kind.observedRuns());
        ArrayNode runs = encoded.putArray(RUNS);
        for (short[] run : kind.runs()) {
            for (int i = 0; i < NUMBERS_PER_RUN; i++) {
                runs.add(run[i]);
            }
        }
        return encoded;
    }

    private static Estimates.Snapshot decode(JsonNode encoded) {
        JsonNode numbers = encoded.path(RUNS);
        if (!encoded.path(KIND_NAME).isTextual() || numbers.size() % NUMBERS_PER_RUN != 0) {
            throw new IllegalArgumentException("kind " + encoded.path(KIND_NAME) + ": field " + KIND_NAME
                    + " must be a text and is " + encoded.path(KIND_NAME).getNodeType() + ", field " + RUNS
                    + " must have a multiple of " + NUMBERS_PER_RUN + " numbers and has " + numbers.size());
        }
        short[][] runs = new short[numbers.size() / NUMBERS_PER_RUN][NUMBERS_PER_RUN];
        for (int i = 0; i < numbers.size(); i++) {
            runs[i / NUMBERS_PER_RUN][i % NUMBERS_PER_RUN] =
                    (short) numbers.path(i).asInt();
        }
        return new Estimates.Snapshot(
                encoded.path(KIND_NAME).asText(), encoded.path(OBSERVED_RUNS).asLong(), runs);
    }
}
