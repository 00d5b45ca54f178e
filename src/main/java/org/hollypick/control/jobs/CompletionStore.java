package org.hollypick.control.jobs;

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
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.core.Job;
import org.hollypick.core.Scheduler;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.records.Records;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;

/**
 * Which tasks of the live jobs are done, durably: many jobs to a record, since changes per second are scarce. Each
 * write is conditional on the record that it replaces, so one that is applied late can't take progress back that was
 * relied on since. A record that is too large to be written again, since the limits have tightened, loses its parts to
 * others one by one: a part is taken out only when the other record is durable, and a reader takes in whatever any
 * record says.
 */
public final class CompletionStore {
    private final EventLoop eventLoop;
    private final StoreReplica replica;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final Scheduler scheduler;
    private final int room;
    /** Tasks in one part. */
    private final int chunk;

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
            return parts.values().stream()
                    .filter(p -> p.job.status == Job.Status.LIVE)
                    .mapToInt(Part::bytes)
                    .sum();
        }
    }

    /** The tasks of one job from {@code from} up to {@code to}. */
    private record Part(Job job, String name, int from, int to) {
        /** Bits in base64, its name and what is around it. */
        private int bytes() {
            return (to - from) / 6 + JobConstants.COMPLETION_PART_OVERHEAD_BYTES;
        }

        private BitSet of(BitSet tasks) {
            return tasks.get(from, to);
        }
    }

    /** Reads from {@code replica} and writes under the scheduler's fencing token. */
    public CompletionStore(
            EventLoop eventLoop,
            StoreReplica replica,
            KeyValueStoreClient store,
            Settings settings,
            Scheduler scheduler) {
        this.eventLoop = eventLoop;
        this.replica = replica;
        this.store = store;
        this.settings = settings;
        this.scheduler = scheduler;
        this.room = Records.room(settings);
        this.chunk =
                Math.min(JobConstants.COMPLETION_CHUNK_TASKS, (room - JobConstants.COMPLETION_PART_OVERHEAD_BYTES) * 6);
    }

    /**
     * A job's parts. The first of all is named as it always was; one that starts elsewhere than at a multiple of the
     * largest part says where, by a name that readers who don't know of it take for no job's.
     */
    private Part part(Job job, int from) {
        String id = job.spec.id();
        boolean even = !job.mayGrow() && (chunk == JobConstants.COMPLETION_CHUNK_TASKS || job.spec.tasks() <= chunk);
        return new Part(
                job,
                even ? id + "/" + from / JobConstants.COMPLETION_CHUNK_TASKS : id + "@" + from + "/0",
                from,
                to(job, from + chunk));
    }

    /** The part that a record names; null if its job isn't live. */
    private Part part(String name) {
        int slash = name.lastIndexOf('/');
        int at = name.indexOf('@');
        Job job = scheduler.job(name.substring(0, at < 0 ? slash : at));
        if (job == null) {
            return null;
        }
        int from = at < 0
                ? Integer.parseInt(name.substring(slash + 1)) * JobConstants.COMPLETION_CHUNK_TASKS
                : Integer.parseInt(name.substring(at + 1, slash));
        return new Part(job, name, from, to(job, from + JobConstants.COMPLETION_CHUNK_TASKS));
    }

    /** A part of a job that grows keeps its full length from the start. */
    private static int to(Job job, int end) {
        return job.mayGrow() ? end : Math.min(job.spec.tasks(), end);
    }

    /** What earlier leaders recorded about the jobs that are live. */
    public void load() {
        replica.entries().forEach((key, e) -> {
            if (!key.startsWith(StoreKeys.PROGRESS)) {
                return;
            }
            Slot slot = new Slot(key, e.revision());
            slots.add(slot);
            e.data().fields().forEachRemaining(f -> {
                Part part = part(f.getKey());
                if (part != null) {
                    restore(part, f.getValue());
                    slot.parts.put(part.name(), part);
                    places.put(part.name(), slot);
                }
            });
        });
    }

    private static void restore(Part part, JsonNode bits) {
        Job job = part.job;
        Records.bits(bits).stream().forEach(i -> job.completedTasks.set(part.from + i));
        job.durablyCompleted = (BitSet) job.completedTasks.clone();
        job.pendingTasks.andNot(job.completedTasks);
    }

    /**
     * Writes what has been done since the last time, one transaction at a time and after everything that users wait
     * for.
     */
    public void flush() {
        if (writing
                || !scheduler.outbox().hasNewCompletions()
                || eventLoop.now() < notBefore
                || !store.hasSpareWriteCapacity()) {
            return;
        }
        Set<Slot> dirty = new LinkedHashSet<>();
        List<Written> included = new ArrayList<>();
        for (Job job : new ArrayList<>(scheduler.outbox().jobsWithNewCompletions())) {
            if (job.status != Job.Status.LIVE) {
                scheduler.outbox().removeNewCompletions(job);
                continue;
            }
            if (job.terminalWriteInFlight || job.finished()) {
                continue; // its end is written instead
            }
            boolean all = true;
            for (Part part : changed(job)) {
                Slot slot = place(part);
                boolean fits = dirty.contains(slot)
                        || (!slot.doubtful
                                && dirty.size() < settings.txnOps()
                                && (dirty.size() + 1) * settings.valueBytes()
                                        <= NetworkConstants.MAX_BODY_BYTES * 3 / 4);
                if (fits) {
                    dirty.add(slot);
                    included.add(new Written(part, part.of(job.completedTasks)));
                }
                all &= fits;
            }
            if (all) {
                scheduler.outbox().removeNewCompletions(job);
            }
        }
        lookUpDoubtful();
        if (dirty.isEmpty()) {
            return;
        }
        write(dirty, included);
    }

    /** What a write says of a part. */
    private record Written(Part part, BitSet done) {}

    private void write(Set<Slot> dirty, List<Written> included) {
        CompareAndSwap txn = new CompareAndSwap().expectRevision(StoreKeys.LEADER_RECORD, scheduler.token());
        for (Slot slot : dirty) {
            slot.parts.values().removeIf(part -> {
                boolean over = part.job.status != Job.Status.LIVE;
                if (over) {
                    places.remove(part.name());
                }
                return over;
            });
            ObjectNode record = Codec.object();
            slot.parts
                    .values()
                    .forEach(part -> record.put(part.name(), Records.text(part.of(part.job.completedTasks))));
            txn.expectRevision(slot.key, slot.stamp).put(slot.key, record);
        }
        writing = true;
        notBefore = eventLoop.now() + JobConstants.COMPLETION_WRITE_GAP_MS;
        store.commit(txn, r -> {
            writing = false;
            if (r.ok()) {
                long stamp = Codec.u64(r.body().path("epoch"));
                dirty.forEach(slot -> {
                    slot.stamp = stamp;
                    slot.parts.keySet().forEach(name -> leave(name, slot));
                });
                included.forEach(w -> {
                    w.done.stream().forEach(i -> w.part.job.durablyCompleted.set(w.part.from + i));
                    scheduler.assignments().completionsCommitted(w.part.job);
                });
            } else {
                dirty.forEach(slot -> slot.doubtful |= !r.wasNeverSent());
                included.forEach(w -> scheduler.outbox().addNewCompletions(w.part.job));
            }
        });
    }

    /** The part is durable where it belongs now, so other records may do without it. */
    private void leave(String name, Slot home) {
        if (places.get(name) == home) {
            slots.forEach(s -> {
                if (s != home) {
                    s.parts.remove(name);
                }
            });
        }
    }

    private List<Part> changed(Job job) {
        List<Part> changed = new ArrayList<>();
        for (int from = 0; from < job.tasks(); from += chunk) {
            Part part = part(job, from);
            if (!part.of(job.completedTasks).equals(part.of(job.durablyCompleted))) {
                changed.add(part);
            }
        }
        return changed;
    }

    /** The record that holds a part; one with room for it if it's new. */
    private Slot place(Part part) {
        Slot slot = places.get(part.name());
        if (slot == null || slot.bytes() > room) {
            slot = null;
            for (Slot s : slots) {
                if (slot == null && s.bytes() + part.bytes() <= room) {
                    slot = s;
                }
            }
            if (slot == null) {
                String key = StoreKeys.progress(slots.size());
                slot = new Slot(key, replica.revision(key));
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
            replica.fresh(fresh -> {
                writing = false;
                if (fresh) {
                    doubtful.forEach(s -> {
                        s.stamp = replica.revision(s.key);
                        s.doubtful = false;
                    });
                }
            });
        }
    }
}
