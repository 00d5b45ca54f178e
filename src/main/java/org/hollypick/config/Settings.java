package org.hollypick.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings file that the platform hands over, in TOML. Unknown fields are ignored. Where the store's limits will
 * tighten without notice ({@code state.next}), the tighter ones apply from the start, so that what is written under
 * them stays writable. Immutable.
 *
 * @param node the name of this controller
 * @param zone the zone in which it runs
 * @param publicAddr the address of its endpoint for users and agents
 * @param meshAddr the address of its endpoint for peers
 * @param siblings the other controllers
 * @param cloud the address of the cloud's API
 * @param state the address of the key-value store
 * @param zones the zones of the cluster
 * @param teams the teams by name, with their quotas
 * @param objectives the service-level objectives
 * @param reportS seconds between two heartbeats of an agent
 * @param leaseS seconds of an agent's lease
 * @param cancelS seconds within which a cancelled task has to have ended
 * @param stateRps requests a second that the store takes from all controllers
 * @param stateWriteRps writes a second that it takes
 * @param valueBytes bytes of a value in the store at most
 * @param txnOps operations in one transaction of the store at most
 * @param cloudRps requests a second that the cloud takes
 * @param listLagS seconds by which the cloud's list of machines may lag
 * @param sockets sockets that this process may open
 */
public record Settings(
        String node,
        String zone,
        String publicAddr,
        String meshAddr,
        List<Sibling> siblings,
        String cloud,
        String state,
        List<String> zones,
        Map<String, Team> teams,
        List<Objective> objectives,
        double reportS,
        double leaseS,
        double cancelS,
        double stateRps,
        double stateWriteRps,
        int valueBytes,
        int txnOps,
        double cloudRps,
        double listLagS,
        int sockets) {

    // Field names of the settings file, which the platform defines.

    /** The name of this controller, or of another one in its entry. */
    private static final String CONTROLLER_NAME = "node_name";

    /** The zone in which a controller runs. */
    private static final String CONTROLLER_ZONE = "location";

    /** The address of the endpoint for users and agents. */
    private static final String PUBLIC_ADDRESS = "public_addr";

    /** The address of the endpoint for peers. */
    private static final String MESH_ADDRESS = "mesh_addr";

    /** The other controllers, a list of tables. */
    private static final String PEER_CONTROLLERS = "siblings";

    /** The address of another controller's endpoint for peers. */
    private static final String PEER_ADDRESS = "peer_addr";

    /** The addresses of the services that the controller uses, a table. */
    private static final String SERVICES = "services";

    /** The cloud: its address among the services, its limits among the parameters. */
    private static final String CLOUD = "cloud";

    /** The key-value store: its address among the services, its limits among the parameters. */
    private static final String STORE = "state";

    /** The cluster's parameters, a table. */
    private static final String PARAMETERS = "params";

    /** The zones of the cluster, a list of names. */
    private static final String ZONES = "zones";

    /** The parameters of agents, a table. */
    private static final String AGENTS = "workers";

    /** Seconds between two heartbeats of an agent. */
    private static final String HEARTBEAT_INTERVAL_SECONDS = "report_s";

    /** Seconds of an agent's lease. */
    private static final String AGENT_LEASE_SECONDS = "lease_s";

    /** Seconds within which a cancelled task has to have ended. */
    private static final String CANCELLATION_SECONDS = "cancel_s";

    /** Requests a second that the store, or the cloud, takes. */
    private static final String REQUESTS_PER_SECOND = "rps";

    /** Writes a second that the store takes. */
    private static final String WRITES_PER_SECOND = "write_rps";

    /** KiB of a value in the store at most. */
    private static final String MAX_VALUE_KIB = "value_kb";

    /** Operations in a transaction of the store at most. */
    private static final String MAX_TRANSACTION_OPERATIONS = "txn_ops";

    /** The store's limits that may replace the present ones without notice, a table. */
    private static final String COMING_LIMITS = "next";

    /** Seconds by which the cloud's list of machines may lag. */
    private static final String LIST_LAG_SECONDS = "list_lag_s";

    /** What this process may use, a table. */
    private static final String RESOURCES = "resources";

    /** Sockets that it may open. */
    private static final String MAX_SOCKETS = "sockets";

    /** The teams, a list of tables. */
    private static final String TEAMS = "teams";

    /** The name of a team. */
    private static final String TEAM_NAME = "name";

    /** The CPUs that a team is guaranteed. */
    private static final String GUARANTEED_CPUS = "cpus";

    /** The limit of the CPUs of a team. */
    private static final String MAX_CPUS = "cpus_max";

    /** The GPUs that a team is guaranteed. */
    private static final String GUARANTEED_GPUS = "gpus";

    /** The limit of the GPUs of a team. */
    private static final String MAX_GPUS = "gpus_max";

    /** The service-level objectives, a list of tables. */
    private static final String OBJECTIVES = "objectives";

    /** What an objective measures. */
    private static final String OBJECTIVE_KIND = "kind";

    /** The job class that an objective is about. */
    private static final String OBJECTIVE_JOB_CLASS = "class";

    /** Seconds within which a case meets an objective. */
    private static final String OBJECTIVE_SECONDS = "within_s";

    /** The share of cases that have to meet it. */
    private static final String OBJECTIVE_SHARE = "share";

    /**
     * Another controller.
     *
     * @param node its name
     * @param zone the zone in which it runs, empty if unknown
     * @param addr the address of its endpoint for peers
     */
    public record Sibling(String node, String zone, String addr) {}

    /**
     * A team's quota: what it is guaranteed, and what it may use at most.
     *
     * @param cpus guaranteed CPUs
     * @param cpusMax CPUs at most; 0 means no limit
     * @param gpus guaranteed GPUs
     * @param gpusMax GPUs at most; 0 means no limit
     */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /**
     * A service-level objective: {@code share} of the cases have to take at most {@code withinS} seconds.
     *
     * @param kind what is measured
     * @param jobClass the class of the jobs that are measured
     * @param withinS seconds
     * @param share from 0 to 1
     */
    public record Objective(String kind, String jobClass, double withinS, double share) {}

    /**
     * The address of another controller's endpoint for peers.
     *
     * @return null for this controller, or one that doesn't exist
     */
    public String meshAddr(String node) {
        for (Sibling sibling : siblings) {
            if (sibling.node().equals(node)) {
                return sibling.addr();
            }
        }
        return null;
    }

    /** A hash of the limits of all teams, by which controllers find out whether theirs are the same. */
    public String limitsHash() {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        teams.values().stream()
                .sorted(Comparator.comparing(Team::name))
                .forEach(team -> hasher.putString(team.name(), StandardCharsets.UTF_8)
                        .putDouble(team.cpusMax())
                        .putDouble(team.gpusMax()));
        return hasher.hash().toString();
    }

    /** Whether any team has a limit. */
    public boolean hasTeamLimits() {
        return teams.values().stream().anyMatch(team -> team.cpusMax() > 0 || team.gpusMax() > 0);
    }

    /** Reads the settings file; fails with a {@link ConfigException} that names what is wrong. */
    public static Settings read(Path file) {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw new ConfigException("settings: not TOML: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new ConfigException("settings: can't read " + file + ": " + e.getMessage());
        }
        return parse(root);
    }

    /** Reads the settings from the parsed file; fails with a {@link ConfigException} that names what is wrong. */
    public static Settings parse(JsonNode root) {
        List<Sibling> siblings = siblings(root);
        JsonNode services = table(root, SERVICES);
        JsonNode params = table(root, PARAMETERS);
        Map<String, Team> teams = teams(params);
        JsonNode workers = table(params, AGENTS);
        JsonNode state = table(params, STORE);
        JsonNode cloud = table(params, CLOUD);
        return new Settings(
                text(root, CONTROLLER_NAME),
                text(root, CONTROLLER_ZONE),
                address(root, PUBLIC_ADDRESS),
                address(root, MESH_ADDRESS),
                siblings,
                address(services, CLOUD),
                address(services, STORE),
                zones(params),
                teams,
                objectives(params),
                positive(workers, HEARTBEAT_INTERVAL_SECONDS),
                positive(workers, AGENT_LEASE_SECONDS),
                positive(workers, CANCELLATION_SECONDS),
                tightest(state, REQUESTS_PER_SECOND),
                tightest(state, WRITES_PER_SECOND),
                (int) (tightest(state, MAX_VALUE_KIB) * 1024),
                operations(state),
                positive(cloud, REQUESTS_PER_SECOND),
                positive(cloud, LIST_LAG_SECONDS),
                (int) positive(table(params, RESOURCES), MAX_SOCKETS));
    }

    private static List<Sibling> siblings(JsonNode root) {
        List<Sibling> siblings = new ArrayList<>();
        for (JsonNode sibling : root.path(PEER_CONTROLLERS)) {
            siblings.add(new Sibling(
                    text(sibling, CONTROLLER_NAME),
                    sibling.path(CONTROLLER_ZONE).asText(""),
                    address(sibling, PEER_ADDRESS)));
        }
        return List.copyOf(siblings);
    }

    private static List<String> zones(JsonNode params) {
        List<String> zones = new ArrayList<>();
        params.path(ZONES).forEach(zone -> zones.add(zone.asText()));
        return List.copyOf(zones);
    }

    private static Map<String, Team> teams(JsonNode params) {
        Map<String, Team> teams = new LinkedHashMap<>();
        for (JsonNode team : params.path(TEAMS)) {
            String name = text(team, TEAM_NAME);
            teams.put(
                    name,
                    new Team(
                            name,
                            amount(team, GUARANTEED_CPUS),
                            amount(team, MAX_CPUS),
                            amount(team, GUARANTEED_GPUS),
                            amount(team, MAX_GPUS)));
        }
        return teams;
    }

    private static List<Objective> objectives(JsonNode params) {
        List<Objective> objectives = new ArrayList<>();
        for (JsonNode objective : params.path(OBJECTIVES)) {
            objectives.add(new Objective(
                    objective.path(OBJECTIVE_KIND).asText(""),
                    objective.path(OBJECTIVE_JOB_CLASS).asText(""),
                    objective.path(OBJECTIVE_SECONDS).asDouble(0),
                    objective.path(OBJECTIVE_SHARE).asDouble(0)));
        }
        return List.copyOf(objectives);
    }

    private static JsonNode table(JsonNode table, String field) {
        JsonNode value = table.path(field);
        if (!value.isObject()) {
            throw new ConfigException(field + ": missing table");
        }
        return value;
    }

    private static String text(JsonNode table, String field) {
        JsonNode value = table.path(field);
        if (!value.isTextual() || value.asText().isBlank()) {
            throw new ConfigException(field + ": missing or not text");
        }
        return value.asText();
    }

    private static String address(JsonNode table, String field) {
        String address = text(table, field);
        try {
            HostAndPort parsed = HostAndPort.fromString(address);
            if (parsed.hasPort() && parsed.getPort() > 0 && !parsed.getHost().isEmpty()) {
                return address;
            }
        } catch (IllegalArgumentException e) {
            // reported below, with the field's name
        }
        throw new ConfigException(field + ": not host:port: " + address);
    }

    private static double amount(JsonNode table, String field) {
        JsonNode value = table.path(field);
        if (value.isMissingNode()) {
            return 0;
        }
        if (!value.isNumber() || !(value.asDouble() >= 0)) {
            throw new ConfigException(field + ": not a number of at least 0");
        }
        return value.asDouble();
    }

    /** The present limit, or the coming one if that is lower. */
    private static double tightest(JsonNode state, String field) {
        JsonNode next = state.path(COMING_LIMITS);
        if (!next.isMissingNode() && !next.isObject()) {
            throw new ConfigException(COMING_LIMITS + ": not a table");
        }
        double present = positive(state, field);
        if (!next.has(field)) {
            return present;
        }
        try {
            return Math.min(present, positive(next, field));
        } catch (ConfigException e) {
            throw new ConfigException(COMING_LIMITS + "." + e.getMessage());
        }
    }

    private static int operations(JsonNode state) {
        int ops = (int) tightest(state, MAX_TRANSACTION_OPERATIONS);
        if (ops < 1) {
            throw new ConfigException(MAX_TRANSACTION_OPERATIONS + ": below 1");
        }
        return ops;
    }

    private static double positive(JsonNode table, String field) {
        JsonNode value = table.path(field);
        if (!value.isNumber() || !(value.asDouble() > 0)) {
            throw new ConfigException(field + ": missing or not above 0");
        }
        return value.asDouble();
    }
}
