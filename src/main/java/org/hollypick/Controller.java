package org.hollypick;

import java.util.HashMap;
import java.util.List;
import java.util.function.Consumer;
import org.hollypick.agent.AgentClient;
import org.hollypick.api.Admission;
import org.hollypick.api.GraphApi;
import org.hollypick.api.LeaderClient;
import org.hollypick.api.LocalJobState;
import org.hollypick.api.UserApi;
import org.hollypick.cloud.CloudClient;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.PartitionedLeaseRenewal;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.control.ControllerContext;
import org.hollypick.control.graphs.GraphFactory;
import org.hollypick.control.jobs.JobStore;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.graph.Graph;
import org.hollypick.io.EventLoop;
import org.hollypick.io.ServerResponse;
import org.hollypick.relay.HeartbeatRelay;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller without its sockets and clocks, which the event loop provides: creates all components and connects them.
 * Serves users and agents at the public address, and other controllers at the peer address. Confined to the event loop.
 */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    private final Settings settings;
    private final StoreReplica replica;
    private final Membership membership;
    private final JobStore jobs;
    private final TermSupervisor terms;
    private final PartitionedLeaseRenewal leaseRenewal;
    private final PublicRequestDispatcher publicRequests;
    private final PeerEndpoints peerEndpoints;

    /** Creates a controller as it runs in production. */
    public Controller(EventLoop eventLoop, Settings settings, OperatorSettings operator) {
        this(eventLoop, settings, operator, new JobDependencies());
    }

    /** Creates a controller with other rules for dependencies between jobs, for tests. */
    public Controller(EventLoop eventLoop, Settings settings, OperatorSettings operator, JobDependencies dependencies) {
        this(eventLoop, settings, operator, dependencies, Graph::new);
    }

    /**
     * Creates a controller with other graphs, for tests.
     *
     * @param graphFactory creates graphs; unused if the operator settings disable them
     */
    public Controller(
            EventLoop eventLoop,
            Settings settings,
            OperatorSettings operator,
            JobDependencies dependencies,
            GraphFactory graphFactory) {
        this.settings = settings;
        KeyValueStoreClient store = new KeyValueStoreClient(eventLoop, settings);
        CloudClient cloud = new CloudClient(eventLoop, settings);
        AgentClient agentClient = new AgentClient(eventLoop);
        this.replica = new StoreReplica(eventLoop, store, StoreKeys.PREFIX, this::recordsChanged);
        this.membership = new Membership(eventLoop, store, settings, replica, this::leadershipChanged);
        this.terms = new TermSupervisor(new ControllerContext(
                eventLoop,
                settings,
                operator,
                replica,
                dependencies,
                store,
                cloud,
                agentClient,
                new HashMap<>(),
                membership,
                graphFactory));
        this.jobs = new JobStore(eventLoop, settings, store, replica, membership, dependencies);
        Admission admission = new Admission(settings, terms::machineTypes);
        LocalJobState localJobs = new LocalJobState(replica, dependencies, terms::currentTerm);
        UserApi users = new UserApi(
                eventLoop,
                replica,
                jobs,
                dependencies,
                admission,
                localJobs,
                new LeaderClient(eventLoop, settings, membership));
        GraphApi graphs = operator.graphsEnabled()
                ? new GraphApi(eventLoop, settings, replica, membership, users, localJobs, admission)
                : null;
        this.leaseRenewal = new PartitionedLeaseRenewal(eventLoop, settings, replica, membership, terms);
        HeartbeatRelay heartbeatRelay = new HeartbeatRelay(
                eventLoop,
                settings,
                membership,
                store,
                leaseRenewal,
                heartbeat -> terms.respondAsLeader(heartbeat, settings.node()));
        this.publicRequests =
                new PublicRequestDispatcher(heartbeatRelay, users, graphs, operator.estimatesEnabled(), this::isReady);
        this.peerEndpoints = new PeerEndpoints(eventLoop, membership, terms);
        peerEndpoints.serveLeasesAndHeartbeats(heartbeatRelay);
        peerEndpoints.serveForwardedStoreRequests(store.router());
        peerEndpoints.serveReachability(agentClient);
        peerEndpoints.serveUserRequests(users, operator.estimatesEnabled());
        if (graphs != null) {
            peerEndpoints.serveGraphs(graphs);
        }
    }

    /** Registers this controller with the others and starts its components; requests are answered from then on. */
    public void start() {
        LOG.info("controller.started controller={} zone={}", settings.node(), settings.zone());
        membership.start();
        leaseRenewal.start();
        replica.start();
        terms.start();
    }

    private void recordsChanged(List<String> keys) {
        jobs.recordsChanged(keys);
        terms.recordsChanged(keys);
    }

    private void leadershipChanged() {
        terms.leadershipChanged();
    }

    /** Handles a request from a user, an agent or a readiness check. */
    public void handle(String method, String target, byte[] body, Consumer<ServerResponse> responder) {
        publicRequests.handle(method, target, body, responder);
    }

    /** Handles a request from another controller. */
    public void handlePeerRequest(String method, String path, byte[] body, Consumer<ServerResponse> responder) {
        peerEndpoints.handle(method, path, body, responder);
    }

    private boolean isReady() {
        return replica.isLoaded()
                && terms.machineTypes() != null
                && membership.leaderRecordRevision() != 0
                && !membership.isIsolated();
    }
}
