package org.hollypick.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.hollypick.cluster.Keys;
import org.hollypick.core.Dependencies;
import org.hollypick.core.Job;
import org.hollypick.core.Scheduler;
import org.hollypick.io.Codec;
import org.hollypick.io.Reply;
import org.hollypick.io.Runtime;
import org.hollypick.records.Records;
import org.hollypick.state.StateClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The ends of jobs: written once, told after, and no answer of this node's while their outcome is open. */
public final class Ends {
    private static final Logger LOG = LoggerFactory.getLogger(Ends.class);

    private final long baton;
    private final Runtime runtime;
    private final Scheduler scheduler;
    private final Dependencies dependencies;
    private final StateClient state;
    private final Runnable changed;
    /** What a job's record says once it is over, and who hears that it is. */
    private final BiFunction<Job, String, ObjectNode> record;
    private final Consumer<String> ended;
    /** Jobs whose cancellation went out and may be, or become, durable. */
    private final Set<String> abortsInDoubt = new HashSet<>();
    /** The newest change by which a job was cancelled in this term, as far as this node knows. */
    private long cancelledAt;

    Ends(Runtime runtime, Scheduler scheduler, Dependencies dependencies, StateClient state, Runnable changed,
            BiFunction<Job, String, ObjectNode> record, Consumer<String> ended) {
        this.baton = scheduler.baton;
        this.runtime = runtime;
        this.scheduler = scheduler;
        this.dependencies = dependencies;
        this.state = state;
        this.changed = changed;
        this.record = record;
        this.ended = ended;
    }

    /** The end is durable. */
    void over(Job job, String status) {
        String id = job.spec.id();
        scheduler.jobs.remove(id);
        ended.accept(id);
        abortsInDoubt.remove(id);
        if (status.equals(Records.ABORTED)) {
            scheduler.abort(job, runtime.now());
            dependencies.cancelled(id);
        } else {
            scheduler.close(job);
            dependencies.done(id);
        }
        changed.run();
    }

    /** Commits the end of a job; {@code done} gets true once it is durable, false if that isn't known. */
    public void abort(Job job, Consumer<Boolean> done) {
        commit(job, Records.ABORTED, r -> {
            LOG.info("abort job={} status={} baton={}", job.spec.id(), r.status(), baton);
            if (r.ok()) {
                cancelledAt(Codec.u64(r.body().path("epoch")));
                over(job, Records.ABORTED);
            }
            done.accept(r.ok());
        });
    }

    /** Until the outcome is known for certain, this node's own idea of the job is no answer to users. */
    private void commit(Job job, String status, Consumer<Reply> reply) {
        String id = job.spec.id();
        job.endsInDoubt++;
        if (status.equals(Records.ABORTED)) {
            abortsInDoubt.add(id);
        }
        StateClient.Txn txn = new StateClient.Txn().when(Keys.ROSTER, baton).when(Keys.job(id), job.order)
                .put(Keys.job(id), record.apply(job, status));
        state.commit(txn, r -> {
            if (r.status() != Reply.NO_ANSWER && --job.endsInDoubt == 0) {
                abortsInDoubt.remove(id);
            }
            reply.accept(r);
        });
    }

    private void cancelledAt(long epoch) {
        cancelledAt = Long.compareUnsigned(epoch, cancelledAt) > 0 ? epoch : cancelledAt;
    }

    /** A cancellation of this term was found in the records. */
    void cancelled(Job job, long stamp) {
        cancelledAt(stamp);
        over(job, Records.ABORTED);
    }

    /** Whether whoever has followed the records up to there knows every cancellation that may have been told to anyone. */
    boolean allCancelledKnown(long epoch) {
        return abortsInDoubt.isEmpty() && Long.compareUnsigned(epoch, cancelledAt) >= 0;
    }

    /** Its user asked to cancel it, and that may be durable. */
    public boolean cancellationInDoubt(String id) {
        return abortsInDoubt.contains(id);
    }

    /** Whether another node may already tell an end of the job: its own, or the cancellation of one that it needs. */
    public boolean inDoubt(Job job) {
        return job.endsInDoubt > 0 || !abortsInDoubt.isEmpty() && dependencies.needsAny(job.spec.id(), abortsInDoubt);
    }

    /** Writes the ends of the jobs that are finished. */
    void closeFinished() {
        for (Job job : new ArrayList<>(scheduler.progressDirty)) {
            if (!job.finished() || job.closing) {
                continue;
            }
            scheduler.progressDirty.remove(job);
            job.closing = true;
            String status = job.successful() ? Records.DONE : Records.ABORTED;
            commit(job, status, r -> {
                job.closing = false;
                if (r.ok()) {
                    LOG.info("job {} job={} baton={}", status, job.spec.id(), baton);
                    over(job, status);
                } else if (job.status == Job.Status.LIVE) {
                    scheduler.progressDirty.add(job);
                }
            });
        }
    }
}
