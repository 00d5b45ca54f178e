package org.hollypick.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.hollypick.cluster.Keys;
import org.hollypick.cluster.View;
import org.hollypick.config.Constants;
import org.hollypick.config.Settings;
import org.hollypick.core.ledger.Machine;
import org.hollypick.io.Codec;
import org.hollypick.io.Runtime;
import org.hollypick.state.StateClient;

/**
 * The durable list of machines, many to a record, since changes per second are scarce. A record is created once, under a key that
 * was never used, and then only shrinks; each write is conditional on the value that it was made from. So a write that is
 * applied late can neither bring a machine back nor take one out that was added since.
 */
final class Registry {
    private final Runtime runtime;
    private final View view;
    private final StateClient state;
    private final Settings settings;
    private final long baton;
    private final Predicate<String> gone;
    /** The records that name a machine. */
    private final Map<String, Set<String>> keysOf = new HashMap<>();
    private final Set<Machine> wanted = new LinkedHashSet<>();
    private final Set<String> unwanted = new LinkedHashSet<>();
    private long written;
    private boolean writing;
    private long notBefore;

    Registry(Runtime runtime, View view, StateClient state, Settings settings, long baton, Predicate<String> gone) {
        this.runtime = runtime;
        this.view = view;
        this.state = state;
        this.settings = settings;
        this.baton = baton;
        this.gone = gone;
    }

    /** Every machine that the records name. */
    void load(BiConsumer<String, JsonNode> machine) {
        List<String> keys = new ArrayList<>();
        view.entries().keySet().forEach(key -> {
            if (key.startsWith(Keys.MACHINES)) {
                keys.add(key);
            }
        });
        changed(keys);
        Set<String> seen = new HashSet<>();
        for (String key : keys) {
            view.get(key).data().fields().forEachRemaining(f -> {
                if (seen.add(f.getKey())) {
                    machine.accept(f.getKey(), f.getValue());
                }
            });
        }
    }

    /** Records changed in the view. */
    void changed(Collection<String> keys) {
        for (String key : keys) {
            if (!key.startsWith(Keys.MACHINES)) {
                continue;
            }
            View.Entry e = view.get(key);
            if (e == null) {
                keysOf.values().forEach(set -> set.remove(key));
                continue;
            }
            e.data().fieldNames().forEachRemaining(id -> {
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

    void add(Machine m) {
        wanted.add(m);
    }

    /** The machine is certainly gone. */
    void drop(String id) {
        wanted.removeIf(m -> m.id.equals(id));
        unwanted.add(id);
    }

    /** Writes what is wanted, one transaction at a time; {@code registered} hears of the machines that are durable now. */
    void flush(Consumer<List<Machine>> registered) {
        if (writing || wanted.isEmpty() && unwanted.isEmpty() || runtime.now() < notBefore) {
            return;
        }
        StateClient.Txn txn = new StateClient.Txn().when(Keys.ROSTER, baton);
        List<Machine> adding = new ArrayList<>();
        String fresh = wanted.isEmpty() ? null : Keys.machines(settings.node(), baton, written++);
        if (fresh != null) {
            ObjectNode record = Codec.object();
            int room = settings.valueBytes() / Constants.MACHINE_RECORD_BYTES;
            for (Machine m : wanted) {
                if (adding.size() < room) {
                    adding.add(m);
                    record.set(m.id, Records.machine(m));
                }
            }
            txn.when(fresh, 0).put(fresh, record);
        }
        Set<String> dropping = shrink(txn);
        if (txn.ops() == 0) {
            return;
        }
        writing = true;
        notBefore = runtime.now() + Constants.REGISTER_GAP_MS;
        state.commit(txn, r -> {
            writing = false;
            if (r.ok()) {
                adding.forEach(m -> {
                    wanted.remove(m);
                    named(m.id, fresh);
                });
                unwanted.removeAll(dropping);
                dropping.forEach(keysOf::remove);
                registered.accept(adding);
            }
        });
    }

    /** Takes machines out of their records, as far as the transaction has room; returns those that are out of all of theirs. */
    private Set<String> shrink(StateClient.Txn txn) {
        Set<String> out = new HashSet<>();
        Set<String> touched = new HashSet<>();
        int bytes = settings.valueBytes();
        int most = txn.ops() + (state.spare() ? Constants.SHRINK_OPS : 0);
        for (String id : unwanted) {
            boolean all = true;
            for (String key : keysOf.getOrDefault(id, Set.of())) {
                View.Entry e = view.get(key);
                if (e == null) {
                    all = false; // written, but the view doesn't show it yet
                }
                if (e == null || !e.data().has(id) || touched.contains(key)) {
                    continue;
                }
                ObjectNode left = e.data().deepCopy();
                left.remove(unwanted);
                int size = left.size() * Constants.MACHINE_RECORD_BYTES;
                if (txn.ops() >= most || bytes + size > Constants.BODY_BYTES * 3 / 4) {
                    all = false;
                    break;
                }
                bytes += size;
                touched.add(key);
                txn.when(key, e.stamp());
                if (left.isEmpty()) {
                    txn.drop(key);
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
}
