package org.hollypick;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hollypick.agent.AgentClient;
import org.hollypick.agent.AgentCodec;
import org.hollypick.api.Admission;
import org.hollypick.api.GraphApi;
import org.hollypick.api.LeaderClient;
import org.hollypick.api.LocalJobState;
import org.hollypick.api.PeerCodec;
import org.hollypick.api.UserApi;
import org.hollypick.cloud.CloudClient;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.PartitionedLeaseRenewal;
import org.hollypick.cluster.PeerReachability;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.config.constants.RelayConstants;
import org.hollypick.control.ControllerContext;
import org.hollypick.control.LeaderTerm;
import org.hollypick.control.graphs.GraphFactory;
import org.hollypick.control.jobs.JobStore;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.MachineType;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.graph.Graph;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.ServerResponse;
import org.hollypick.io.WireNames;
import org.hollypick.peer.PeerRequestDispatcher;
import org.hollypick.peer.RequestRouter;
import org.hollypick.records.Records;
import org.hollypick.records.TerminalStatus;
import org.hollypick.relay.HeartbeatRelay;
import org.hollypick.relay.HeartbeatRelayCodec;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A controller: everything but sockets and clocks. All of it runs on one event loop. */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    private final EventLoop runtime;
    private final Settings settings;
    private final OperatorSettings operator;
    private final KeyValueStoreClient state;
    private final CloudClient cloud;
    private final AgentClient agentClient;
    private final StoreReplica view;
    private final Membership membership;
    private final JobDependencies dependencies;
    private final JobStore jobs;
    private final UserApi users;
    private final PartitionedLeaseRenewal leaseRenewal;
    private final HeartbeatRelay heartbeatRelay;
    private final PeerRequestDispatcher mesh = new PeerRequestDispatcher();
    /** Null unless the operators switched graphs on. */
    private final GraphApi graphs;
    /** Shared with the term; prices in it follow the cloud. */
    private final Map<String, MachineType> types = new HashMap<>();

    private final ControllerContext context;
    private LeaderTerm term;

    public Controller(EventLoop runtime, Settings settings, OperatorSettings operator) {
        this(runtime, settings, operator, new JobDependencies());
    }

    public Controller(EventLoop runtime, Settings settings, OperatorSettings operator, JobDependencies dependencies) {
        this(runtime, settings, operator, dependencies, Graph::new);
    }

    /** {@code graphFactory}: creates task graphs, if the operators switched them on. */
    public Controller(
            EventLoop runtime,
            Settings settings,
            OperatorSettings operator,
            JobDependencies dependencies,
            GraphFactory graphFactory) {
        this.runtime = runtime;
        this.settings = settings;
        this.operator = operator;
        this.state = new KeyValueStoreClient(runtime, settings);
        this.cloud = new CloudClient(runtime, settings);
        this.agentClient = new AgentClient(runtime);
        this.view = new StoreReplica(runtime, state, StoreKeys.PREFIX, this::recordsChanged);
        this.membership = new Membership(runtime, state, settings, view, this::leadership);
        this.dependencies = dependencies;
        this.context = new ControllerContext(
                runtime,
                settings,
                operator,
                view,
                dependencies,
                state,
                cloud,
                agentClient,
                types,
                membership,
                graphFactory);
        this.jobs = new JobStore(runtime, settings, state, view, membership, dependencies);
        this.users = new UserApi(
                runtime,
                view,
                jobs,
                dependencies,
                new Admission(settings, () -> types.isEmpty() ? null : types),
                new LocalJobState(view, dependencies, () -> term),
                new LeaderClient(runtime, settings, membership));
        this.graphs = operator.graphs()
                ? new GraphApi(
                        runtime, settings, view, membership, users, () -> term, () -> types.isEmpty() ? null : types)
                : null;
        this.leaseRenewal = new PartitionedLeaseRenewal(
                runtime,
                settings,
                view,
                membership,
                this::cancelled,
                () -> term != null && term.scheduler().leases().allAsked(),
                this::kept);
        this.heartbeatRelay = new HeartbeatRelay(
                runtime,
                settings,
                membership,
                state,
                leaseRenewal,
                report -> term != null && term.holdsLeaderLease() ? hello(report, settings.node()) : null);
        listenToOthers();
    }

    public void start() {
        LOG.info("start node={} zone={}", settings.node(), settings.zone());
        membership.start();
        leaseRenewal.start();
        view.load();
        refreshTypes();
    }

    private void refreshTypes() {
        cloud.listMachineTypes(listed -> {
            if (listed.isEmpty()) {
                runtime.after(1_000, this::refreshTypes);
                return;
            }
            types.putAll(listed.get());
            leadership();
            runtime.after(ReconcileConstants.MACHINE_TYPE_REFRESH_MS, this::refreshTypes);
        });
    }

    private void recordsChanged(List<String> keys) {
        jobs.recordsChanged(keys);
        leadership();
        if (term != null) {
            term.recordsChanged(keys);
        } else {
            dependencies.takeChanged(); // a term starts from the whole of them
        }
    }

    /** Brings the term in line with the leader record. */
    private void leadership() {
        if (!view.loaded()) {
            return;
        }
        long token = membership.token();
        if (term != null && (term.token() != token)) {
            term.end();
            term = null;
            state.setLeader(false);
        }
        if (term == null && token != 0 && !types.isEmpty() && membership.valid()) {
            if (token >>> (63 - JobConstants.ATTEMPT_BITS) != 0) {
                LOG.error("token too large for attempt numbers token={}", Long.toUnsignedString(token));
                return;
            }
            state.setLeader(true);
            term = new LeaderTerm(token, context);
            term.start();
        }
        membership.campaignIfVacant();
    }

    // ---- requests ----

    /** A request of users, workers or health checks. */
    public void handle(String method, String target, byte[] bytes, Consumer<ServerResponse> answer) {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        if (path.equals("/hello")) {
            if (method.equals("POST")) {
                heartbeatRelay.hello(bytes, answer);
            } else {
                answer.accept(notAllowed());
            }
        } else if (path.equals("/ready")) {
            answer.accept(method.equals("GET") ? ready() : notAllowed());
        } else if (graphs != null && (path.equals("/graphs") || path.startsWith("/graphs/"))) {
            graphs.handle(method, target, bytes, answer);
        } else if (path.equals("/submissions")) {
            if (method.equals("POST")) {
                users.submit(Codec.read(bytes, false), answer);
            } else {
                answer.accept(notAllowed());
            }
        } else if (path.startsWith("/submissions/")) {
            String rest = path.substring("/submissions/".length());
            if (rest.endsWith("/withdraw")) {
                if (method.equals("POST")) {
                    users.cancel(rest.substring(0, rest.length() - "/withdraw".length()), answer);
                } else {
                    answer.accept(notAllowed());
                }
            } else if (operator.estimates() && method.equals("GET") && rest.endsWith("/estimate")) {
                users.estimate(rest.substring(0, rest.length() - "/estimate".length()), answer);
            } else if (method.equals("GET")) {
                users.status(rest, answer);
            } else {
                answer.accept(notAllowed());
            }
        } else {
            answer.accept(ServerResponse.error(404, "no such path"));
        }
    }

    /** A request of another controller. */
    public void handleMesh(String method, String path, byte[] bytes, Consumer<ServerResponse> answer) {
        Optional<String> cancelledJob = method.equals("POST") ? PeerCodec.cancelledJob(path) : Optional.empty();
        if (cancelledJob.isPresent()) {
            users.cancelForPeer(cancelledJob.get(), answer);
        } else {
            mesh.handle(method, path, bytes, answer);
        }
    }

    private void listenToOthers() {
        mesh.on(
                "/promise",
                (body, answer) -> answer.accept(ServerResponse.of(
                        200, membership.promised(body == null ? 0 : Codec.u64(body.path(WireNames.FENCING_TOKEN))))));
        mesh.on("/keep", (body, answer) -> answer.accept(mayKeep(body)));
        mesh.on(
                "/release",
                (body, answer) ->
                        answer.accept(heartbeatRelay.release(body == null ? 0 : Codec.u64(body.path("member")))));
        mesh.on(
                HeartbeatRelayCodec.PATH,
                (body, answer) -> answer.accept(
                        term != null && term.holdsLeaderLease()
                                ? HeartbeatRelayCodec.take(body, term.token(), this::rightMs, this::hello)
                                        .onlyWhile(term::holdsLeaderLease)
                                : ServerResponse.retryLater("not the leader")));
        mesh.on(RequestRouter.PATH, state.router()::pass);
        mesh.on(RequestRouter.WATCH_PATH, state.router()::pass);
        mesh.on(
                PeerReachability.PATH,
                (body, answer) -> PeerReachability.answer(agentClient, body, membership.reachesState(), answer));
        mesh.on(PeerCodec.STATUS_PATH, (body, answer) -> answer.accept(users.statusForPeer(body)));
        if (graphs != null) {
            mesh.on("/graph", graphs::passed);
        }
        if (operator.estimates()) {
            mesh.on(PeerCodec.ESTIMATE_PATH, (body, answer) -> answer.accept(users.estimateForPeer(body)));
        }
    }

    private ServerResponse mayKeep(JsonNode body) {
        boolean own = body != null
                && term != null
                && term.holdsLeaderLease()
                && Codec.u64(body.path(WireNames.FENCING_TOKEN)) == term.token();
        return own
                ? term.grantPartitionedRenewal(
                        body.path("node").asText(),
                        Codec.u64(body.path("epoch")),
                        Codec.u64(body.path("echo")),
                        body.path("kept").asBoolean())
                : ServerResponse.retryLater("not the leader under that token");
    }

    /** The user of the job was told, or may have been told, that it is cancelled; or will be soon. */
    private boolean cancelled(String id) {
        StoreReplica.Entry entry = view.get(StoreKeys.job(id));
        return dependencies.isCancelled(id)
                || (term != null && term.jobTermination().isCancellationRequested(id))
                || (entry != null
                        && Records.isOver(entry.data())
                        && Records.status(entry.data()) == TerminalStatus.CANCELLED);
    }

    private void kept(long now) {
        if (term != null) {
            term.scheduler().leases().keptByItself(now);
        }
    }

    private static ServerResponse notAllowed() {
        return ServerResponse.error(405, "method not allowed");
    }

    private ServerResponse ready() {
        boolean ready =
                view.loaded() && !types.isEmpty() && membership.leaderRecordRevision() != 0 && !membership.isolated();
        return ready
                ? ServerResponse.of(200, Codec.object().put("ready", true))
                : ServerResponse.retryLater("starting");
    }

    /** For how long others may pass on what this leader answers: no longer than it may act itself. */
    private long rightMs() {
        return Math.min(RelayConstants.RELAY_VALIDITY_MS, membership.leaderLeaseUntil(term.token()) - runtime.now());
    }

    /** The leader's answer to a machine's report that came through that controller. */
    private ServerResponse hello(byte[] body, String via) {
        Heartbeat report = AgentCodec.report(body);
        return report == null ? ServerResponse.error(400, "not a report") : term.heartbeatReceived(report, via);
    }
}
