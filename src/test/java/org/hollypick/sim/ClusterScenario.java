package org.hollypick.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.core.SettingsBuilder;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Response;

/**
 * A simulated cluster: three controllers, a key-value store, a cloud provider with machines in two zones, users and
 * faults, all drawn from one seed, with the invariants checked while it runs.
 */
final class ClusterScenario {
    static final List<String> ZONES = List.of("a", "b");
    static final int CONTROLLERS = 3;
    static final String STORE_ADDRESS = "state:1";
    static final String CLOUD_ADDRESS = "cloud:1";
    static final double TEAM_CORES = 40;
    private static final long DEFAULT_LEASE_MS = 15_000;
    /** The time beyond the agent lease within which the tasks of a cancelled job must stop. */
    private static final long CANCELLATION_GRACE_MS = 20_000;

    private static final long CHECK_INTERVAL_MS = 500;
    private static final long FENCING_TOKEN_POLL_MS = 5;

    final SimulatedWorld world;
    final FakeKeyValueStore store;
    final InvariantChecker checker;
    final FakeCloud cloud;
    final LeadershipChecker leadership;
    final List<SimulatedController> controllers = new ArrayList<>();
    final UserClient users;
    final Workload workload;
    final PipelineWorkload pipelines;
    final InvalidRequests invalidRequests;
    final AnswerProber answerProber;
    final NetworkFaults network;
    final FaultInjector faults;
    final RandomFaults randomFaults;
    /** The multiple of the default numbers of machines and tasks. */
    final int sizeFactor;

    final long agentLeaseMs;
    private final StarvationChecker starvationChecker;
    private final ProductionVersion production;
    private final StoreLimits tightenedLimits;
    private final BiFunction<EventLoop, Settings, Controller> version;

    /** Runs the handling of each request by a controller; replaced to measure it. */
    RequestMetering metering = (controller, activity, handling) -> handling.run();
    /** Replaces the responses of controllers by those of a faulty version. */
    BiFunction<AnswerOrderChecker.JobRequest, Response, Response> responseFault = (jobRequest, response) -> response;
    /** Called with the name of a controller and the path when the controller responds to a user or an agent. */
    BiConsumer<String, String> responseObserver = (controller, path) -> {};
    /** A job whose status requests all get a 503; null for none. */
    String unavailableJob;
    /** The number of sockets of each controller process started from now on; 0 for no limit. */
    int socketLimit;
    /** Milliseconds of processor time per task in each controller process started from now on. */
    double costPerTaskMs;

    ClusterScenario(long seed) {
        this(seed, 1);
    }

    /**
     * Creates a cluster with the default settings.
     *
     * @param sizeFactor the multiple of the default numbers of machines and tasks
     */
    ClusterScenario(long seed, int sizeFactor) {
        this(
                seed,
                sizeFactor,
                null,
                null,
                (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.defaults()));
    }

    /**
     * Creates a cluster in which another version can be rolled out and the limits of the store can be tightened.
     *
     * @param production the version that the controllers run at first; null for {@code version}
     * @param tightenedLimits the limits of the store after {@link #tightenStoreLimits}; null for none
     * @param version creates controllers of the version that is rolled out
     */
    ClusterScenario(
            long seed,
            int sizeFactor,
            ProductionVersion production,
            StoreLimits tightenedLimits,
            BiFunction<EventLoop, Settings, Controller> version) {
        this(seed, sizeFactor, production, tightenedLimits, version, DEFAULT_LEASE_MS);
    }

    /** Creates a cluster with the given agent lease; cancelled tasks must stop within the lease and 20 s. */
    ClusterScenario(
            long seed,
            int sizeFactor,
            ProductionVersion production,
            StoreLimits tightenedLimits,
            BiFunction<EventLoop, Settings, Controller> version,
            long agentLeaseMs) {
        this.sizeFactor = sizeFactor;
        this.agentLeaseMs = agentLeaseMs;
        this.production = production;
        this.tightenedLimits = tightenedLimits;
        this.version = version;
        world = new SimulatedWorld(seed);
        store = new FakeKeyValueStore(world);
        checker = new InvariantChecker(cancellationLimitMs());
        checker.tasks.quotaCoresByTeam.put(JobDescription.DEFAULT_TEAM, TEAM_CORES * sizeFactor);
        cloud = new FakeCloud(world, checker, publicAddresses(), ZONES, agentLeaseMs, sizeFactor);
        starvationChecker = new StarvationChecker(checker, cloud);
        leadership = new LeadershipChecker(world, store, checker);
        users = new UserClient(this);
        workload = new Workload(this);
        pipelines = new PipelineWorkload(this);
        invalidRequests = new InvalidRequests(this);
        answerProber = new AnswerProber(this);
        network = new NetworkFaults(this);
        faults = new FaultInjector(this);
        randomFaults = new RandomFaults(this);
        world.listen(STORE_ADDRESS, store);
        world.listen(CLOUD_ADDRESS, cloud);
        world.requestObserver = leadership::requestSent;
        startControllers();
        world.requestDelayMs = network::delayMs;
        checkInvariants();
    }

    /**
     * Creates a cluster whose teams have a quota of {@code quotaCores} each.
     *
     * @param version creates controllers with the settings of the scenario and these quotas
     */
    static ClusterScenario withQuotas(
            long seed,
            int sizeFactor,
            List<String> teams,
            double quotaCores,
            BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = new ClusterScenario(
                seed,
                sizeFactor,
                null,
                null,
                (eventLoop, settings) -> version.apply(eventLoop, withTeams(settings, teams, quotaCores)));
        teams.forEach(team -> scenario.checker.tasks.quotaCoresByTeam.put(team, quotaCores));
        return scenario;
    }

    private static List<String> publicAddresses() {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            addresses.add(SimulatedController.publicAddress(i));
        }
        return addresses;
    }

    private void startControllers() {
        for (int i = 0; i < CONTROLLERS; i++) {
            SimulatedController controller = new SimulatedController(this, i);
            controller.runsProductionVersion = production != null;
            controllers.add(controller);
            controller.start();
            world.listen(SimulatedController.publicAddress(i), controller);
            world.listen(SimulatedController.peerAddress(i), controller.peerEndpoint());
        }
    }

    /** Creates a controller of the version that the host currently runs. */
    ControllerProcess newController(SimulatedController host) {
        return host.runsProductionVersion
                ? production.newController(host.process, settings(host.index, false))
                : ControllerProcess.of(version.apply(host.process, settings(host.index, tightenedLimits != null)));
    }

    private Settings settings(int index, boolean hasTightenedLimits) {
        List<Settings.Sibling> siblings = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            if (i != index) {
                siblings.add(new Settings.Sibling(
                        SimulatedController.name(i), ZONES.get(0), SimulatedController.peerAddress(i)));
            }
        }
        StoreLimits limits = hasTightenedLimits ? tightenedLimits : new StoreLimits(8192, 12, 60);
        return new SettingsBuilder()
                .controller(
                        SimulatedController.name(index),
                        SimulatedController.publicAddress(index),
                        SimulatedController.peerAddress(index))
                .siblings(siblings)
                .externalServices(CLOUD_ADDRESS, STORE_ADDRESS)
                .zones(ZONES)
                .teamsWithLimit(List.of(JobDescription.DEFAULT_TEAM), TEAM_CORES * sizeFactor)
                .leaseS(agentLeaseMs / 1000.0)
                .cancelS(cancellationLimitMs() / 1000.0)
                .storeRates(150, limits.changesPerSecond())
                .storeSizes(limits.valueBytes(), limits.transactionOperations())
                .build();
    }

    /**
     * The settings of a faulty version: the limit for the tasks of cancelled jobs to stop is {@code extraS} seconds
     * longer than the cluster's.
     */
    static Settings withLongerCancellation(Settings settings, double extraS) {
        return SettingsBuilder.copyOf(settings)
                .cancelS(settings.cancelS() + extraS)
                .build();
    }

    /** The given settings with the given teams, each of which may use {@code maxCores} at once. */
    static Settings withTeams(Settings settings, List<String> names, double maxCores) {
        return SettingsBuilder.copyOf(settings).teamsWithLimit(names, maxCores).build();
    }

    /** The settings of a faulty version, which assumes an agent lease shorter than that of the agents. */
    static Settings withShorterLease(Settings settings, double leaseS) {
        return SettingsBuilder.copyOf(settings).leaseS(leaseS).build();
    }

    /** The time after a cancellation within which the tasks of the job must have stopped. */
    long cancellationLimitMs() {
        return agentLeaseMs + CANCELLATION_GRACE_MS;
    }

    private void checkInvariants() {
        checker.check(world.now);
        starvationChecker.check(world.now);
        world.schedule(CHECK_INTERVAL_MS, this::checkInvariants);
    }

    /** Advances the simulated time. */
    ClusterScenario advance(long durationMs) {
        world.runUntil(world.now + durationMs);
        return this;
    }

    /** Starts six services that no user cancels; fails if their tasks have not started within 35 s. */
    ClusterScenario withRunningServices() {
        advance(5_000);
        workload.submitUncancelledServices(6);
        advance(35_000);
        if (checker.tasks.starts < 6) {
            throw new AssertionError("only " + checker.tasks.starts + " tasks started");
        }
        return this;
    }

    /** Restarts the controllers one after another with the new version. */
    void rollOut(long firstMs, long intervalMs) {
        for (SimulatedController controller : controllers) {
            world.schedule(firstMs + intervalMs * controller.index, () -> {
                controller.runsProductionVersion = false;
                controller.crash(4_000);
            });
        }
    }

    /** Puts the tightened limits of the store into force. */
    void tightenStoreLimits() {
        store.tightenLimits(tightenedLimits);
    }

    /** Limits the sockets of each controller process and sets the processor time that each task takes. */
    void limitControllers(int sockets, double taskCostMs) {
        socketLimit = sockets;
        costPerTaskMs = taskCostMs;
        controllers.forEach(controller -> controller.process.limitResources(sockets, taskCostMs));
    }

    void placeControllerInZone(int controller, String zone) {
        controllers.get(controller).zone = zone;
    }

    String leaderName() {
        return leadership.leaderName();
    }

    /** The index of the controller in the leader record. */
    int leaderIndex() {
        return Integer.parseInt(leaderName().substring(SimulatedController.NAME_PREFIX.length()));
    }

    /** The index of the controller in the leader record, or 0 if there is no leader record yet. */
    int leaderIndexOrFirst() {
        return leadership.hasLeader() ? leaderIndex() : 0;
    }

    /** Runs an action once the fencing token of the leader record has changed. */
    void onNextFencingToken(Runnable action) {
        awaitTokenChange(leadership.fencingToken(), action);
    }

    private void awaitTokenChange(long tokenBefore, Runnable action) {
        world.schedule(FENCING_TOKEN_POLL_MS, () -> {
            if (leadership.fencingToken() != tokenBefore) {
                action.run();
            } else {
                awaitTokenChange(tokenBefore, action);
            }
        });
    }
}
