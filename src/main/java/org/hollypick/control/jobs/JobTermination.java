package org.hollypick.control.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.core.Job;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.Scheduler;
import org.hollypick.core.WorkerLeases;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Response;
import org.hollypick.records.Records;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The ends of jobs: written once, told after, and no answer of this node's while their outcome is open. */
public final class JobTermination {
    private static final Logger LOG = LoggerFactory.getLogger(JobTermination.class);

    private final long token;
    private final EventLoop eventLoop;
    private final Scheduler scheduler;
    private final JobDependencies dependencies;
    private final KeyValueStoreClient store;
    private final Runnable changed;
    /** What a job's record says once it is over, and who hears that it is. */
    private final BiFunction<Job, String, ObjectNode> record;

    private final Consumer<String> ended;
    /** Jobs whose cancellation went out and may be, or become, durable. */
    private final Set<String> abortsInDoubt = new HashSet<>();
    /**
     * Finished jobs whose records weren't as expected: each is written in a transaction of its own, so that it holds up
     * no others.
     */
    private final Set<String> writtenAlone = new HashSet<>();
    /** Transactions under way that end finished jobs. */
    private int closings;
    /** Live jobs that are to be cancelled. */
    private final Map<String, Cancellation> cancelling = new LinkedHashMap<>();
    /** Jobs whose end is known by an answer, and not by the view yet: a record that was read before calls them live. */
    private final Set<String> overBeforeView = new HashSet<>();
    /** The newest change by which a job was cancelled in this term, as far as this node knows. */
    private long cancelledAt;

    /** A cancellation that isn't known to be durable yet. */
    private static final class Cancellation {
        private final Job job;
        private final long since;
        private final List<Consumer<Boolean>> waiting = new ArrayList<>();
        private boolean writing;
        private long writtenAt = WorkerLeases.NEVER;

        Cancellation(Job job, long since) {
            this.job = job;
            this.since = since;
        }

        void tell(boolean durable) {
            List<Consumer<Boolean>> told = new ArrayList<>(waiting);
            waiting.clear();
            told.forEach(t -> t.accept(durable));
        }
    }

    /**
     * {@code changed} runs after each change of a job's state; {@code record} makes a job's terminal record from the
     * job and its status; {@code ended} receives the id of each job that became terminal.
     */
    public JobTermination(
            EventLoop eventLoop,
            Scheduler scheduler,
            JobDependencies dependencies,
            KeyValueStoreClient store,
            Runnable changed,
            BiFunction<Job, String, ObjectNode> record,
            Consumer<String> ended) {
        this.token = scheduler.token();
        this.eventLoop = eventLoop;
        this.scheduler = scheduler;
        this.dependencies = dependencies;
        this.store = store;
        this.changed = changed;
        this.record = record;
        this.ended = ended;
    }

    /**
     * Whether this term has ended the job, though the view's record is still the one before. It mustn't be taken up
     * again from that: users would be told that it is live, and its tasks would start once more.
     */
    public boolean isTerminal(String id) {
        return overBeforeView.contains(id);
    }

    /** The view shows that the job is over. */
    public void recordShowsTerminal(String id) {
        overBeforeView.remove(id);
    }

    /** The answer to its write says that the end is durable. */
    private void overByAnswer(Job job, String status) {
        if (scheduler.hasJob(job.spec.id())) {
            overBeforeView.add(job.spec.id()); // else the view was first
        }
        over(job, status);
    }

    /** The end is durable. */
    public void over(Job job, String status) {
        String id = job.spec.id();
        scheduler.removeJob(id);
        ended.accept(id);
        abortsInDoubt.remove(id);
        writtenAlone.remove(id);
        if (status.equals(Records.ABORTED)) {
            scheduler.markCancelled(job);
            dependencies.cancelled(id);
        } else {
            scheduler.markDone(job);
            dependencies.done(id);
        }
        Cancellation c = cancelling.remove(id);
        if (c != null) {
            c.tell(status.equals(Records.ABORTED));
        }
        changed.run();
    }

    /**
     * Cancels a job: its tasks go at once, and its end is written, again and again until that is known to be durable.
     * {@code told} gets true once it is, false if that takes longer than its user waits: by then another node may tell
     * it all the same.
     */
    public void cancel(Job job, Consumer<Boolean> told) {
        Cancellation c = cancelling.computeIfAbsent(job.spec.id(), id -> {
            LOG.info("cancelling job={} token={} launch_may_come={}", id, token, scheduler.launchMayStillExecute(job));
            return new Cancellation(job, eventLoop.now());
        });
        c.waiting.add(told);
        eventLoop.after(JobConstants.CANCELLATION_RESPONSE_TIMEOUT_MS, () -> {
            if (c.waiting.remove(told)) {
                told.accept(false);
            }
        });
        scheduler.cancel(job);
        changed.run();
    }

    /**
     * Writes the cancellations that wait. None while a task of the job may yet start, by a launch under way or once its
     * image is there: so from the moment when anybody can be told nothing of it starts, and all that there is of it is
     * shown by the reports that are answered, and told to end by each answer. {@code reachable}: the state service
     * answers; without a user who waits it is written only then, and after everything that users wait for.
     */
    public void writeCancellations(boolean reachable) {
        long now = eventLoop.now();
        for (Cancellation c : new ArrayList<>(cancelling.values())) {
            boolean again = reachable
                    && now - c.writtenAt >= JobConstants.CANCELLATION_REWRITE_MS
                    && store.hasSpareWriteCapacity();
            if (!c.writing && (again || !c.waiting.isEmpty()) && !scheduler.launchMayStillExecute(c.job)) {
                write(c);
            }
        }
    }

    private void write(Cancellation c) {
        c.writing = true;
        c.writtenAt = eventLoop.now();
        commit(List.of(ending(c.job, Records.ABORTED)), r -> {
            c.writing = false;
            LOG.info("abort job={} status={} token={}", c.job.spec.id(), r.status(), token);
            if (r.ok()) {
                cancelledAt(Codec.u64(r.body().path("epoch")));
                overByAnswer(c.job, Records.ABORTED);
            }
            c.tell(r.ok());
        });
    }

    /**
     * A launch has kept a cancellation waiting for so long, on a machine whose lease is still renewed, that a new token
     * has to end it: workers refuse what was sent under the older one.
     */
    public boolean fencingDue(long now) {
        long since = now - JobConstants.FENCING_DELAY_MS;
        return cancelling.values().stream()
                .anyMatch(c -> c.since < since && scheduler.commands().directLaunchPending(c.job, since));
    }

    /** The end of one job as it is to be written. */
    private record Ending(Job job, String status, ObjectNode record) {}

    private Ending ending(Job job, String status) {
        return new Ending(job, status, record.apply(job, status));
    }

    /** Until the outcome is known for certain, this node's own idea of the jobs is no answer to users. */
    private void commit(List<Ending> endings, Consumer<Response> reply) {
        CompareAndSwap txn = new CompareAndSwap().expectRevision(StoreKeys.LEADER_RECORD, token);
        for (Ending e : endings) {
            String id = e.job.spec.id();
            e.job.unresolvedTerminalWrites++;
            if (e.status.equals(Records.ABORTED)) {
                abortsInDoubt.add(id);
            }
            txn.expectRevision(StoreKeys.job(id), e.job.arrivalRevision).put(StoreKeys.job(id), e.record);
        }
        store.commit(txn, r -> {
            for (Ending e : endings) {
                if (!r.failedWith(Response.Failure.NO_RESPONSE) && --e.job.unresolvedTerminalWrites == 0) {
                    abortsInDoubt.remove(e.job.spec.id());
                }
            }
            reply.accept(r);
        });
    }

    private void cancelledAt(long epoch) {
        cancelledAt = Long.compareUnsigned(epoch, cancelledAt) > 0 ? epoch : cancelledAt;
    }

    /** A cancellation of this term was found in the records. */
    public void cancelled(Job job, long stamp) {
        cancelledAt(stamp);
        over(job, Records.ABORTED);
    }

    /** The newest revision by which a job was cancelled in this term, as far as this node knows. */
    public long cancelledAt() {
        return cancelledAt;
    }

    /**
     * Whether whoever has followed the records up to there knows every cancellation that may have been told to anyone.
     */
    public boolean replicaShowsAllCancellations(long epoch) {
        return abortsInDoubt.isEmpty() && Long.compareUnsigned(epoch, cancelledAt) >= 0;
    }

    /** It is to be cancelled, and that may be durable. */
    public boolean cancelling(String id) {
        return cancelling.containsKey(id);
    }

    /** Whether another node may already tell an end of the job: its own, or the cancellation of one that it needs. */
    public boolean inDoubt(Job job) {
        return job.unresolvedTerminalWrites > 0
                || (!abortsInDoubt.isEmpty() && dependencies.needsAny(job.spec.id(), abortsInDoubt));
    }

    /**
     * Writes the ends of the jobs that are finished, several to a transaction. While anything waits for its turn at the
     * state service, fewer are under way: ends that waited there would keep new jobs from being accepted, and too few
     * would be told late.
     */
    public void closeFinished() {
        List<Job> finished = new ArrayList<>();
        for (Job job : scheduler.outbox().jobsWithNewCompletions()) {
            if (job.finished() && !job.terminalWriteInFlight) {
                finished.add(job);
            }
        }
        int next = 0;
        while (next < finished.size()
                && closings
                        < (store.areQueuesEmpty()
                                ? JobConstants.TERMINAL_WRITES_IN_FLIGHT
                                : JobConstants.TERMINAL_WRITES_WHILE_QUEUED)) {
            List<Ending> batch = batch(finished, next);
            next += batch.size();
            close(batch);
        }
    }

    /**
     * The ends from {@code from} on that one transaction has room for. One whose transaction failed for its sake is
     * written alone.
     */
    private List<Ending> batch(List<Job> finished, int from) {
        List<Ending> batch = new ArrayList<>();
        int bytes = 0;
        for (Job job : finished.subList(from, finished.size())) {
            Ending e = ending(job, job.successful() ? Records.DONE : Records.ABORTED);
            bytes += Records.bytes(e.record);
            boolean alone = writtenAlone.contains(job.spec.id());
            if (!batch.isEmpty()
                    && (alone
                            || batch.size() >= store.maxBatchWrites()
                            || bytes > NetworkConstants.MAX_BODY_BYTES / 2)) {
                break;
            }
            batch.add(e);
            if (alone) {
                break;
            }
        }
        return batch;
    }

    private void close(List<Ending> batch) {
        closings++;
        for (Ending e : batch) {
            scheduler.outbox().removeNewCompletions(e.job);
            e.job.terminalWriteInFlight = true;
        }
        commit(batch, r -> {
            closings--;
            if (r.status() == 409) {
                for (JsonNode key : r.body().path("failed")) {
                    if (key.asText().startsWith(StoreKeys.JOB)) {
                        writtenAlone.add(key.asText().substring(StoreKeys.JOB.length()));
                    }
                }
            }
            batch.forEach(e -> closed(e, r.ok()));
        });
    }

    private void closed(Ending e, boolean durable) {
        Job job = e.job;
        job.terminalWriteInFlight = false;
        if (durable) {
            LOG.info("job {} job={} token={}", e.status, job.spec.id(), token);
            overByAnswer(job, e.status);
        } else if (job.status == Job.Status.LIVE) {
            scheduler.outbox().addNewCompletions(job);
        }
    }
}
