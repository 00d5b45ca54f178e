package org.hollypick.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.cluster.Keys;
import org.hollypick.cluster.View;
import org.hollypick.config.Constants;
import org.hollypick.config.Settings;
import org.hollypick.core.Job;
import org.hollypick.core.Scheduler;
import org.hollypick.io.Codec;
import org.hollypick.io.Reply;
import org.hollypick.io.Runtime;
import org.hollypick.state.StateClient;

/**
 * Which tasks of the live jobs are done, durably: many jobs to a record, since changes per second are scarce. Each write is
 * conditional on the record that it replaces, so one that is applied late can't take progress back that was relied on since.
 */
final class Progress {
    private final Runtime runtime;
    private final View view;
    private final StateClient state;
    private final Settings settings;
    private final Scheduler scheduler;
    private final List<Slot> slots = new ArrayList<>();
    /** Where each job's chunks are kept. */
    private final Map<String, Slot> places = new HashMap<>();
    private boolean writing;
    private long notBefore;

    /** One record. */
    private static final class Slot {
        private final String key;
        private long stamp;
        /** The outcome of a write isn't known: the record has to be looked up before the next. */
        private boolean doubtful;
        private final Map<String, Part> parts = new LinkedHashMap<>();

        private Slot(String key, long stamp) {
            this.key = key;
            this.stamp = stamp;
        }

        private int bytes() {
            return parts.values().stream().mapToInt(Part::bytes).sum();
        }
    }

    /** The tasks of one job from {@code chunk * PROGRESS_CHUNK} on. */
    private record Part(Job job, int chunk) {
        /** Bits in base64, its name and what is around it. */
        private int bytes() {
            return Math.min(job.spec.tasks() - chunk * Constants.PROGRESS_CHUNK, Constants.PROGRESS_CHUNK) / 6 + 48;
        }

        private String name() {
            return job.spec.id() + "/" + chunk;
        }

        private BitSet of(BitSet tasks) {
            int from = chunk * Constants.PROGRESS_CHUNK;
            return tasks.get(from, from + Constants.PROGRESS_CHUNK);
        }
    }

    Progress(Runtime runtime, View view, StateClient state, Settings settings, Scheduler scheduler) {
        this.runtime = runtime;
        this.view = view;
        this.state = state;
        this.settings = settings;
        this.scheduler = scheduler;
    }

    /** What earlier owners recorded about the jobs that are live. */
    void load() {
        view.entries().forEach((key, e) -> {
            if (!key.startsWith(Keys.PROGRESS)) {
                return;
            }
            Slot slot = new Slot(key, e.stamp());
            slots.add(slot);
            e.data().fields().forEachRemaining(f -> {
                int slash = f.getKey().lastIndexOf('/');
                Job job = scheduler.jobs.get(f.getKey().substring(0, slash));
                if (job != null) {
                    Part part = new Part(job, Integer.parseInt(f.getKey().substring(slash + 1)));
                    restore(job, part, f.getValue());
                    slot.parts.put(part.name(), part);
                    places.put(part.name(), slot);
                }
            });
        });
    }

    private static void restore(Job job, Part part, JsonNode bits) {
        int from = part.chunk * Constants.PROGRESS_CHUNK;
        Records.bits(bits).stream().forEach(i -> job.done.set(from + i));
        job.committed = (BitSet) job.done.clone();
        job.pending.andNot(job.done);
    }

    /** Writes what has been done since the last time, one transaction at a time and after everything that users wait for. */
    void flush() {
        if (writing || scheduler.progressDirty.isEmpty() || runtime.now() < notBefore || !state.spare()) {
            return;
        }
        Set<Slot> dirty = new LinkedHashSet<>();
        Map<Job, BitSet> included = new LinkedHashMap<>();
        int bytes = 0;
        for (Job job : new ArrayList<>(scheduler.progressDirty)) {
            if (job.status != Job.Status.LIVE || job.closing || job.finished()) {
                continue; // its end is written instead
            }
            boolean fits = true;
            for (Part part : changed(job)) {
                Slot slot = place(part);
                if (!dirty.contains(slot)) {
                    int more = settings.valueBytes();
                    fits &= !slot.doubtful && dirty.size() < settings.txnOps() && bytes + more <= Constants.BODY_BYTES * 3 / 4;
                    if (fits) {
                        dirty.add(slot);
                        bytes += more;
                    }
                }
            }
            if (fits) {
                scheduler.progressDirty.remove(job);
                included.put(job, (BitSet) job.done.clone());
            }
        }
        lookUpDoubtful();
        if (dirty.isEmpty()) {
            return;
        }
        write(dirty, included);
    }

    private void write(Set<Slot> dirty, Map<Job, BitSet> included) {
        StateClient.Txn txn = new StateClient.Txn().when(Keys.ROSTER, scheduler.baton);
        for (Slot slot : dirty) {
            slot.parts.values().removeIf(part -> {
                boolean over = part.job.status != Job.Status.LIVE;
                if (over) {
                    places.remove(part.name());
                }
                return over;
            });
            ObjectNode record = Codec.object();
            slot.parts.values().forEach(part -> record.put(part.name(), Records.text(part.of(part.job.done))));
            txn.when(slot.key, slot.stamp).put(slot.key, record);
        }
        writing = true;
        notBefore = runtime.now() + Constants.PROGRESS_GAP_MS;
        state.commit(txn, r -> {
            writing = false;
            if (r.ok()) {
                long stamp = Codec.u64(r.body().path("epoch"));
                dirty.forEach(slot -> slot.stamp = stamp);
                included.forEach((job, bits) -> {
                    job.committed.or(bits);
                    scheduler.progressCommitted(job);
                });
            } else {
                dirty.forEach(slot -> slot.doubtful |= r.status() != Reply.NOT_SENT);
                scheduler.progressDirty.addAll(included.keySet());
            }
        });
    }

    private static List<Part> changed(Job job) {
        List<Part> changed = new ArrayList<>();
        for (int chunk = 0; chunk < Records.chunks(job.spec.tasks()); chunk++) {
            Part part = new Part(job, chunk);
            if (!part.of(job.done).equals(part.of(job.committed))) {
                changed.add(part);
            }
        }
        return changed;
    }

    /** The record that holds a part; one with room for it if it's new. */
    private Slot place(Part part) {
        Slot slot = places.get(part.name());
        if (slot == null) {
            for (Slot s : slots) {
                if (slot == null && s.bytes() + part.bytes() <= settings.valueBytes()) {
                    slot = s;
                }
            }
            if (slot == null) {
                String key = Keys.progress(slots.size());
                slot = new Slot(key, view.stamp(key));
                slots.add(slot);
            }
            slot.parts.put(part.name(), part);
            places.put(part.name(), slot);
        }
        return slot;
    }

    /** Once the view is known to be fresh it tells how a record stands whose write had no clear outcome. */
    private void lookUpDoubtful() {
        List<Slot> doubtful = slots.stream().filter(s -> s.doubtful).toList();
        if (!doubtful.isEmpty()) {
            writing = true;
            view.fresh(fresh -> {
                writing = false;
                if (fresh) {
                    doubtful.forEach(s -> {
                        s.stamp = view.stamp(s.key);
                        s.doubtful = false;
                    });
                }
            });
        }
    }
}
