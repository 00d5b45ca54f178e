package org.hollypick.store;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts what this controller asks of the state service, by kind, so that its log shows which limit binds and who uses
 * it.
 */
final class StoreUsage {
    /** Kinds of requests; each counts once against the limit of requests a second. */
    enum Request {
        READ,
        COMMIT,
        HOLD,
        WATCH
    }

    private static final Logger LOG = LoggerFactory.getLogger(StoreUsage.class);

    private final Map<Request, Integer> requests = new EnumMap<>(Request.class);
    /** Puts and deletes sent, by the prefix of their key; a record that is written for the first time counts apart. */
    private final Map<String, Integer> changes = new TreeMap<>();
    /** Milliseconds that requests waited in the queue before they were sent. */
    private final Histogram waited = new Histogram(2);

    private int notSent;
    private int refused;
    private int longestQueue;

    void sent(Request kind) {
        requests.merge(kind, 1, Integer::sum);
    }

    /** The writes of that transaction were sent. */
    void writesSent(CompareAndSwap transaction) {
        for (CompareAndSwap.Write write : transaction.writes()) {
            changes.merge(prefix(write.key()) + (transaction.creates(write) ? "+" : ""), 1, Integer::sum);
        }
    }

    /** The key up to its second slash: the kind of its record. */
    private static String prefix(String key) {
        int end = key.indexOf('/', key.indexOf('/') + 1);
        return end < 0 ? key : key.substring(0, end);
    }

    void waited(long ms) {
        waited.recordValue(Math.max(0, ms));
    }

    /** A request was given up unsent, since the queue was full or its turn came too late. */
    void notSent() {
        notSent++;
    }

    /** A new write was refused, since it would have had to wait for too long. */
    void refused() {
        refused++;
    }

    void queued(int length) {
        longestQueue = Math.max(longestQueue, length);
    }

    /** Logs the counts since the last time and starts over. */
    void log() {
        LOG.info(
                "state requests={} changes={} waited_p50={} waited_p99={} longest_queue={} not_sent={} refused={}",
                requests,
                changes,
                waited.getValueAtPercentile(50),
                waited.getValueAtPercentile(99),
                longestQueue,
                notSent,
                refused);
        requests.clear();
        changes.clear();
        waited.reset();
        notSent = 0;
        refused = 0;
        longestQueue = 0;
    }
}
