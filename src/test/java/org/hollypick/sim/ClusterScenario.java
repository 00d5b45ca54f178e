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
    /** What the tasks of a cancelled job have beyond a lease to stop. */
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
    /** How many times as many machines and tasks as usual. */
    final int sizeFactor;

    final long agentLeaseMs;
    private final StarvationChecker starvationChecker;
    private final ProductionVersion production;
    private final StoreLimits tightenedLimits;
    private final BiFunction<EventLoop, Settings, Controller> version;

    /** Measures how long the controllers take to handle requests. */
    RequestMetering metering = (controller, activity, handling) -> handling.run();
    /** Replaces the answers of controllers, as a faulty version would give them. */
    BiFunction<AnswerOrderChecker.JobRequest, Response, Response> responseFault = (jobRequest, response) -> response;
    /** Called with the name of a controller and the path, when it sends an answer to a user or an agent. */
    BiConsumer<String, String> responseObserver = (controller, path) -> {};
    /** A job about which the controllers answer nothing but 503; null: none. */
    String unavailableJob;
    /** Sockets of each controller started from now on; 0: no limit. */
    int socketLimit;
    /** Milliseconds of processor time for each event that a controller started from now on handles. */
    double costPerTaskMs;

    ClusterScenario(long seed) {
        this(seed, 1);
    }

    /** {@code sizeFactor}: how many times as many machines and tasks as usual. */
    ClusterScenario(long seed, int sizeFactor) {
        this(
                seed,
                sizeFactor,
                null,
                null,
                (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.defaults()));
    }

    /**
     * A cluster that is upgraded.
     *
     * @param production the version that the controllers run at first; null: {@code version}
     * @param tightenedLimits limits of the store that come into force later; null: none
     * @param version the version that is rolled out
     */
    ClusterScenario(
            long seed,
            int sizeFactor,
            ProductionVersion production,
            StoreLimits tightenedLimits,
            BiFunction<EventLoop, Settings, Controller> version) {
        this(seed, sizeFactor, production, tightenedLimits, version, DEFAULT_LEASE_MS);
    }

    /** {@code agentLeaseMs}: of the agents; a cancelled task has 20 s more. */
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
     * A cluster whose teams may use so many cores each.
     *
     * @param version as built with the usual settings, the quotas apart
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

    /** A process of the version that is due on that host. */
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

    /** Settings of a faulty version: the tasks of cancelled jobs seem to have that much longer to stop. */
    static Settings withLongerCancellation(Settings settings, double moreS) {
        return SettingsBuilder.copyOf(settings)
                .cancelS(settings.cancelS() + moreS)
                .build();
    }

    /** The same settings with these teams, which each may use that many cores at once. */
    static Settings withTeams(Settings settings, List<String> names, double maxCores) {
        return SettingsBuilder.copyOf(settings).teamsWithLimit(names, maxCores).build();
    }

    /** Settings of a faulty version: the leases of agents seem to last that long only. */
    static Settings withShorterLease(Settings settings, double leaseS) {
        return SettingsBuilder.copyOf(settings).leaseS(leaseS).build();
    }

    /** Within that time after a cancellation the tasks of the job have stopped. */
    long cancellationLimitMs() {
        return agentLeaseMs + CANCELLATION_GRACE_MS;
    }

    private void checkInvariants() {
        checker.check(world.now);
        starvationChecker.check(world.now);
        world.schedule(CHECK_INTERVAL_MS, this::checkInvariants);
    }

    /** Lets the simulated time advance. */
    ClusterScenario advance(long ms) {
        world.runUntil(world.now + ms);
        return this;
    }

    /** Lets six services start that no user cancels. */
    ClusterScenario withRunningServices() {
        advance(5_000);
        workload.submitUncancelledServices(6);
        advance(35_000);
        if (checker.tasks.starts < 6) {
            throw new AssertionError("only " + checker.tasks.starts + " tasks started");
        }
        return this;
    }

    /** Restarts the controllers one after the other; they come back with the new version. */
    void rollOut(long firstMs, long intervalMs) {
        for (SimulatedController controller : controllers) {
            world.schedule(firstMs + intervalMs * controller.index, () -> {
                controller.runsProductionVersion = false;
                controller.crash(4_000);
            });
        }
    }

    /** The tightened limits of the store come into force. */
    void tightenStoreLimits() {
        store.tightenLimits(tightenedLimits);
    }

    /** Limits the sockets of each controller, and lets each event that it handles take so long. */
    void limitControllers(int sockets, double costMs) {
        socketLimit = sockets;
        costPerTaskMs = costMs;
        controllers.forEach(controller -> controller.process.limitResources(sockets, costMs));
    }

    void placeControllerInZone(int controller, String zone) {
        controllers.get(controller).zone = zone;
    }

    String leaderName() {
        return leadership.leaderName();
    }

    /** The index of the controller that the leader record names. */
    int leaderIndex() {
        return Integer.parseInt(leaderName().substring(SimulatedController.NAME_PREFIX.length()));
    }

    /** The index of the leader, or 0 as long as there has been none. */
    int leaderIndexOrFirst() {
        return leadership.hasLeader() ? leaderIndex() : 0;
    }

    /** Runs once the leader record carries another fencing token than now. */
    void onNextFencingToken(Runnable action) {
        awaitOtherToken(leadership.fencingToken(), action);
    }

    private void awaitOtherToken(long before, Runnable action) {
        world.schedule(FENCING_TOKEN_POLL_MS, () -> {
            if (leadership.fencingToken() != before) {
                action.run();
            } else {
                awaitOtherToken(before, action);
            }
        });
    }
}
