package org.hollypick.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
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
import org.hollypick.core.Job;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.fleet.Fleet;
import org.hollypick.core.ledger.Machine;
import org.hollypick.core.ledger.Order;
import org.hollypick.core.ledger.Placement;
import org.hollypick.core.ledger.Report;
import org.hollypick.io.Answer;
import org.hollypick.io.Codec;
import org.hollypick.io.Reply;
import org.hollypick.io.Runtime;
import org.hollypick.state.StateClient;
import org.hollypick.worker.WorkerClient;
import org.hollypick.worker.WorkerCodec;
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
    private final OperatorSettings operator;
    private final View view;
    private final StateClient state;
    private final CloudClient cloud;
    private final WorkerClient workers;
    private final BooleanSupplier entitled;
    private final Runnable fence;
    private final Map<String, MachineType> types;
    private final Fleet fleet;
    private final long startedAt;

    private boolean ended;
    private boolean pumping;
    private boolean flushing;
    private boolean listing;
    private boolean listedOnce;
    private long hires;
    private final Map<Fleet.Kind, Hire> hiring = new HashMap<>();
    private final Set<String> returning = new HashSet<>();
    private final Map<String, Long> listedAt = new HashMap<>();
    private long lastTick;
    private long smoothSince;
    private long nextFleet;
    private long nextList;
    private long nextSizes;
    private long nextSummary;
    private String lastSizes = "";
    /** How late this loop runs, in milliseconds: what the node's processor share does to it. */
    private final Histogram lateness = new Histogram(2);

    private record Hire(String name, int count) {}

    public Term(long baton, Runtime runtime, Settings settings, OperatorSettings operator, View view, StateClient state, CloudClient cloud,
            WorkerClient workers, Map<String, MachineType> types, BooleanSupplier entitled, Runnable fence) {
        this.baton = baton;
        this.runtime = runtime;
        this.settings = settings;
        this.operator = operator;
        this.view = view;
        this.state = state;
        this.cloud = cloud;
        this.workers = workers;
        this.types = types;
        this.entitled = entitled;
        this.fence = fence;
        this.fleet = new Fleet(operator);
        this.startedAt = runtime.now();
        this.lastTick = startedAt - Constants.TICK_MS;
        this.smoothSince = startedAt;
        this.scheduler = new Scheduler(baton, settings, operator.firstShare(), startedAt);
    }

    /** Starts from the records; the view holds every change up to the roster's own, and older owners can make none after it. */
    public void start() {
        Map<String, Double> sizes = new HashMap<>();
        List<String> keys = new ArrayList<>();
        view.entries().forEach((key, e) -> {
            if (key.startsWith(Keys.SIZES)) {
                e.data().path("sizes").fields().forEachRemaining(f -> sizes.put(f.getKey(), f.getValue().asDouble()));
            } else if (key.startsWith(Keys.MACHINE)) {
                loadMachine(key.substring(Keys.MACHINE.length()), e.data());
            } else {
                keys.add(key);
            }
        });
        recordsChanged(keys);
        for (Job job : scheduler.jobs.values()) {
            for (int chunk = 0; chunk < Records.chunks(job.spec.tasks()); chunk++) {
                View.Entry e = view.get(Keys.progress(job.spec.id(), chunk));
                if (e != null) {
                    Records.restore(job.done, chunk, e.data());
                }
            }
            job.committed = (BitSet) job.done.clone();
            job.pending.andNot(job.done);
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

    /** Whether this node may act for this term now. */
    public boolean acting() {
        return !ended && entitled.getAsBoolean();
    }

    // ---- records ----

    /** Jobs that appeared, and ends that a transaction of ours brought although its answer got lost. */
    public void recordsChanged(Collection<String> keys) {
        long now = runtime.now();
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
                if (job == null) {
                    try {
                        scheduler.addJob(JobCodec.read(e.data().path("spec")), e.stamp(), Codec.u64(e.data().path("under")), now);
                    } catch (JobCodec.Invalid x) {
                        LOG.error("job record can't be read job={} field={}", id, x.getMessage());
                    }
                }
            } else if (job != null) {
                over(job, e.data().path("status").asText());
            }
        }
        pump();
    }

    private void over(Job job, String status) {
        scheduler.jobs.remove(job.spec.id());
        if (status.equals(Records.ABORTED)) {
            scheduler.abort(job, runtime.now());
        } else {
            scheduler.close(job);
        }
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
        state.commit(ending(job, status), r -> {
            if (r.status() != Reply.NO_ANSWER) {
                job.endsInDoubt--;
            }
            reply.accept(r);
        });
    }

    private StateClient.Txn ending(Job job, String status) {
        String id = job.spec.id();
        StateClient.Txn txn = new StateClient.Txn().when(Keys.ROSTER, baton).when(Keys.job(id), job.order)
                .put(Keys.job(id), Records.over(job, status));
        for (int chunk = 0; chunk < Records.chunks(job.spec.tasks()); chunk++) {
            if (view.get(Keys.progress(id, chunk)) != null) {
                txn.drop(Keys.progress(id, chunk));
            }
        }
        return txn;
    }

    private void flush() {
        if (flushing || !acting()) {
            return;
        }
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
        StateClient.Txn txn = new StateClient.Txn().when(Keys.ROSTER, baton);
        Map<Job, BitSet> included = new HashMap<>();
        int bytes = 0;
        for (Job job : new ArrayList<>(scheduler.progressDirty)) {
            int chunks = Records.chunks(job.spec.tasks());
            if (job.closing || job.finished() || job.status != Job.Status.LIVE) {
                continue;
            }
            List<Integer> changed = new ArrayList<>();
            for (int chunk = 0; chunk < chunks; chunk++) {
                int from = chunk * Constants.PROGRESS_CHUNK;
                int to = from + Constants.PROGRESS_CHUNK;
                if (!job.done.get(from, to).equals(job.committed.get(from, to))) {
                    changed.add(chunk);
                }
            }
            int size = changed.size() * (Math.min(job.spec.tasks(), Constants.PROGRESS_CHUNK) / 6 + 200);
            if (txn.ops() + changed.size() > settings.txnOps() || bytes + size > Constants.BODY_BYTES * 3 / 4) {
                break;
            }
            bytes += size;
            scheduler.progressDirty.remove(job);
            if (!changed.isEmpty()) {
                txn.when(Keys.job(job.spec.id()), job.order);
                changed.forEach(chunk -> txn.put(Keys.progress(job.spec.id(), chunk), Records.progress(job.done, chunk)));
                included.put(job, (BitSet) job.done.clone());
            }
        }
        for (Machine m : scheduler.machines.values()) {
            if (!m.registered && !m.registering && m.up && txn.ops() < settings.txnOps()) {
                m.registering = true;
                txn.put(Keys.machine(m.id), Records.machine(m));
            }
        }
        List<String> drops = new ArrayList<>();
        for (String id : new ArrayList<>(scheduler.recordsToDrop)) {
            if (view.get(Keys.machine(id)) == null) {
                scheduler.recordsToDrop.remove(id);
            } else if (txn.ops() < settings.txnOps()) {
                txn.drop(Keys.machine(id));
                drops.add(id);
            }
        }
        if (txn.ops() == 0) {
            return;
        }
        flushing = true;
        List<Machine> registering = scheduler.machines.values().stream().filter(m -> m.registering).toList();
        state.commit(txn, r -> {
            flushing = false;
            registering.forEach(m -> {
                m.registering = false;
                m.registered |= r.ok();
            });
            if (r.ok()) {
                drops.forEach(scheduler.recordsToDrop::remove);
                included.forEach((job, bits) -> {
                    job.committed.or(bits);
                    scheduler.progressCommitted(job);
                });
                scheduler.passWanted |= !registering.isEmpty();
                pump();
            } else {
                scheduler.progressDirty.addAll(included.keySet());
            }
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
            scheduler.passWanted = true;
            silence(now);
            contactUnheard();
            if (now >= nextList) {
                nextList = now + Constants.LIST_MS;
                list();
            }
            if (now >= nextFleet) {
                nextFleet = now + Constants.FLEET_MS;
                rentAndReturn(now);
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
        for (Job job : scheduler.jobs.values()) {
            for (Placement p : job.live.values()) {
                fetching += p.state == Placement.State.FETCHING || p.state == Placement.State.SENT ? 1 : 0;
                serviceCores += job.spec.service() ? job.spec.cpus() : 0;
            }
            waiting += job.pending.cardinality() * job.spec.cpus();
        }
        LOG.info("fleet baton={} settled={} machines={} idle={} cores ordinary={} spot={} booting={} used={} services={} waiting={} fetching={} late_p99={} late_max={}",
                baton, scheduler.settled(), scheduler.machines.size(), idle, cores[0], cores[1], cores[2], cores[3], serviceCores, waiting, fetching,
                lateness.getValueAtPercentile(99), lateness.getMaxValue());
        lateness.reset();
    }

    /** One pass and its orders, shared by all events that come close together. */
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
            if (scheduler.passWanted) {
                scheduler.pass(runtime.now());
            }
            for (Machine m : new ArrayList<>(scheduler.ordersDirty)) {
                scheduler.ordersDirty.remove(m);
                direct(m, false);
            }
            flush();
        });
    }

    private void writeSizes() {
        ObjectNode record = Codec.object();
        ObjectNode sizes = record.putObject("sizes");
        // The value limit bounds it; a size that is left out restarts at zero after a takeover.
        scheduler.sizes().entrySet().stream().sorted((a, b) -> Double.compare(Math.abs(b.getValue()), Math.abs(a.getValue())))
                .limit(settings.valueBytes() / 64).forEach(e -> sizes.put(e.getKey(), Math.round(e.getValue() * 10) / 10.0));
        String text = record.toString();
        if (!text.equals(lastSizes)) {
            state.commit(new StateClient.Txn().when(Keys.ROSTER, baton).put(Keys.sizes(settings.node()), record), r -> {
                if (r.ok()) {
                    lastSizes = text;
                }
            });
        }
    }

    // ---- workers ----

    /** A worker's report, while this node may act. */
    public Answer hello(Report r) {
        long now = runtime.now();
        if (Long.compareUnsigned(r.baton(), baton) > 0 || scheduler.gone.contains(r.machine())) {
            return Answer.later("not for this node");
        }
        Machine m = scheduler.machines.get(r.machine());
        if (m == null) {
            MachineType type = types.get(r.type());
            if (type == null) {
                return Answer.later("machine type not known yet");
            }
            LOG.info("machine machine={} type={} zone={} spot={}", r.machine(), r.type(), r.zone(), r.spot());
            m = scheduler.addMachine(r.machine(), type, r.zone(), r.spot(), false, now);
        }
        boolean was = m.up;
        if (!accept(m, r, true, now) && (!m.up || r.tenure() != m.tenure || Long.compareUnsigned(r.tenure(), m.minTenure) < 0)) {
            return Answer.later("a report of an earlier tenure");
        }
        if (!was) {
            LOG.info("machine up machine={} tenure={} tasks={}", m.id, r.tenure(), r.tasks().size());
        }
        m.answeredAt = now;
        if (scheduler.passWanted) {
            scheduler.pass(now);
        }
        List<Order> orders = limited(scheduler.orders(m));
        scheduler.sentInAnswer(m, orders);
        if (m.heard) {
            scheduler.ordersDirty.remove(m);
        }
        pump();
        return Answer.of(200, WorkerCodec.orders(baton, orders));
    }

    private boolean accept(Machine m, Report r, boolean hello, long now) {
        m.lastReportAt = now;
        m.unanswered = 0;
        boolean fresh = scheduler.report(m, r, hello, now);
        if (fresh) {
            pump();
        }
        return fresh;
    }

    /** An answer holds 64 KiB at most; what is left out follows with the next. */
    private static List<Order> limited(List<Order> orders) {
        return orders.size() <= 300 ? orders : orders.subList(0, 300);
    }

    /** Sends what the machine should do; {@code probe}: even if that is nothing, to hear from it. */
    private void direct(Machine m, boolean probe) {
        long now = runtime.now();
        if (!acting() || m.directBusy || m.addr.isEmpty() || m.directAfter > now || m.returning) {
            return;
        }
        List<Order> orders = m.up ? limited(scheduler.orders(m)) : List.of();
        if (orders.isEmpty() && m.heard && !probe) {
            return;
        }
        long tenure = m.up ? m.tenure : 1;
        scheduler.sentDirect(m, orders);
        workers.command(m.addr, baton, tenure, orders, r -> {
            boolean settled = r.status() == 200 || r.status() == 409 || r.status() == 400 || r.status() == Reply.NOT_SENT;
            scheduler.directEnded(m, orders, tenure, settled);
            if (r.status() == 200 || r.status() == 409) {
                Report report = WorkerCodec.report(r.body());
                if (report != null && scheduler.machines.get(m.id) == m && Long.compareUnsigned(report.baton(), baton) <= 0) {
                    boolean again = !m.heard;
                    accept(m, report, false, runtime.now());
                    if (again && !m.heard) {
                        direct(m, true);
                    }
                }
            } else {
                m.unanswered++;
                LOG.debug("order unanswered machine={} status={}", m.id, r.status());
                m.directAfter = runtime.now() + Constants.DIRECT_PAUSE_MS;
            }
        });
    }

    /** After a takeover nothing tells more quickly what is where than asking every registered machine at once. */
    private void contactUnheard() {
        for (Machine m : scheduler.machines.values()) {
            if (!m.heard) {
                direct(m, true);
            }
        }
    }

    // ---- machines ----

    /** Machines that say nothing are returned: the answer proves that nothing runs there, long before the lease does. */
    private void silence(long now) {
        if (now - startedAt < Constants.SILENT_GRACE_MS || now - smoothSince < Constants.SILENT_GRACE_MS) {
            return;
        }
        List<Machine> silent = new ArrayList<>();
        int up = 0;
        for (Machine m : scheduler.machines.values()) {
            if (m.returning || !m.up && !m.registered) {
                continue;
            }
            up++;
            long quiet = now - m.lastReportAt;
            if (quiet > Constants.SILENT_MS && m.unanswered >= Constants.UNANSWERED) {
                silent.add(m);
            } else if (quiet > Constants.PROBE_MS) {
                direct(m, true);
            }
        }
        if (silent.size() > Math.max(2, up * Constants.SILENT_SHARE)) {
            return;
        }
        giveBack(silent, "silent");
    }

    private void giveBack(List<Machine> list, String why) {
        List<String> names = new ArrayList<>();
        for (Machine m : list.subList(0, Math.min(list.size(), Constants.RETURN_MAX))) {
            if (returning.add(m.id)) {
                m.returning = true;
                names.add(m.id);
            }
        }
        if (names.isEmpty()) {
            return;
        }
        LOG.info("return machines={} why={}", names, why);
        cloud.giveBack(names, r -> {
            names.forEach(returning::remove);
            for (String id : names) {
                if (r.ok()) {
                    scheduler.machineGone(id);
                }
            }
            pump();
        });
    }

    private void rentAndReturn(long now) {
        // Machines whose return wasn't answered: again, until it is.
        giveBack(scheduler.machines.values().stream().filter(m -> m.returning && !returning.contains(m.id)).toList(), "again");
        if (!listedOnce || now - startedAt < settings.listLagS() * 2000 && startedWithMachines()) {
            return; // machines that an earlier owner rented may not be listed yet
        }
        Fleet.Plan plan = fleet.plan(scheduler, types, settings.zones(), now);
        for (Fleet.Rent rent : plan.rents()) {
            if (!hiring.containsKey(rent.kind())) {
                hire(rent.kind(), new Hire(settings.node() + "-" + baton + "-" + hires++, rent.count()));
            }
        }
        giveBack(plan.returns(), "idle");
    }

    private boolean startedWithMachines() {
        return !scheduler.machines.isEmpty();
    }

    private void hire(Fleet.Kind kind, Hire hire) {
        hiring.put(kind, hire);
        if (!acting()) {
            hiring.remove(kind);
            return;
        }
        cloud.hire(hire.name(), kind.type(), kind.zone(), kind.spot(), hire.count(), r -> {
            LOG.info("hire type={} zone={} spot={} wanted={} status={} got={}", kind.type(), kind.zone(), kind.spot(), hire.count(),
                    r.status(), r.body().path("bothies").size());
            long now = runtime.now();
            if (r.status() == 200) {
                hiring.remove(kind);
                int got = 0;
                for (JsonNode id : r.body().path("bothies")) {
                    got++;
                    if (!scheduler.machines.containsKey(id.asText()) && !scheduler.gone.contains(id.asText()) && types.containsKey(kind.type())) {
                        scheduler.addMachine(id.asText(), types.get(kind.type()), kind.zone(), kind.spot(), false, now);
                    }
                }
                if (got < hire.count()) {
                    fleet.refused(kind, now);
                }
            } else if (r.status() == Reply.NO_ANSWER) {
                // It may have been carried out: the same name again gives the same machines.
                runtime.after(1_000, () -> hire(kind, hire));
            } else {
                hiring.remove(kind);
                if (r.status() == 503) {
                    fleet.refused(kind, now);
                }
            }
        });
    }

    private void list() {
        if (!listing) {
            listing = true;
            page(null, runtime.now(), new HashMap<>());
        }
    }

    private void page(String from, long asked, Map<String, JsonNode> into) {
        cloud.list(from, r -> {
            if (!r.ok() || ended) {
                listing = false;
                return;
            }
            String last = from;
            for (JsonNode m : r.body().path("bothies")) {
                last = m.path("name_id").asText();
                into.put(last, m);
            }
            if (r.body().path("truncated").asBoolean() && last != null && !last.equals(from)) {
                page(last, asked, into);
                return;
            }
            listing = false;
            listedOnce = true;
            listed(into, asked);
        });
    }

    private void listed(Map<String, JsonNode> list, long asked) {
        long now = runtime.now();
        List<Machine> bad = new ArrayList<>();
        list.forEach((id, l) -> {
            if (scheduler.gone.contains(id)) {
                return;
            }
            listedAt.putIfAbsent(id, now);
            Machine m = scheduler.machines.get(id);
            String status = l.path("status").asText();
            if (m == null) {
                MachineType type = types.get(l.path("flavour").asText());
                if (type == null) {
                    return;
                }
                m = scheduler.addMachine(id, type, l.path("hall").asText(), l.path("lendable").asBoolean(), false,
                        now - (long) (l.path("age_s").asDouble() * 1000));
            }
            if (m.addr.isEmpty()) {
                m.addr = l.path("addr").asText("");
            }
            boolean slowBoot = !m.up && !m.registered && (status.equals("running")
                    ? now - listedAt.get(id) > Constants.NEVER_REPORTED_MS
                    : now - m.createdAt > Constants.BOOT_PATIENCE * m.type.bootS() * 1000);
            if (!m.returning && (status.equals("failed") || slowBoot)) {
                bad.add(m);
            }
        });
        giveBack(bad, "failed or never up");
        // Once listed, a machine stays listed until it is gone; a list is at most twice the lag old.
        Set<String> missing = new LinkedHashSet<>();
        for (Machine m : scheduler.machines.values()) {
            Long first = listedAt.get(m.id);
            if (first != null && !list.containsKey(m.id) && asked - first > settings.listLagS() * 2000 * (1 + Constants.DRIFT) + 500) {
                missing.add(m.id);
            }
        }
        for (String id : missing) {
            LOG.info("machine gone from the list machine={}", id);
            scheduler.machineGone(id);
        }
        if (!missing.isEmpty()) {
            pump();
        }
    }
}
