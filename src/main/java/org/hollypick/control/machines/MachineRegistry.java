package org.hollypick.control.machines;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.core.assignment.Machine;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.records.Records;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The durable list of machines, many to a record, since changes per second are scarce. A record is created once, under
 * a key that was never used, and then only shrinks; each write is conditional on the value that it was made from. So a
 * write that is applied late can neither bring a machine back nor take one out that was added since. A record that is
 * too large to be written again, since the limits have tightened, is dropped once its machines are named in others.
 */
public final class MachineRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);

    private final EventLoop eventLoop;
    private final StoreReplica replica;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final long token;
    private final Predicate<String> gone;
    /** The records that name a machine. */
    private final Map<String, Set<String>> keysOf = new HashMap<>();

    private final Map<String, Machine> wanted = new LinkedHashMap<>();
    /**
     * Machines that need another record, since one that names them can't be written again; and what it says of them.
     */
    private final Map<String, JsonNode> copies = new LinkedHashMap<>();

    private final Set<String> unwanted = new LinkedHashSet<>();
    private long written;
    private boolean writing;
    private long notBefore;

    /** {@code token} fences the writes; {@code gone} tells whether a machine is terminated. */
    public MachineRegistry(
            EventLoop eventLoop,
            StoreReplica replica,
            KeyValueStoreClient store,
            Settings settings,
            long token,
            Predicate<String> gone) {
        this.eventLoop = eventLoop;
        this.replica = replica;
        this.store = store;
        this.settings = settings;
        this.token = token;
        this.gone = gone;
    }

    /** Every machine that the records name. */
    public void load(BiConsumer<String, JsonNode> machine) {
        List<String> keys = new ArrayList<>();
        replica.entries().keySet().forEach(key -> {
            if (key.startsWith(StoreKeys.MACHINES)) {
                keys.add(key);
            }
        });
        changed(keys);
        Set<String> seen = new HashSet<>();
        for (String key : keys) {
            replica.get(key).data().fields().forEachRemaining(f -> {
                if (seen.add(f.getKey())) {
                    machine.accept(f.getKey(), f.getValue());
                }
            });
        }
    }

    /** Records changed in the view. */
    public void changed(Collection<String> keys) {
        for (String key : keys) {
            if (!key.startsWith(StoreKeys.MACHINES)) {
                continue;
            }
            StoreReplica.Entry entry = replica.get(key);
            if (entry == null) {
                keysOf.values().forEach(set -> set.remove(key));
                continue;
            }
            entry.data().fieldNames().forEachRemaining(id -> {
                named(id, key);
                if (gone.test(id)) {
                    unwanted.add(id); // a record whose write was given up, applied after all
                }
            });
        }
    }

    private void named(String id, String key) {
        keysOf.computeIfAbsent(id, k -> new HashSet<>()).add(key);
    }

    /** Has the machine recorded by a later {@link #flush}. */
    public void add(Machine m) {
        wanted.put(m.id, m);
    }

    /** The machine is certainly gone. */
    public void drop(String id) {
        wanted.remove(id);
        copies.remove(id);
        unwanted.add(id);
    }

    /**
     * Writes what is wanted, one transaction at a time; {@code registered} hears of the machines that are durable now.
     */
    public void flush(Consumer<List<Machine>> registered) {
        if (writing || (wanted.isEmpty() && copies.isEmpty() && unwanted.isEmpty()) || eventLoop.now() < notBefore) {
            return;
        }
        CompareAndSwap txn = new CompareAndSwap().expectRevision(StoreKeys.LEADER_RECORD, token);
        Map<String, JsonNode> adding = new LinkedHashMap<>();
        wanted.forEach((id, m) -> adding.put(id, Records.machine(m)));
        copies.forEach(adding::putIfAbsent);
        Map<String, String> added = create(txn, adding);
        List<Machine> registering = new ArrayList<>();
        added.keySet().forEach(id -> {
            if (wanted.containsKey(id)) {
                registering.add(wanted.get(id));
            }
        });
        Set<String> dropping = shrink(txn);
        if (txn.writeCount() == 0) {
            return;
        }
        writing = true;
        notBefore = eventLoop.now() + ReconcileConstants.REGISTRATION_GAP_MS;
        store.commit(txn, r -> {
            writing = false;
            if (r.ok()) {
                added.forEach((id, key) -> {
                    wanted.remove(id);
                    copies.remove(id);
                    named(id, key);
                });
                unwanted.removeAll(dropping);
                dropping.forEach(keysOf::remove);
                registered.accept(registering);
            } else if (r.status() == 400) {
                LOG.error("record of machines refused ops={} machines={}", txn.writeCount(), added.size());
            }
        });
    }

    /** New records for so many of the machines as the transaction has room for; returns the key that names each. */
    private Map<String, String> create(CompareAndSwap txn, Map<String, JsonNode> machines) {
        Map<String, String> added = new HashMap<>();
        ObjectNode record = null;
        String key = null;
        int left = 0;
        for (Map.Entry<String, JsonNode> m : machines.entrySet()) {
            int bytes = Records.bytes(m.getValue()) + m.getKey().length() + 4; // quotes, colon and comma
            if (left < bytes) {
                if (txn.writeCount() == settings.txnOps()
                        || (txn.writeCount() + 1) * settings.valueBytes() > NetworkConstants.MAX_BODY_BYTES * 3 / 4) {
                    break;
                }
                record = Codec.object();
                key = StoreKeys.machines(settings.node(), token, written++);
                txn.expectAbsent(key).put(key, record);
                left = Records.room(settings) - 2;
            }
            record.set(m.getKey(), m.getValue());
            added.put(m.getKey(), key);
            left -= bytes;
        }
        return added;
    }

    /**
     * Takes machines out of their records, as far as the transaction has room; returns those that are out of all of
     * theirs.
     */
    private Set<String> shrink(CompareAndSwap txn) {
        Set<String> out = new HashSet<>();
        Set<String> touched = new HashSet<>();
        Set<String> leftAlone = new HashSet<>();
        int bytes = txn.writeCount() * settings.valueBytes();
        int most = Math.min(
                settings.txnOps(),
                txn.writeCount() + (store.hasSpareWriteCapacity() ? StoreConstants.SHRINKING_WRITES : 0));
        for (String id : unwanted) {
            boolean all = true;
            for (String key : keysOf.getOrDefault(id, Set.of())) {
                StoreReplica.Entry entry = replica.get(key);
                if (entry == null) {
                    all = false; // written, but the view doesn't show it yet
                }
                all &= !leftAlone.contains(key);
                if (entry == null || !entry.data().has(id) || touched.contains(key) || leftAlone.contains(key)) {
                    continue;
                }
                ObjectNode left = entry.data().deepCopy();
                left.remove(unwanted);
                int size = Records.bytes(left);
                boolean tooLarge = size > Records.room(settings);
                if (txn.writeCount() >= most
                        || bytes + size > NetworkConstants.MAX_BODY_BYTES * 3 / 4
                        || (tooLarge && !namedElsewhere(left, key))) {
                    all = false;
                    leftAlone.add(key);
                    continue;
                }
                bytes += size;
                touched.add(key);
                txn.expectRevision(key, entry.revision());
                if (left.isEmpty() || tooLarge) {
                    txn.delete(key);
                } else {
                    txn.put(key, left);
                }
            }
            if (all) {
                out.add(id);
            }
        }
        return out;
    }

    /**
     * Whether a record that can't be written again isn't needed any more. Machines that only it names get another
     * first.
     */
    private boolean namedElsewhere(ObjectNode machines, String tooLarge) {
        boolean all = true;
        for (Map.Entry<String, JsonNode> m : machines.properties()) {
            boolean elsewhere = false;
            boolean soon = false;
            for (String key : keysOf.getOrDefault(m.getKey(), Set.of())) {
                StoreReplica.Entry entry = replica.get(key);
                soon |= entry == null; // written, but the view doesn't show it yet
                elsewhere |=
                        !key.equals(tooLarge) && entry != null && Records.bytes(entry.data()) <= Records.room(settings);
            }
            all &= elsewhere;
            if (!elsewhere && !soon) {
                copies.putIfAbsent(m.getKey(), m.getValue());
            }
        }
        return all;
    }
}
