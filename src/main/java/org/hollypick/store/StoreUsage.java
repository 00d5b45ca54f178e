package org.hollypick.store;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts this controller's requests and writes to the key-value store and reports them to the log. The reports show
 * which of the store's limits is reached, and which kinds of records use it up. Confined to the event loop.
 */
final class StoreUsage {
    /** Kinds of requests; each request counts once against the limit on requests per second. */
    enum RequestKind {
        READ,
        COMMIT,
        SESSION,
        WATCH
    }

    private static final Logger LOG = LoggerFactory.getLogger(StoreUsage.class);

    /** Suffix of a prefix, for writes that create their key. */
    private static final String CREATED_SUFFIX = "+";

    private static final int SIGNIFICANT_DIGITS = 2;

    private final Map<RequestKind, Integer> requests = new EnumMap<>(RequestKind.class);
    /** Writes sent, by the prefix of their key; writes that create their key are counted separately. */
    private final Map<String, Integer> writesByPrefix = new TreeMap<>();

    private final Histogram queueWaitMillis = new Histogram(SIGNIFICANT_DIGITS);
    private int droppedRequests;
    private int shedWrites;
    private int longestQueue;

    /** Counts a request that was sent. */
    void requestSent(RequestKind kind) {
        requests.merge(kind, 1, Integer::sum);
    }

    /** Counts the writes of a transaction that was sent. */
    void writesSent(CompareAndSwap transaction) {
        for (CompareAndSwap.Write write : transaction.writes()) {
            String suffix = transaction.creates(write) ? CREATED_SUFFIX : "";
            writesByPrefix.merge(prefix(write.key()) + suffix, 1, Integer::sum);
        }
    }

    /** The key up to its second slash, which identifies the kind of record. */
    private static String prefix(String key) {
        int end = key.indexOf('/', key.indexOf('/') + 1);
        return end < 0 ? key : key.substring(0, end);
    }

    /** Records how long a request waited in the queue before it was sent. */
    void queueWaitObserved(long millis) {
        queueWaitMillis.recordValue(Math.max(0, millis));
    }

    /** Counts a request that was never sent, because the queue was full or the request timed out in it. */
    void requestDropped() {
        droppedRequests++;
    }

    /** Counts a new write that was rejected because it would have timed out in the queue. */
    void writeShed() {
        shedWrites++;
    }

    /** Records the present number of queued requests. */
    void queueLengthObserved(int length) {
        longestQueue = Math.max(longestQueue, length);
    }

    /** Logs the counts since the last report and resets them. */
    void report() {
        LOG.info(
                "store.usage.reported requests={} writes={} queue_wait_p50_ms={} queue_wait_p99_ms={} longest_queue={}"
                        + " dropped={} shed={}",
                requests,
                writesByPrefix,
                queueWaitMillis.getValueAtPercentile(50),
                queueWaitMillis.getValueAtPercentile(99),
                longestQueue,
                droppedRequests,
                shedWrites);
        reset();
    }

    private void reset() {
        requests.clear();
        writesByPrefix.clear();
        queueWaitMillis.reset();
        droppedRequests = 0;
        shedWrites = 0;
        longestQueue = 0;
    }
}
