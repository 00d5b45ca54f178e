package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ApiConstants;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.control.LeaderTerm;
import org.hollypick.control.jobs.JobStore;
import org.hollypick.control.jobs.JobTermination;
import org.hollypick.core.Job;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.estimate.CompletionEstimate;
import org.hollypick.core.estimate.PredictionInterval;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.JobCodec;
import org.hollypick.records.Records;

/** What users ask, on any node. The leader answers from its own state, the others ask it or read the records. */
public final class UserApi {
    /** Between nodes: the newest revision that answers of the sender were built on (docs/safety.md, "went_back"). */
    static final String REVISION = "epoch";

    private final EventLoop eventLoop;
    private final Settings settings;
    private final StoreReplica replica;
    private final Membership membership;
    private final JobStore records;
    private final JobDependencies dependencies;
    private final Supplier<LeaderTerm> term;
    private final Supplier<Map<String, MachineType>> types;
    /** Until when the leader isn't asked, after it left a question unanswered. */
    private long leaderSilentUntil;
    /** Polls that wait to be asked about, and whether that is due already. */
    private final Map<String, List<Consumer<ServerResponse>>> polls = new LinkedHashMap<>();

    private boolean gathering;
    /** Submissions refused so far. */
    private int refused;

    public UserApi(
            EventLoop eventLoop,
            Settings settings,
            StoreReplica replica,
            Membership membership,
            JobStore records,
            JobDependencies dependencies,
            Supplier<LeaderTerm> term,
            Supplier<Map<String, MachineType>> types) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.replica = replica;
        this.membership = membership;
        this.records = records;
        this.dependencies = dependencies;
        this.term = term;
        this.types = types;
    }

    // ---- submissions ----

    public void submit(JsonNode body, Consumer<ServerResponse> answer) {
        if (body == null || !body.isObject()) {
            answer.accept(ServerResponse.error(400, "not a CBOR map"));
            return;
        }
        String id = body.path("name_id").asText("");
        if (!body.path("name_id").isTextual() || !JobCodec.isId(id)) {
            answer.accept(ServerResponse.error(400, "name_id"));
            return;
        }
        if (records.known(id)) {
            status(id, answer);
            return;
        }
        JobSpec spec;
        Set<String> awaits;
        try {
            spec = JobCodec.submission(body);
            awaits = JobCodec.awaits(body);
        } catch (JobCodec.Invalid e) {
            unlessKnown(id, ServerResponse.error(400, "missing or invalid: " + e.getMessage()), answer);
            return;
        }
        if (types.get() == null || !replica.loaded()) {
            answer.accept(ServerResponse.retryLater("starting"));
            return;
        }
        String never = Admission.neverRuns(spec, settings, types.get());
        if (never != null) {
            unlessKnown(id, ServerResponse.error(422, never), answer);
            return;
        }
        if (known(awaits)) {
            create(spec, awaits, answer);
            return;
        }
        // A job that another node has just accepted may not be in this node's view yet.
        replica.fresh(fresh -> {
            if (!fresh) {
                answer.accept(ServerResponse.retryLater("state service"));
            } else if (replica.get(StoreKeys.job(id)) != null) {
                status(id, answer);
            } else if (known(awaits)) {
                create(spec, awaits, answer);
            } else {
                answer.accept(ServerResponse.error(422, "awaits a job that was never accepted"));
            }
        });
    }

    private boolean known(Set<String> ids) {
        for (String id : ids) {
            if (replica.get(StoreKeys.job(id)) == null) {
                return false;
            }
        }
        return true;
    }

    private void create(JobSpec spec, Set<String> awaits, Consumer<ServerResponse> answer) {
        for (String id : awaits) {
            if (Records.isService(replica.get(StoreKeys.job(id)).data())) {
                unlessKnown(spec.id(), ServerResponse.error(422, "awaits a service, which is never done"), answer);
                return;
            }
        }
        records.create(spec, awaits, outcome -> {
            switch (outcome) {
                case CREATED -> answer.accept(created(spec.id(), awaits));
                case KNOWN -> status(spec.id(), answer);
                case TOO_LARGE ->
                    unlessKnown(spec.id(), ServerResponse.error(400, "larger than the state service can hold"), answer);
                default -> answer.accept(ServerResponse.shedLoad(refused++));
            }
        });
    }

    /**
     * The write's own answer may come after others have told that the job is over. One that awaits what was cancelled
     * is over at once.
     */
    private ServerResponse created(String id, Set<String> awaits) {
        ServerResponse over = over(id);
        if (over != null) {
            return over;
        }
        String status = dependencies.anyCancelled(awaits) ? Records.ABORTED : "pending";
        return ServerResponse.of(201, body(id, status, 0, 0)).onlyWhile(() -> over(id) == null);
    }

    /** A refusal that is final is only given after a fresh read: a job that was accepted stays accepted. */
    private void unlessKnown(String id, ServerResponse refusal, Consumer<ServerResponse> answer) {
        replica.fresh(fresh -> {
            if (!fresh) {
                answer.accept(ServerResponse.retryLater("state service"));
            } else if (unknown(id)) {
                answer.accept(refusal.onlyWhile(() -> unknown(id)));
            } else {
                status(id, answer);
            }
        });
    }

    // ---- polls ----

    public void status(String id, Consumer<ServerResponse> answer) {
        if (!JobCodec.isId(id)) {
            answer.accept(ServerResponse.error(404, "no such job"));
            return;
        }
        ServerResponse known = certain(id);
        if (known != null) {
            answer.accept(known);
            return;
        }
        if (owned(id) != null) {
            fromRecord(id, answer);
            return;
        }
        polls.computeIfAbsent(id, k -> new ArrayList<>()).add(answer);
        if (!gathering) {
            gathering = true;
            eventLoop.after(ApiConstants.STATUS_BATCH_MS, this::askLeader);
        }
    }

    /**
     * All polls of a short while in one question: there are hundreds a second, and the leader has more to do than
     * answer them.
     */
    private void askLeader() {
        gathering = false;
        Map<String, List<Consumer<ServerResponse>>> asked = new LinkedHashMap<>(polls);
        polls.clear();
        String leaderAddress = leaderToAsk();
        if (leaderAddress == null) {
            asked.forEach((id, answers) -> answers.forEach(a -> fromRecord(id, a)));
            return;
        }
        ObjectNode body = Codec.object().put(REVISION, replica.revision());
        ArrayNode ids = body.putArray("jobs");
        asked.keySet().forEach(ids::add);
        eventLoop.send(new Request(leaderAddress, "POST", "/jobs", body, NetworkConstants.PEER_TIMEOUT_MS, true), r -> {
            if (!r.isAnswered()) {
                leaderSilentUntil = eventLoop.now() + ApiConstants.SILENT_LEADER_MS;
            }
            long revision = Codec.u64(r.body().path(REVISION));
            asked.forEach((id, answers) -> {
                JsonNode told = r.ok() ? r.body().path(id) : MissingNode.getInstance();
                answers.forEach(a -> leaderTold(id, told, revision, a));
            });
        });
    }

    /**
     * The leader's word may be overtaken on its way by a newer one, or by this node's own records: a state that isn't
     * final is only told if it is built on a revision no older than any answer before.
     */
    private void leaderTold(String id, JsonNode told, long revision, Consumer<ServerResponse> answer) {
        ServerResponse over = over(id);
        if (over != null) {
            answer.accept(over);
        } else if (told.isObject() && (ended(told) || replica.mayAnswerFrom(revision))) {
            replica.answeredFrom(revision);
            answer.accept(ServerResponse.of(200, told).onlyWhile(() -> ended(told) || over(id) == null));
        } else {
            fromRecord(id, answer);
        }
    }

    /** Whether an answer's body tells a final state. */
    private static boolean ended(JsonNode body) {
        String status = Records.status(body);
        return status.equals(Records.DONE) || status.equals(Records.ABORTED);
    }

    /** What this node knows for certain: a terminal state, or a live job that it owns. Null if nothing. */
    private ServerResponse certain(String id) {
        ServerResponse over = over(id);
        if (over != null) {
            return over;
        }
        Job job = owned(id);
        return job != null && certainlyLive(job) ? live(job).onlyWhile(() -> certainlyLive(job)) : null;
    }

    /** While an end is in doubt it may be durable already, and another node may have told it: only the record knows. */
    private boolean certainlyLive(Job job) {
        return owned(job.spec.id()) == job && !term.get().jobTermination().inDoubt(job);
    }

    private boolean unknown(String id) {
        return replica.get(StoreKeys.job(id)) == null;
    }

    /**
     * A terminal state that is durable; null without one. Nobody needs to write that a job is cancelled with one that
     * it needs.
     */
    private ServerResponse over(String id) {
        StoreReplica.Entry e = replica.get(StoreKeys.job(id));
        if (e != null && Records.isOver(e.data())) {
            replica.answeredFrom(e.revision());
            return ServerResponse.of(
                    200,
                    body(id, Records.status(e.data()), e.data().path("done").asInt(), 0));
        }
        if (e != null && dependencies.isCancelled(id)) {
            replica.answeredFrom(replica.appliedRevision());
            return ServerResponse.of(200, body(id, Records.ABORTED, 0, 0));
        }
        return null;
    }

    private Job owned(String id) {
        LeaderTerm t = term.get();
        return t != null && t.holdsLeaderLease() ? t.scheduler().job(id) : null;
    }

    private String leaderToAsk() {
        LeaderTerm t = term.get();
        return (t != null && t.holdsLeaderLease()) || eventLoop.now() < leaderSilentUntil
                ? null
                : settings.meshAddr(membership.leader());
    }

    /** From this node's own copy of the records, once that is known to be fresh. */
    private void fromRecord(String id, Consumer<ServerResponse> answer) {
        replica.fresh(fresh -> {
            ServerResponse over = over(id);
            if (!fresh) {
                answer.accept(ServerResponse.retryLater("state service"));
            } else if (unknown(id)) {
                answer.accept(ServerResponse.error(404, "no such job").onlyWhile(() -> unknown(id)));
            } else if (over != null) {
                answer.accept(over);
            } else {
                answer.accept(ServerResponse.of(200, body(id, "pending", 0, 0)).onlyWhile(() -> over(id) == null));
            }
        });
    }

    private static ServerResponse live(Job job) {
        int running = job.running;
        return ServerResponse.of(
                200,
                body(job.spec.id(), running > 0 ? "running" : "pending", job.completedTasks.cardinality(), running));
    }

    private static ObjectNode body(String id, String status, int done, int running) {
        return Codec.object()
                .put("name_id", id)
                .put("status", status)
                .put("done", done)
                .put("running", running);
    }

    // ---- estimates ----

    /** When a job is likely to be done; worked out by its leader, where operators switched that on. */
    public void estimate(String id, Consumer<ServerResponse> answer) {
        if (term.get() != null && term.get().holdsLeaderLease()) {
            answer.accept(estimated(id));
            return;
        }
        String leaderAddress = JobCodec.isId(id) ? leaderToAsk() : null;
        if (leaderAddress == null) {
            answer.accept(ServerResponse.retryLater("no leader"));
            return;
        }
        ObjectNode question = Codec.object().put("job", id).put(REVISION, replica.revision());
        eventLoop.send(
                new Request(leaderAddress, "POST", "/estimate", question, NetworkConstants.PEER_TIMEOUT_MS, true),
                r -> {
                    int status = r.body().path("status").asInt();
                    long revision = Codec.u64(r.body().path(REVISION));
                    ServerResponse over = over(id);
                    if (over != null) {
                        answer.accept(over);
                    } else if (r.ok() && status != 503 && replica.mayAnswerFrom(revision)) {
                        replica.answeredFrom(revision);
                        answer.accept(
                                ServerResponse.of(status, r.body().path("body")).onlyWhile(() -> over(id) == null));
                    } else {
                        answer.accept(ServerResponse.retryLater("leader"));
                    }
                });
    }

    /** Another controller asks for one of its users. */
    public ServerResponse meshEstimate(JsonNode body) {
        learn(body);
        ServerResponse a = body != null && term.get() != null && term.get().holdsLeaderLease()
                ? estimated(body.path("job").asText())
                : ServerResponse.retryLater("not the leader");
        ObjectNode told = Codec.object().put(REVISION, replica.revision()).put("status", a.status());
        return ServerResponse.of(200, told.set("body", a.body()));
    }

    private ServerResponse estimated(String id) {
        ServerResponse over = over(id);
        if (over != null) {
            return over;
        }
        Job job = term.get().scheduler().job(id);
        if (job == null || !certainlyLive(job)) {
            // Its end may be durable, and told by another node; GET /submissions/ID finds out, by a fresh view.
            return ServerResponse.retryLater("not known here yet");
        }
        ObjectNode b = Codec.object().put("name_id", id).put("status", job.running > 0 ? "running" : "pending");
        if (job.spec.service()) {
            return ServerResponse.of(200, b.put("reason", "a service runs until it is cancelled"));
        }
        CompletionEstimate.Answer finish = new CompletionEstimate(
                        term.get().scheduler(),
                        term.get().scheduler().estimates(),
                        dependencies::awaited,
                        eventLoop.now())
                .of(job);
        PredictionInterval interval = finish.interval();
        b.putObject("done_in_s")
                .put("p10", round(interval.p10()))
                .put("p50", round(interval.p50()))
                .put("p90", round(interval.p90()));
        b.put("reason", reason(finish.bottleneck()))
                .putObject("history")
                .put("n", interval.runs())
                .put("from", interval.from());
        return ServerResponse.of(200, b);
    }

    private static String reason(CompletionEstimate.Bottleneck bottleneck) {
        return switch (bottleneck) {
            case CAPACITY -> "room";
            case IMAGE_FETCH -> "image";
            case RUN_TIME -> "running";
            case DEPENDENCIES -> "what it awaits";
        };
    }

    private static double round(double seconds) {
        return Math.round(seconds * 10) / 10.0;
    }

    // ---- withdrawals ----

    public void withdraw(String id, Consumer<ServerResponse> answer) {
        if (!JobCodec.isId(id)) {
            answer.accept(ServerResponse.error(404, "no such job"));
            return;
        }
        ServerResponse over = over(id);
        if (over != null) {
            answer.accept(over);
            return;
        }
        Job job = owned(id);
        if (job != null) {
            JobTermination jobTermination = term.get().jobTermination();
            jobTermination.cancel(job, done -> {
                replica.answeredFrom(jobTermination.cancelledAt());
                ServerResponse aborted =
                        ServerResponse.of(200, body(id, Records.ABORTED, job.completedTasks.cardinality(), 0));
                answer.accept(done ? aborted : ServerResponse.retryLater("state service"));
            });
            return;
        }
        String leaderAddress = leaderToAsk();
        if (leaderAddress != null) {
            eventLoop.send(
                    new Request(
                            leaderAddress,
                            "POST",
                            "/jobs/" + id + "/abort",
                            Codec.object(),
                            StoreConstants.STORE_TIMEOUT_MS,
                            true),
                    r -> {
                        if (r.ok()) {
                            replica.answeredFrom(Codec.u64(r.body().path(REVISION)));
                            ObjectNode told = r.body().deepCopy();
                            told.remove(REVISION);
                            answer.accept(ServerResponse.of(200, told));
                        } else {
                            withdrawn(id, answer);
                        }
                    });
            return;
        }
        withdrawn(id, answer);
    }

    /** Only the leader aborts a live job; without it only what is over already, or never was, can be told. */
    private void withdrawn(String id, Consumer<ServerResponse> answer) {
        replica.fresh(fresh -> {
            ServerResponse over = over(id);
            if (fresh && unknown(id)) {
                answer.accept(ServerResponse.error(404, "no such job").onlyWhile(() -> unknown(id)));
            } else if (fresh && over != null) {
                answer.accept(over);
            } else {
                answer.accept(ServerResponse.retryLater("no leader"));
            }
        });
    }

    // ---- questions of other nodes ----

    /**
     * Another node asks about jobs; only an acting leader knows more than the records. What isn't certain is left out.
     */
    public ServerResponse meshStatus(JsonNode body) {
        learn(body);
        ObjectNode told = Codec.object().put(REVISION, replica.revision());
        for (JsonNode n : body == null ? Codec.array() : body.path("jobs")) {
            ServerResponse a = certain(n.asText());
            if (a != null) {
                told.set(n.asText(), a.body());
            }
        }
        return ServerResponse.of(200, told);
    }

    public void meshAbort(String id, Consumer<ServerResponse> answer) {
        if (owned(id) != null) {
            withdraw(id, a -> answer.accept(a.status() == 200 ? revised(a) : a));
        } else {
            ServerResponse known = certain(id);
            answer.accept(known != null ? revised(known) : ServerResponse.error(404, "not owned here"));
        }
    }

    /** The answer, and the revision that it is built on. */
    private ServerResponse revised(ServerResponse a) {
        ObjectNode body = a.body().deepCopy();
        return ServerResponse.of(a.status(), body.put(REVISION, replica.revision()))
                .onlyWhile(a.validWhile());
    }

    /** Another node tells the newest revision that an answer of its was built on. */
    private void learn(JsonNode body) {
        if (body != null) {
            replica.answeredFrom(Codec.u64(body.path(REVISION)));
        }
    }
}
