package org.hollypick.control.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.JobSpec;
import org.hollypick.core.JobSpec.Priority;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.records.JobCodec;
import org.hollypick.records.Records;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;

/** The durable records of jobs on any node: what they say of one another, and new ones. */
public final class JobStore {
    /** What became of a submission. {@code TOO_LARGE}: no record can hold it. */
    public enum Outcome {
        CREATED,
        KNOWN,
        TOO_LARGE,
        LATER
    }

    private final EventLoop eventLoop;
    private final Settings settings;
    private final KeyValueStoreClient store;
    private final StoreReplica replica;
    private final Membership membership;
    private final JobDependencies dependencies;
    private long written;
    /** Jobs that certainly have a record which the view doesn't show yet: submitted again they cost no write. */
    private final Set<String> durable = new HashSet<>();
    /** Jobs whose records are being written, and who has submitted them once more since. */
    private final Map<String, List<Consumer<Outcome>>> creating = new HashMap<>();

    public JobStore(
            EventLoop eventLoop,
            Settings settings,
            KeyValueStoreClient store,
            StoreReplica replica,
            Membership membership,
            JobDependencies dependencies) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.store = store;
        this.replica = replica;
        this.membership = membership;
        this.dependencies = dependencies;
    }

    /** Records changed in the view. */
    public void follow(Collection<String> keys) {
        for (String key : keys) {
            StoreReplica.Entry e = key.startsWith(StoreKeys.JOB) ? replica.get(key) : null;
            if (e == null) {
                continue;
            }
            String id = key.substring(StoreKeys.JOB.length());
            durable.remove(id);
            if (!Records.isOver(e.data())) {
                dependencies.addLive(id, rank(e.data()), Records.awaits(e.data(), replica));
            } else if (Records.status(e.data()).equals(Records.DONE)) {
                dependencies.done(id);
            } else {
                dependencies.cancelled(id);
            }
        }
    }

    /** Whether the job certainly has a record, in the view or not. */
    public boolean known(String id) {
        return durable.contains(id) || replica.get(StoreKeys.job(id)) != null;
    }

    /** The job had a record at this revision. */
    private void known(String id, long revision) {
        replica.answeredFrom(revision);
        if (replica.get(StoreKeys.job(id)) == null) {
            durable.add(id);
        }
    }

    private static Priority rank(JsonNode record) {
        try {
            return Records.rank(record);
        } catch (JobCodec.Invalid e) {
            return Priority.LOW;
        }
    }

    /**
     * Makes an accepted job durable; everything that it awaits has a record already. A repetition waits for the write
     * that is under way: one of its own would be refused, and count against the service's limit on writes.
     */
    public void create(JobSpec spec, Collection<String> awaits, Consumer<Outcome> then) {
        List<Consumer<Outcome>> repetitions = creating.get(spec.id());
        if (repetitions != null) {
            repetitions.add(then);
            return;
        }
        creating.put(spec.id(), new ArrayList<>());
        write(spec, awaits, outcome -> {
            List<Consumer<Outcome>> waiting = creating.remove(spec.id());
            then.accept(outcome);
            waiting.forEach(w -> w.accept(outcome == Outcome.CREATED ? Outcome.KNOWN : outcome));
        });
    }

    private void write(JobSpec spec, Collection<String> awaits, Consumer<Outcome> then) {
        List<String> open = open(awaits);
        int room = Records.room(settings);
        if (Records.bytes(Records.live(spec, Long.MAX_VALUE, open, null)) <= room) {
            create(spec, open, null, JobConstants.SUBMISSION_WRITE_ATTEMPTS, then);
            return;
        }
        Records.More more =
                new Records.More(StoreKeys.awaited(settings.node(), membership.member(), written++), parts(open, room));
        if (Records.bytes(Records.live(spec, Long.MAX_VALUE, List.of(), more)) > room) {
            then.accept(Outcome.TOO_LARGE);
        } else {
            writeParts(spec, more, 0, then);
        }
    }

    /** What still has to be done of those. What is done never becomes undone, and one that is cancelled decides. */
    private List<String> open(Collection<String> awaits) {
        List<String> open = new ArrayList<>();
        for (String id : awaits) {
            if (dependencies.isCancelled(id)) {
                return List.of(id);
            }
            if (!dependencies.isDone(id)) {
                open.add(id);
            }
        }
        return open;
    }

    private static List<List<String>> parts(List<String> ids, int room) {
        List<List<String>> parts = new ArrayList<>();
        int left = 0;
        for (String id : ids) {
            int bytes = id.length() + 3; // quotes and comma
            if (left < bytes) {
                parts.add(new ArrayList<>());
                left = room - Records.bytes(Records.part(List.of()));
            }
            parts.get(parts.size() - 1).add(id);
            left -= bytes;
        }
        return parts;
    }

    /**
     * The parts go first, under keys that nobody ever used; the job's own record names them, and it alone makes the job
     * exist.
     */
    private void writeParts(JobSpec spec, Records.More more, int from, Consumer<Outcome> then) {
        if (from >= more.parts().size()) {
            create(spec, List.of(), more, JobConstants.SUBMISSION_WRITE_ATTEMPTS, then);
            return;
        }
        if (store.shouldShedWrite()) {
            then.accept(Outcome.LATER);
            return;
        }
        CompareAndSwap txn = new CompareAndSwap();
        int to = Math.min(more.parts().size(), from + settings.txnOps());
        for (int i = from; i < to; i++) {
            txn.expectAbsent(more.key(i))
                    .put(more.key(i), Records.part(more.parts().get(i)));
        }
        store.commit(txn, r -> {
            if (r.ok()) {
                writeParts(spec, more, to, then);
            } else {
                then.accept(Outcome.LATER);
            }
        });
    }

    /**
     * The record is conditional on the leader record, so that a later leader knows that no earlier one can have started
     * the job.
     */
    private void create(JobSpec spec, List<String> awaits, Records.More more, int tries, Consumer<Outcome> then) {
        long leaderRecord = membership.leaderRecordRevision();
        if (leaderRecord == 0 || store.shouldShedWrite()) {
            then.accept(Outcome.LATER);
            return;
        }
        String key = StoreKeys.job(spec.id());
        CompareAndSwap txn = new CompareAndSwap()
                .expectAbsent(key)
                .expectRevision(StoreKeys.LEADER_RECORD, leaderRecord)
                .put(key, Records.live(spec, leaderRecord, awaits, more));
        store.commit(txn, r -> {
            if (r.ok()) {
                known(spec.id(), Codec.u64(r.body().path("epoch")));
                then.accept(Outcome.CREATED);
                return;
            }
            if (r.status() == 409) {
                for (JsonNode failed : r.body().path("failed")) {
                    if (failed.asText().equals(key)) {
                        known(spec.id(), Codec.u64(r.body().path("epoch")));
                        then.accept(Outcome.KNOWN);
                        return;
                    }
                }
                if (tries > 1) {
                    eventLoop.after(2 * StoreConstants.WATCH_GAP_MS, () -> create(spec, awaits, more, tries - 1, then));
                    return;
                }
            }
            then.accept(Outcome.LATER);
        });
    }
}
