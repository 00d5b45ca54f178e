package org.hollypick.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.hollypick.api.JobCodec;
import org.hollypick.cloud.CloudClient;
import org.hollypick.cluster.Keys;
import org.hollypick.cluster.View;
import org.hollypick.config.Constants;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.core.Dependencies;
import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.ledger.Machine;
import org.hollypick.core.ledger.Report;
import org.hollypick.io.Answer;
import org.hollypick.io.Codec;
import org.hollypick.io.Reply;
import org.hollypick.io.Runtime;
import org.hollypick.state.StateClient;
import org.hollypick.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of ownership, under one baton: the loops that bring machines, tasks, rentals and the jobs' durable records to
 * what the scheduler wants. It does nothing outside itself unless {@code entitled} says that this node's hold is valid.
 */
public final class Term {
    private static final Logger LOG = LoggerFactory.getLogger(Term.class);

    public final long baton;
    public final Scheduler scheduler;
    private final Runtime runtime;
    private final Settings settings;
    private final View view;
    private final StateClient state;
    private final Workers workers;
    private final Rentals rentals;
    private final Registry registry;
    private final Progress progress;
    private final Cascade cascade;
    private final Dependencies dependencies;
    private final BooleanSupplier entitled;
    private final Runnable fence;
    private final Map<String, MachineType> types;
    private final Runnable resign;
    /** Jobs whose cancellation went out and may be, or become, durable. */
    private final Set<String> abortsInDoubt = new HashSet<>();

    private boolean ended;
    private boolean pumping;
    private long lastTick;
    private long smoothSince;
    private long nextFleet;
    private long nextPass;
    private long nextList;
    private long nextSizes;
    private long nextSummary;
    private String lastSizes = "";
    /** How late this loop runs, in milliseconds: what the node's processor share does to it. */
    private final Histogram lateness = new Histogram(2);

    public Term(long baton, Runtime runtime, Settings settings, OperatorSettings operator, View view, Dependencies dependencies, StateClient state,
            CloudClient cloud, WorkerClient client, Map<String, MachineType> types, BooleanSupplier entitled, BooleanSupplier reachesState, Runnable fence,
            Runnable resign, boolean nobodyBefore) {
        this.baton = baton;
        this.runtime = runtime;
        this.settings = settings;
        this.view = view;
        this.dependencies = dependencies;
        this.state = state;
        this.types = types;
        this.entitled = entitled;
        this.fence = fence;
        this.resign = resign;
        this.lastTick = runtime.now() - Constants.TICK_MS;
        this.smoothSince = runtime.now();
        this.scheduler = new Scheduler(baton, settings, operator.firstShare(), runtime.now());
        this.workers = new Workers(runtime, settings, scheduler, client, types, this::acting, this::pump);
        this.rentals = new Rentals(runtime, settings, operator, scheduler, cloud, types, this::acting, reachesState, this::pump, nobodyBefore);
        this.registry = new Registry(runtime, view, state, settings, baton, scheduler.gone::contains);
        this.progress = new Progress(runtime, view, state, settings, scheduler);
        this.cascade = new Cascade(runtime, view, state, settings, baton);
    }

    /** Starts from the records; the view holds every change up to the roster's own, and older owners can make none after it. */
    public void start() {
        Map<String, Double> sizes = new HashMap<>();
        List<String> keys = new ArrayList<>();
        view.entries().forEach((key, e) -> {
            if (key.startsWith(Keys.SIZES)) {
                e.data().path("sizes").fields().forEachRemaining(f -> sizes.put(f.getKey(), f.getValue().asDouble()));
            } else if (!key.startsWith(Keys.MACHINES)) {
                keys.add(key);
            }
        });
        registry.load(this::loadMachine);
        recordsChanged(keys);
        progress.load();
        for (Job job : scheduler.jobs.values()) {
            if (sizes.containsKey(job.spec.id())) {
                scheduler.restoreSize(job, sizes.get(job.spec.id()));
            }
            if (job.finished()) {
                scheduler.progressDirty.add(job);
            }
        }
        LOG.info("term starts baton={} jobs={} machines={}", baton, scheduler.jobs.size(), scheduler.machines.size());
        loop();
    }

    public void end() {
        LOG.info("term ends baton={}", baton);
        ended = true;
    }

    private void loadMachine(String id, JsonNode r) {
        MachineType type = types.get(r.path("type").asText());
        if (type == null) {
            type = new MachineType(r.path("type").asText(), 0, 0, 0, 0, 1, 1, 1, 60, Set.of());
        }
        Machine m = scheduler.addMachine(id, type, r.path("zone").asText(), r.path("spot").asBoolean(), true, runtime.now());
        m.addr = r.path("addr").asText("");
        m.lastReportAt = runtime.now();
    }

    /** A worker's report, while this node may act. */
    public Answer hello(Report r) {
        return workers.hello(r);
    }

    /** Whether this node may act for this term now. */
    public boolean acting() {
        return !ended && entitled.getAsBoolean();
    }

    // ---- records ----

    /** Jobs that appeared, and ends that a transaction of ours brought although its answer got lost. */
    public void recordsChanged(Collection<String> keys) {
        long now = runtime.now();
        registry.changed(keys);
        for (String key : keys) {
            if (!key.startsWith(Keys.JOB)) {
                continue;
            }
            View.Entry e = view.get(key);
            String id = key.substring(Keys.JOB.length());
            Job job = scheduler.jobs.get(id);
            if (e == null) {
                continue;
            }
            if (!Records.isOver(e.data())) {
                if (dependencies.isCancelled(id)) {
                    cascade.add(id, e.stamp());
                } else if (job == null) {
                    try {
                        JobSpec spec = JobCodec.read(e.data().path("spec"));
                        LOG.info("job job={} class={} tasks={} baton={}", id, spec.jobClass(), spec.tasks(), baton);
                        scheduler.addJob(spec, e.stamp(), Codec.u64(e.data().path("under")), dependencies.ready(id), dependencies.rank(id));
                    } catch (JobCodec.Invalid x) {
                        LOG.error("job record can't be read job={} field={}", id, x.getMessage());
                    }
                }
            } else if (job != null) {
                over(job, Records.status(e.data()));
            }
        }
        followDependencies();
        pump();
    }

    /** Ends that are durable release what waited for them, or take it along. */
    private void followDependencies() {
        for (String id : dependencies.takeChanged()) {
            Job job = scheduler.jobs.get(id);
            if (job != null && dependencies.isCancelled(id)) {
                scheduler.jobs.remove(id);
                scheduler.abort(job, runtime.now());
                cascade.add(id, job.order);
            } else if (job != null) {
                scheduler.follow(job, dependencies.ready(id), dependencies.rank(id));
            }
        }
    }

    private void over(Job job, String status) {
        String id = job.spec.id();
        scheduler.jobs.remove(id);
        abortsInDoubt.remove(id);
        if (status.equals(Records.ABORTED)) {
            scheduler.abort(job, runtime.now());
            dependencies.cancelled(id);
        } else {
            scheduler.close(job);
            dependencies.done(id);
        }
        followDependencies();
        pump();
    }

    /** Commits the end of a job; {@code done} gets true once it is durable, false if that isn't known. */
    public void abort(Job job, Consumer<Boolean> done) {
        commitEnd(job, Records.ABORTED, r -> {
            LOG.info("abort job={} status={} baton={}", job.spec.id(), r.status(), baton);
            if (r.ok()) {
                over(job, Records.ABORTED);
            }
            done.accept(r.ok());
        });
    }

    /** Until the outcome is known for certain, this node's own idea of the job is no answer to users. */
    private void commitEnd(Job job, String status, Consumer<Reply> reply) {
        job.endsInDoubt++;
        if (status.equals(Records.ABORTED)) {
            abortsInDoubt.add(job.spec.id());
        }
        state.commit(ending(job, status), r -> {
            if (r.status() != Reply.NO_ANSWER && --job.endsInDoubt == 0) {
                abortsInDoubt.remove(job.spec.id());
            }
            reply.accept(r);
        });
    }

    /** Whether another node may already tell an end of the job: its own, or the cancellation of one that it needs. */
    public boolean inDoubt(Job job) {
        return job.endsInDoubt > 0 || !abortsInDoubt.isEmpty() && dependencies.needsAny(job.spec.id(), abortsInDoubt);
    }

    private StateClient.Txn ending(Job job, String status) {
        String id = job.spec.id();
        return new StateClient.Txn().when(Keys.ROSTER, baton).when(Keys.job(id), job.order).put(Keys.job(id), Records.over(status, job.done.cardinality()));
    }

    /** Writes the ends of the jobs that are finished. */
    private void closeFinished() {
        for (Job job : new ArrayList<>(scheduler.progressDirty)) {
            if (!job.finished() || job.closing) {
                continue;
            }
            scheduler.progressDirty.remove(job);
            job.closing = true;
            commitEnd(job, Records.DONE, r -> {
                job.closing = false;
                if (r.ok()) {
                    LOG.info("job done job={} baton={}", job.spec.id(), baton);
                    over(job, Records.DONE);
                } else if (job.status == Job.Status.LIVE) {
                    scheduler.progressDirty.add(job);
                }
            });
        }
    }

    private void register() {
        scheduler.toRegister.forEach(registry::add);
        scheduler.toRegister.clear();
        scheduler.toForget.forEach(registry::drop);
        scheduler.toForget.clear();
        registry.flush(machines -> {
            machines.forEach(scheduler::registered);
            pump();
        });
    }

    // ---- the regular loop ----

    private void loop() {
        if (ended) {
            return;
        }
        long now = runtime.now();
        lateness.recordValue(Math.max(0, now - lastTick - Constants.TICK_MS));
        if (now - lastTick > 4 * Constants.TICK_MS) {
            smoothSince = now; // this node itself was held up, so silence proves nothing yet
        }
        lastTick = now;
        if (acting()) {
            scheduler.tick(now);
            scheduler.passWanted |= now >= nextPass;
            rentals.giveBack(workers.silent(now, smoothSince), "silent");
            if (workers.cutOff(now)) {
                LOG.info("cut off from the machines, resigning baton={}", baton);
                resign.run();
            }
            workers.contactUnheard();
            if (now >= nextList) {
                nextList = now + Constants.LIST_MS;
                rentals.list();
            }
            if (now >= nextFleet) {
                nextFleet = now + Constants.FLEET_MS;
                rentals.rentAndReturn(now);
                if (scheduler.fenceDue(now)) {
                    fence.run();
                }
            }
            if (now >= nextSummary) {
                nextSummary = now + Constants.SUMMARY_MS;
                summary();
            }
            if (now >= nextSizes) {
                nextSizes = now + Constants.SIZES_MS;
                writeSizes();
            }
            pump();
        } else {
            smoothSince = now;
        }
        runtime.after(Constants.TICK_MS, this::loop);
    }

    private void summary() {
        double[] cores = new double[4]; // ordinary, spot, booting, used
        int idle = 0;
        for (Machine m : scheduler.machines.values()) {
            cores[!m.up ? 2 : m.spot ? 1 : 0] += m.type.cpus();
            cores[3] += m.usedCpus;
            idle += m.up && m.idle() ? 1 : 0;
        }
        int fetching = 0;
        double serviceCores = 0;
        double waiting = 0;
        double waitingServices = 0;
        for (Machine m : scheduler.machines.values()) {
            fetching += m.startingTasks();
            serviceCores += m.serviceCpus();
        }
        for (Job job : scheduler.jobs.values()) {
            double pending = job.waits() ? job.pending.cardinality() * job.spec.cpus() : 0;
            waiting += job.spec.service() ? 0 : pending;
            waitingServices += job.spec.service() ? pending : 0;
        }
        LOG.info("fleet baton={} settled={} machines={} idle={} cores ordinary={} spot={} booting={} used={} services={} waiting={} waiting_services={} load={} fetching={} late_p99={} late_max={}",
                baton, scheduler.settled(), scheduler.machines.size(), idle, cores[0], cores[1], cores[2], cores[3], serviceCores, waiting, waitingServices, Math.round(rentals.load()), fetching,
                lateness.getValueAtPercentile(99), lateness.getMaxValue());
        lateness.reset();
    }

    /** One look at what changed and its orders, shared by all events that come close together. */
    public void pump() {
        if (pumping || ended) {
            return;
        }
        pumping = true;
        runtime.after(Constants.PASS_GAP_MS, () -> {
            pumping = false;
            if (!acting()) {
                return;
            }
            long now = runtime.now();
            if (scheduler.passWanted) {
                scheduler.freed.clear();
                nextPass = now + Constants.PASS_EVERY_MS;
                scheduler.pass(now);
            }
            List<Machine> freed = new ArrayList<>(scheduler.freed);
            scheduler.freed.clear();
            freed.forEach(m -> scheduler.fill(m, now));
            workers.send();
            closeFinished();
            register();
            progress.flush();
            cascade.flush();
        });
    }

    private void writeSizes() {
        ObjectNode record = Codec.object();
        ObjectNode sizes = record.putObject("sizes");
        // The value limit bounds it, the largest first; a size that is left out restarts at zero after a takeover.
        int left = Records.room(settings) - Records.bytes(record);
        for (Map.Entry<String, Double> e : scheduler.sizes().entrySet().stream()
                .sorted((x, y) -> Double.compare(Math.abs(y.getValue()), Math.abs(x.getValue()))).toList()) {
            double size = Math.round(e.getValue() * 10) / 10.0;
            left -= e.getKey().length() + Double.toString(size).length() + 4; // quotes, colon and comma
            if (left < 0) {
                break;
            }
            sizes.put(e.getKey(), size);
        }
        String text = record.toString();
        if (!text.equals(lastSizes)) {
            state.commit(new StateClient.Txn().when(Keys.ROSTER, baton).put(Keys.sizes(settings.node()), record), r -> {
                if (r.ok()) {
                    lastSizes = text;
                }
            });
        }
    }
}
