package org.hollypick.store;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts this controller's requests and writes to the key-value store between two reports to the log, which show what
 * limit binds and which records use it up. Confined to the event loop.
 */
final class StoreUsage {
    /** Kinds of requests; each request counts once against the limit of requests a second. */
    enum RequestKind {
        READ,
        COMMIT,
        SESSION,
        WATCH
    }

    private static final Logger LOG = LoggerFactory.getLogger(StoreUsage.class);

    /** Marks the prefix of a key that a write creates. */
    private static final String CREATED_MARK = "+";

    private static final int SIGNIFICANT_DIGITS = 2;

    private final Map<RequestKind, Integer> requests = new EnumMap<>(RequestKind.class);
    /** Writes sent, by the prefix of their key; writes that create the key count apart. */
    private final Map<String, Integer> writesByPrefix = new TreeMap<>();

    private final Histogram queueWaitMillis = new Histogram(SIGNIFICANT_DIGITS);
    private int droppedRequests;
    private int shedWrites;
    private int longestQueue;

    /** A request was sent. */
    void requestSent(RequestKind kind) {
        requests.merge(kind, 1, Integer::sum);
    }

    /** The writes of that transaction were sent. */
    void writesSent(CompareAndSwap transaction) {
        for (CompareAndSwap.Write write : transaction.writes()) {
            String mark = transaction.creates(write) ? CREATED_MARK : "";
            writesByPrefix.merge(prefix(write.key()) + mark, 1, Integer::sum);
        }
    }

    /** The key up to its second slash: the kind of its record. */
    private static String prefix(String key) {
        int end = key.indexOf('/', key.indexOf('/') + 1);
        return end < 0 ? key : key.substring(0, end);
    }

    /** A request waited that long in the queue before it was sent. */
    void queueWaitObserved(long millis) {
        queueWaitMillis.recordValue(Math.max(0, millis));
    }

    /** A request was dropped unsent, since the queue was full or its turn came too late. */
    void requestDropped() {
        droppedRequests++;
    }

    /** A new write was rejected, since it would have had to wait for too long. */
    void writeShed() {
        shedWrites++;
    }

    /** That many requests are in the queue. */
    void queueLengthObserved(int length) {
        longestQueue = Math.max(longestQueue, length);
    }

    /** Logs the counts since the last report and starts over. */
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
