package org.hollypick.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.config.Settings;

/** Builds {@link Settings} for tests, from common defaults or from a copy of other settings. */
public final class SettingsBuilder {
    private String node = "n";
    private String zone = "a";
    private String publicAddr = "p:1";
    private String meshAddr = "m:1";
    private List<Settings.Sibling> siblings = List.of();
    private String cloud = "c:1";
    private String state = "s:1";
    private List<String> zones = List.of("a");
    private Map<String, Settings.Team> teams = Map.of();
    private List<Settings.Objective> objectives = List.of();
    private double reportS = 3;
    private double leaseS = 20;
    private double cancelS = 40;
    private double stateRps = 100;
    private double stateWriteRps = 30;
    private int valueBytes = 8192;
    private int txnOps = 12;
    private double cloudRps = 8;
    private double listLagS = 4;
    private int sockets = 1000;

    /** Starts with one zone, no teams, leases of 20 s and 40 s to stop cancelled tasks. */
    public SettingsBuilder() {}

    /** Starts with the values of other settings. */
    public static SettingsBuilder copyOf(Settings settings) {
        SettingsBuilder copy = new SettingsBuilder();
        copy.node = settings.node();
        copy.zone = settings.zone();
        copy.publicAddr = settings.publicAddr();
        copy.meshAddr = settings.meshAddr();
        copy.siblings = settings.siblings();
        copy.cloud = settings.cloud();
        copy.state = settings.state();
        copy.zones = settings.zones();
        copy.teams = settings.teams();
        copy.objectives = settings.objectives();
        copy.reportS = settings.reportS();
        copy.leaseS = settings.leaseS();
        copy.cancelS = settings.cancelS();
        copy.stateRps = settings.stateRps();
        copy.stateWriteRps = settings.stateWriteRps();
        copy.valueBytes = settings.valueBytes();
        copy.txnOps = settings.txnOps();
        copy.cloudRps = settings.cloudRps();
        copy.listLagS = settings.listLagS();
        copy.sockets = settings.sockets();
        return copy;
    }

    /** The controller's name and the addresses at which users and other controllers reach it. */
    public SettingsBuilder controller(String name, String publicAddress, String peerAddress) {
        node = name;
        publicAddr = publicAddress;
        meshAddr = peerAddress;
        return this;
    }

    /** The other controllers. */
    public SettingsBuilder siblings(List<Settings.Sibling> others) {
        siblings = others;
        return this;
    }

    /** Addresses of the cloud provider and of the key-value store. */
    public SettingsBuilder externalServices(String cloudAddress, String storeAddress) {
        cloud = cloudAddress;
        state = storeAddress;
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
    public SettingsBuilder leaseS(double seconds) {
        leaseS = seconds;
        return this;
    }

    /** Seconds within which the tasks of a cancelled job must have stopped. */
    public SettingsBuilder cancelS(double seconds) {
        cancelS = seconds;
        return this;
    }

    /** Requests and changed keys per second that the key-value store accepts. */
    public SettingsBuilder storeRates(double requestsPerSecond, double changesPerSecond) {
        stateRps = requestsPerSecond;
        stateWriteRps = changesPerSecond;
        return this;
    }

    /** The maximum size of a stored value in bytes, and the maximum number of operations in a transaction. */
    public SettingsBuilder storeSizes(int maxValueBytes, int maxOperations) {
        valueBytes = maxValueBytes;
        txnOps = maxOperations;
        return this;
    }

    /** Builds the settings. */
    public Settings build() {
        return new Settings(
                node,
                zone,
                publicAddr,
                meshAddr,
                siblings,
                cloud,
                state,
                zones,
                teams,
                objectives,
                reportS,
                leaseS,
                cancelS,
                stateRps,
                stateWriteRps,
                valueBytes,
                txnOps,
                cloudRps,
                listLagS,
                sockets);
    }
}
