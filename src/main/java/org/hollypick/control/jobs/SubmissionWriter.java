package org.hollypick.control.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.JobSpec;
import org.hollypick.io.EventLoop;
import org.hollypick.records.DependencyLists;
import org.hollypick.records.JobRecordCodec;
import org.hollypick.records.RecordSize;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;

/**
 * Writes the records of submitted jobs. Dependencies that a job's own record has no room for are written before it, in
 * records under keys that were never used; the job's record names them, and it alone makes the job exist. Confined to
 * the event loop.
 */
final class SubmissionWriter {
    /** Quotes and comma around an id in a list. */
    private static final int LIST_ELEMENT_OVERHEAD_BYTES = 3;

    private final EventLoop eventLoop;
    private final Settings settings;
    private final KeyValueStoreClient store;
    private final Membership membership;
    private final JobDependencies dependencies;
    private final ObjLongConsumer<String> onRecordExists;
    private long usedDependencyKeys;

    /** {@code onRecordExists} receives the id of each job that has a record, and a revision at which it had one. */
    SubmissionWriter(
            EventLoop eventLoop,
            Settings settings,
            KeyValueStoreClient store,
            Membership membership,
            JobDependencies dependencies,
            ObjLongConsumer<String> onRecordExists) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.store = store;
        this.membership = membership;
        this.dependencies = dependencies;
        this.onRecordExists = onRecordExists;
    }

    /** Writes the record of a job that depends on the jobs {@code dependencyIds}, each of which has a record. */
    void write(JobSpec spec, Collection<String> dependencyIds, Consumer<SubmissionOutcome> finished) {
        List<String> undecided = dependenciesToRecord(dependencyIds);
        int maxBytes = RecordSize.maxBytes(settings);
        if (RecordSize.encodedBytes(JobRecordCodec.encodeLive(spec, Long.MAX_VALUE, undecided, null)) <= maxBytes) {
            writeJobRecord(spec, undecided, null, JobConstants.SUBMISSION_WRITE_ATTEMPTS, finished);
            return;
        }
        String key = StoreKeys.dependencies(settings.node(), membership.memberRevision(), usedDependencyKeys);
        usedDependencyKeys++;
        DependencyLists dependencyLists = new DependencyLists(key, splitIntoLists(undecided, maxBytes));
        if (RecordSize.encodedBytes(JobRecordCodec.encodeLive(spec, Long.MAX_VALUE, List.of(), dependencyLists))
                > maxBytes) {
            finished.accept(SubmissionOutcome.TOO_LARGE);
        } else {
            writeDependencyLists(spec, dependencyLists, 0, finished);
        }
    }

    /**
     * The dependencies that the record has to name: those that aren't completed, which is final. One that is cancelled
     * decides the job's fate alone.
     */
    private List<String> dependenciesToRecord(Collection<String> dependencyIds) {
        List<String> undecided = new ArrayList<>();
        for (String id : dependencyIds) {
            if (dependencies.isCancelled(id)) {
                return List.of(id);
            }
            if (!dependencies.isDone(id)) {
                undecided.add(id);
            }
        }
        return undecided;
    }

    private static List<List<String>> splitIntoLists(List<String> ids, int maxBytes) {
        List<List<String>> lists = new ArrayList<>();
        int remainingBytes = 0;
        for (String id : ids) {
            int bytes = id.length() + LIST_ELEMENT_OVERHEAD_BYTES;
            if (remainingBytes < bytes) {
                lists.add(new ArrayList<>());
                remainingBytes = maxBytes - RecordSize.encodedBytes(JobRecordCodec.encodeDependencyList(List.of()));
            }
            lists.get(lists.size() - 1).add(id);
            remainingBytes -= bytes;
        }
        return lists;
    }

    private void writeDependencyLists(
            JobSpec spec, DependencyLists dependencyLists, int from, Consumer<SubmissionOutcome> finished) {
        if (from >= dependencyLists.lists().size()) {
            writeJobRecord(spec, List.of(), dependencyLists, JobConstants.SUBMISSION_WRITE_ATTEMPTS, finished);
            return;
        }
        if (store.shouldShedWrite()) {
            finished.accept(SubmissionOutcome.RETRY_LATER);
            return;
        }
        CompareAndSwap transaction = new CompareAndSwap();
        int to = Math.min(dependencyLists.lists().size(), from + settings.txnOps());
        for (int i = from; i < to; i++) {
            String key = dependencyLists.key(i);
            transaction
                    .expectAbsent(key)
                    .put(
                            key,
                            JobRecordCodec.encodeDependencyList(
                                    dependencyLists.lists().get(i)));
        }
        store.commit(transaction, result -> {
            if (result.committed()) {
                writeDependencyLists(spec, dependencyLists, to, finished);
            } else {
                finished.accept(SubmissionOutcome.RETRY_LATER);
            }
        });
    }

    /**
     * The write is conditional on the leader record: so a later leader knows that no earlier one can have started the
     * job. That condition may fail since this controller's replica is behind, hence the further attempts.
     */
    private void writeJobRecord(
            JobSpec spec,
            List<String> dependencyIds,
            DependencyLists dependencyLists,
            int attempts,
            Consumer<SubmissionOutcome> finished) {
        long leaderRecordRevision = membership.leaderRecordRevision();
        if (leaderRecordRevision == 0 || store.shouldShedWrite()) {
            finished.accept(SubmissionOutcome.RETRY_LATER);
            return;
        }
        String key = StoreKeys.job(spec.id());
        CompareAndSwap transaction = new CompareAndSwap()
                .expectAbsent(key)
                .expectRevision(StoreKeys.LEADER_RECORD, leaderRecordRevision)
                .put(key, JobRecordCodec.encodeLive(spec, leaderRecordRevision, dependencyIds, dependencyLists));
        store.commit(transaction, result -> {
            boolean existed = result.conflictingKeys().contains(key);
            if (result.committed() || existed) {
                onRecordExists.accept(spec.id(), result.revision());
                finished.accept(existed ? SubmissionOutcome.ALREADY_EXISTS : SubmissionOutcome.CREATED);
            } else if (result.conflicted() && attempts > 1) {
                eventLoop.after(
                        2 * StoreConstants.WATCH_GAP_MS,
                        () -> writeJobRecord(spec, dependencyIds, dependencyLists, attempts - 1, finished));
            } else {
                finished.accept(SubmissionOutcome.RETRY_LATER);
            }
        });
    }
}
