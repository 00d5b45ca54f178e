package org.hollypick.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Response;
import org.hollypick.io.WireNames;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's copy of everything under one prefix, kept by one watch. It may lag; only terminal states in it are final.
 */
public final class StoreReplica {
    private static final Logger LOG = LoggerFactory.getLogger(StoreReplica.class);

    /** A record and the stamp of its last change. */
    public record Entry(JsonNode data, long revision) {}

    private final EventLoop eventLoop;
    private final KeyValueStoreClient store;
    private final String prefix;
    private final Consumer<List<String>> changed;
    private Map<String, Entry> entries = new HashMap<>();
    private long appliedRevision;
    /** The newest revision that an answer of this node to its users was built on, as far as this node knows. */
    private long answered;

    private boolean loaded;
    private long watchedAt;
    /**
     * Who wants to know when this copy holds all that was true when they asked; those of the read under way, and later
     * ones.
     */
    private List<Consumer<Boolean>> asking = new ArrayList<>();

    private boolean reading;
    private final List<CatchUp> catchingUp = new ArrayList<>();

    /** Waits until this copy has reached an epoch; given up after a while. */
    private record CatchUp(long appliedRevision, long until, List<Consumer<Boolean>> then) {}

    public StoreReplica(EventLoop eventLoop, KeyValueStoreClient store, String prefix, Consumer<List<String>> changed) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.prefix = prefix;
        this.changed = changed;
    }

    public boolean loaded() {
        return loaded;
    }

    /** Every change up to this one is in. */
    public long appliedRevision() {
        return appliedRevision;
    }

    /** The newest revision that this node knows of: of its copy, or of what {@link #answeredFrom} was told. */
    public long revision() {
        return newer(appliedRevision, answered);
    }

    /**
     * An answer that is built on this revision is about to be given, or was given by another node: from now on
     * {@link #fresh} waits until this copy has reached it too.
     */
    public void answeredFrom(long revision) {
        answered = newer(answered, revision);
    }

    /** Whether an answer that is built on this revision isn't older than the ones that were given before. */
    public boolean mayAnswerFrom(long revision) {
        return Long.compareUnsigned(revision, answered) >= 0;
    }

    private static long newer(long a, long b) {
        return Long.compareUnsigned(a, b) >= 0 ? a : b;
    }

    public Entry get(String key) {
        return entries.get(key);
    }

    public long revision(String key) {
        Entry e = entries.get(key);
        return e == null ? 0 : e.revision;
    }

    public Map<String, Entry> entries() {
        return entries;
    }

    /**
     * Calls back once this copy is at least as new as the service was at some moment after this call, and as every
     * answer that this node gave meanwhile, or with false if that can't be told. One read of the epoch serves all who
     * ask in the meantime: the answer to a key that doesn't exist carries it.
     */
    public void fresh(Consumer<Boolean> then) {
        asking.add(then);
        if (!reading) {
            readEpoch();
        }
    }

    private void readEpoch() {
        reading = true;
        List<Consumer<Boolean>> batch = asking;
        asking = new ArrayList<>();
        store.readRevision(r -> {
            if (r.status() == 404 && loaded) {
                catchingUp.add(new CatchUp(
                        Codec.u64(r.body().path("epoch")), eventLoop.now() + StoreConstants.WATCH_CATCH_UP_MS, batch));
                eventLoop.after(StoreConstants.WATCH_CATCH_UP_MS, this::caughtUp);
                caughtUp();
            } else {
                batch.forEach(c -> c.accept(false));
            }
            eventLoop.after(StoreConstants.WATCH_GAP_MS, () -> {
                reading = false;
                if (!asking.isEmpty()) {
                    readEpoch();
                }
            });
        });
    }

    private void caughtUp() {
        for (CatchUp c : new ArrayList<>(catchingUp)) {
            boolean reached =
                    Long.compareUnsigned(appliedRevision, c.appliedRevision) >= 0 && mayAnswerFrom(appliedRevision);
            if (reached || eventLoop.now() >= c.until) {
                catchingUp.remove(c);
                c.then.forEach(t -> t.accept(reached));
            }
        }
    }

    public void load() {
        page(null, new HashMap<>(), -1);
    }

    private void page(String from, Map<String, Entry> into, long firstEpoch) {
        store.listPage(prefix, from, r -> {
            if (!r.ok()) {
                eventLoop.after(300, this::load);
                return;
            }
            String last = from;
            for (JsonNode e : r.body().path("entries")) {
                last = e.path("key").asText();
                into.put(last, new Entry(e.path("data"), Codec.u64(e.path(WireNames.REVISION))));
            }
            long at = firstEpoch == -1 ? Codec.u64(r.body().path("epoch")) : firstEpoch;
            if (r.body().path("truncated").asBoolean()) {
                page(last, into, at);
                return;
            }
            entries = into;
            appliedRevision = at;
            loaded = true;
            changed.accept(new ArrayList<>(into.keySet()));
            caughtUp();
            watch();
        });
    }

    private void watch() {
        watchedAt = eventLoop.now();
        store.watch(prefix, appliedRevision, this::watched);
    }

    private void watched(Response r) {
        if (r.status() == 410) {
            LOG.info("watch too old, reading all again epoch={}", appliedRevision);
            load();
            return;
        }
        if (!r.ok()) {
            eventLoop.after(300, this::watch);
            return;
        }
        List<String> keys = new ArrayList<>();
        for (JsonNode e : r.body().path("events")) {
            long revision = Codec.u64(e.path(WireNames.REVISION));
            String key = e.has("put") ? e.path("put").asText() : e.path("drop").asText();
            if (Long.compareUnsigned(revision, revision(key)) <= 0) {
                continue;
            }
            if (e.has("put")) {
                entries.put(key, new Entry(e.path("data"), revision));
            } else {
                entries.remove(key);
            }
            keys.add(key);
        }
        long at = Codec.u64(r.body().path("epoch"));
        if (Long.compareUnsigned(at, appliedRevision) > 0) {
            appliedRevision = at;
        }
        if (!keys.isEmpty()) {
            changed.accept(keys);
        }
        caughtUp();
        long gap = StoreConstants.WATCH_GAP_MS - (eventLoop.now() - watchedAt);
        if (gap > 0) {
            eventLoop.after(gap, this::watch);
        } else {
            watch();
        }
    }
}
