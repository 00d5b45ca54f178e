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
 * Writes the records of submitted jobs. Dependencies that don't fit into a job's own record are written first, to
 * records under keys that were never used before. The job exists only once its own record, which refers to the others,
 * is written. Confined to the event loop.
 */
final class SubmissionWriter {
    /** Bytes of the quotes and comma around an id in a list. */
    private static final int LIST_ELEMENT_OVERHEAD_BYTES = 3;

    private final EventLoop eventLoop;
    private final Settings settings;
    private final KeyValueStoreClient store;
    private final Membership membership;
    private final JobDependencies dependencies;
    private final ObjLongConsumer<String> onRecordExists;
    /** Number of keys used for dependency lists, which makes the next one unique. */
    private long usedDependencyKeys;

    /**
     * Creates a writer.
     *
     * @param onRecordExists receives the id of each job that has a record, and a revision at which the record existed
     */
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
    void write(JobSpec spec, Collection<String> dependencyIds, Consumer<SubmissionOutcome> onOutcome) {
        List<String> recordedDependencies = dependenciesToRecord(dependencyIds);
        int maxBytes = RecordSize.maxBytes(settings);
        if (RecordSize.encodedBytes(JobRecordCodec.encodeLive(spec, Long.MAX_VALUE, recordedDependencies, null))
                <= maxBytes) {
            writeJobRecord(spec, recordedDependencies, null, JobConstants.MAX_SUBMISSION_WRITE_ATTEMPTS, onOutcome);
            return;
        }
        String key = StoreKeys.dependencies(settings.node(), membership.memberRevision(), usedDependencyKeys);
        usedDependencyKeys++;
        DependencyLists dependencyLists = new DependencyLists(key, splitIntoLists(recordedDependencies, maxBytes));
        if (RecordSize.encodedBytes(JobRecordCodec.encodeLive(spec, Long.MAX_VALUE, List.of(), dependencyLists))
                > maxBytes) {
            onOutcome.accept(SubmissionOutcome.TOO_LARGE);
        } else {
            writeDependencyLists(spec, dependencyLists, 0, onOutcome);
        }
    }

    /**
     * The dependencies that the record has to name. Those that are completed are left out, since completion is final.
     * If one is cancelled, that one is enough, since the job is cancelled with it.
     */
    private List<String> dependenciesToRecord(Collection<String> dependencyIds) {
        List<String> recordedDependencies = new ArrayList<>();
        for (String id : dependencyIds) {
            if (dependencies.isCancelled(id)) {
                return List.of(id);
            }
            if (!dependencies.isDone(id)) {
                recordedDependencies.add(id);
            }
        }
        return recordedDependencies;
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
            JobSpec spec, DependencyLists dependencyLists, int from, Consumer<SubmissionOutcome> onOutcome) {
        if (from >= dependencyLists.lists().size()) {
            writeJobRecord(spec, List.of(), dependencyLists, JobConstants.MAX_SUBMISSION_WRITE_ATTEMPTS, onOutcome);
            return;
        }
        if (store.shouldShedWrite()) {
            onOutcome.accept(SubmissionOutcome.RETRY_LATER);
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
                writeDependencyLists(spec, dependencyLists, to, onOutcome);
            } else {
                onOutcome.accept(SubmissionOutcome.RETRY_LATER);
            }
        });
    }

    /**
     * Writes the job's record on the condition that the leader record is unchanged, so that a later leader can conclude
     * from the record that no earlier leader can have started the job. The write is attempted again if the condition
     * fails, since this controller's replica may be outdated.
     */
    private void writeJobRecord(
            JobSpec spec,
            List<String> dependencyIds,
            DependencyLists dependencyLists,
            int attempts,
            Consumer<SubmissionOutcome> onOutcome) {
        long leaderRecordRevision = membership.leaderRecordRevision();
        if (leaderRecordRevision == 0 || store.shouldShedWrite()) {
            onOutcome.accept(SubmissionOutcome.RETRY_LATER);
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
                onOutcome.accept(existed ? SubmissionOutcome.ALREADY_EXISTS : SubmissionOutcome.CREATED);
            } else if (result.conflicted() && attempts > 1) {
                eventLoop.after(
                        2 * StoreConstants.WATCH_GAP_MS,
                        () -> writeJobRecord(spec, dependencyIds, dependencyLists, attempts - 1, onOutcome));
            } else {
                onOutcome.accept(SubmissionOutcome.RETRY_LATER);
            }
        });
    }
}
