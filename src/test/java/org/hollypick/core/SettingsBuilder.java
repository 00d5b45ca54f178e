package org.hollypick.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.config.Settings;

/** Builds {@link Settings} for tests, from common defaults or from a copy of other settings. */
public final class SettingsBuilder {
    private String controllerName = "n";
    private String zone = "a";
    private String publicAddress = "p:1";
    private String peerEndpointAddress = "m:1";
    private List<Settings.Sibling> peers = List.of();
    private String cloudAddress = "c:1";
    private String storeAddress = "s:1";
    private List<String> zones = List.of("a");
    private Map<String, Settings.Team> teams = Map.of();
    private List<Settings.Objective> objectives = List.of();
    private double heartbeatIntervalS = 3;
    private double agentLeaseS = 20;
    private double cancellationLimitS = 40;
    private double storeRequestsPerSecond = 100;
    private double storeWritesPerSecond = 30;
    private int maxValueBytes = 8192;
    private int maxTransactionOperations = 12;
    private double cloudRequestsPerSecond = 8;
    private double instanceListLagS = 4;
    private int maxSockets = 1000;

    /** Starts with one zone, no teams, leases of 20 s and 40 s to stop cancelled tasks. */
    public SettingsBuilder() {}

    /** Starts with the values of other settings. */
    public static SettingsBuilder copyOf(Settings settings) {
        SettingsBuilder copy = new SettingsBuilder();
        copy.controllerName = settings.controllerName();
        copy.zone = settings.zone();
        copy.publicAddress = settings.publicAddress();
        copy.peerEndpointAddress = settings.peerEndpointAddress();
        copy.peers = settings.peers();
        copy.cloudAddress = settings.cloudAddress();
        copy.storeAddress = settings.storeAddress();
        copy.zones = settings.zones();
        copy.teams = settings.teams();
        copy.objectives = settings.objectives();
        copy.heartbeatIntervalS = settings.heartbeatIntervalS();
        copy.agentLeaseS = settings.agentLeaseS();
        copy.cancellationLimitS = settings.cancellationLimitS();
        copy.storeRequestsPerSecond = settings.storeRequestsPerSecond();
        copy.storeWritesPerSecond = settings.storeWritesPerSecond();
        copy.maxValueBytes = settings.maxValueBytes();
        copy.maxTransactionOperations = settings.maxTransactionOperations();
        copy.cloudRequestsPerSecond = settings.cloudRequestsPerSecond();
        copy.instanceListLagS = settings.instanceListLagS();
        copy.maxSockets = settings.maxSockets();
        return copy;
    }

    /** The controller's name and the addresses at which users and other controllers reach it. */
    public SettingsBuilder controller(String name, String usersAddress, String peersAddress) {
        controllerName = name;
        publicAddress = usersAddress;
        peerEndpointAddress = peersAddress;
        return this;
    }

    /** The other controllers. */
    public SettingsBuilder peers(List<Settings.Sibling> others) {
        peers = others;
        return this;
    }

    /** Addresses of the cloud provider and of the key-value store. */
    public SettingsBuilder externalServices(String cloud, String store) {
        cloudAddress = cloud;
        storeAddress = store;
        return this;
    }

    /** All zones with machines. */
    public SettingsBuilder zones(List<String> names) {
        zones = names;
        return this;
    }

    /** All teams by name. */
    public SettingsBuilder teams(Map<String, Settings.Team> byName) {
        teams = byName;
        return this;
    }

    /** A single team with a limit on cores; 0 means no limit. */
    public SettingsBuilder team(String name, double maxCores) {
        return teams(Map.of(name, new Settings.Team(name, 0, maxCores, 0, 0)));
    }

    /** Several teams, each with this limit on cores and half of it guaranteed. */
    public SettingsBuilder teamsWithLimit(List<String> names, double maxCores) {
        Map<String, Settings.Team> byName = new HashMap<>();
        names.forEach(name -> byName.put(name, new Settings.Team(name, maxCores / 2, maxCores, 0, 0)));
        return teams(byName);
    }

    /** Seconds after which the lease of an agent expires. */
    public SettingsBuilder agentLeaseS(double seconds) {
        agentLeaseS = seconds;
        return this;
    }

    /** Seconds within which the tasks of a cancelled job must have stopped. */
    public SettingsBuilder cancellationLimitS(double seconds) {
        cancellationLimitS = seconds;
        return this;
    }

    /** Requests and changed keys per second that the key-value store accepts. */
    public SettingsBuilder storeRates(double requestsPerSecond, double changesPerSecond) {
        storeRequestsPerSecond = requestsPerSecond;
        storeWritesPerSecond = changesPerSecond;
        return this;
    }

    /** The maximum size of a stored value in bytes, and the maximum number of operations in a transaction. */
    public SettingsBuilder storeSizes(int valueBytes, int operations) {
        maxValueBytes = valueBytes;
        maxTransactionOperations = operations;
        return this;
    }

    /** Builds the settings. */
    public Settings build() {
        return new Settings(
                controllerName,
                zone,
                publicAddress,
                peerEndpointAddress,
                peers,
                cloudAddress,
                storeAddress,
                zones,
                teams,
                objectives,
                heartbeatIntervalS,
                agentLeaseS,
                cancellationLimitS,
                storeRequestsPerSecond,
                storeWritesPerSecond,
                maxValueBytes,
                maxTransactionOperations,
                cloudRequestsPerSecond,
                instanceListLagS,
                maxSockets);
    }
}
