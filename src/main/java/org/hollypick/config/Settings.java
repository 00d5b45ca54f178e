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
 * The settings that the platform provides in a TOML file. Unknown fields are ignored. Immutable.
 *
 * <p>The store may replace its limits without notice by those in the table {@code params.state.next}. Of each limit the
 * lower value applies from the start, so that values written before the change can be written again after it.
 *
 * @param node the name of this controller
 * @param zone the zone in which this controller runs
 * @param publicAddr the address of this controller's endpoint for users and agents
 * @param meshAddr the address of this controller's endpoint for other controllers
 * @param siblings the other controllers
 * @param cloud the address of the cloud's API
 * @param state the address of the key-value store
 * @param zones the zones of the cluster
 * @param teams the teams by name, with their quotas
 * @param objectives the service-level objectives
 * @param reportS seconds between two heartbeats of an agent
 * @param leaseS duration of an agent's lease in seconds
 * @param cancelS seconds within which a cancelled task must have ended
 * @param stateRps rate limit of the store for the requests of all controllers together
 * @param stateWriteRps rate limit of the store for the writes of all controllers together
 * @param valueBytes maximum size of a value in the store, in bytes
 * @param txnOps maximum number of operations in a transaction of the store
 * @param cloudRps rate limit of the cloud's API
 * @param listLagS seconds by which the cloud's list of machines may lag behind
 * @param sockets maximum number of sockets that this process may open
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

    // Names of the fields of the settings file, which the platform defines.

    /** The name of this controller, or of another one in the list of {@link #PEER_CONTROLLERS}. */
    private static final String CONTROLLER_NAME = "node_name";

    /** The zone in which a controller runs. */
    private static final String CONTROLLER_ZONE = "location";

    /** The address of the endpoint for users and agents. */
    private static final String PUBLIC_ADDRESS = "public_addr";

    /** The address of the endpoint for peers. */
    private static final String PEER_ENDPOINT_ADDRESS = "mesh_addr";

    /** The list of the other controllers, one table each. */
    private static final String PEER_CONTROLLERS = "siblings";

    /** The address of another controller's endpoint for peers. */
    private static final String PEER_ADDRESS = "peer_addr";

    /** The table of the addresses of the services that the controller uses. */
    private static final String SERVICES = "services";

    /** The cloud: its address in {@link #SERVICES}, its limits in {@link #PARAMETERS}. */
    private static final String CLOUD = "cloud";

    /** The key-value store: its address in {@link #SERVICES}, its limits in {@link #PARAMETERS}. */
    private static final String STORE = "state";

    /** The table of the cluster's parameters. */
    private static final String PARAMETERS = "params";

    /** The list of the names of the zones of the cluster. */
    private static final String ZONES = "zones";

    /** The table of the parameters of agents. */
    private static final String AGENTS = "workers";

    /** Seconds between two heartbeats of an agent. */
    private static final String HEARTBEAT_INTERVAL_SECONDS = "report_s";

    /** Duration of an agent's lease in seconds. */
    private static final String AGENT_LEASE_SECONDS = "lease_s";

    /** Seconds within which a cancelled task must have ended. */
    private static final String CANCELLATION_SECONDS = "cancel_s";

    /** Rate limit of the store or of the cloud, in requests per second. */
    private static final String REQUESTS_PER_SECOND = "rps";

    /** Rate limit of the store, in writes per second. */
    private static final String WRITES_PER_SECOND = "write_rps";

    /** Maximum size of a value in the store, in KiB. */
    private static final String MAX_VALUE_KIB = "value_kb";

    /** Maximum number of operations in a transaction of the store. */
    private static final String MAX_TRANSACTION_OPERATIONS = "txn_ops";

    /** The table of the store's limits that may replace the present ones without notice. */
    private static final String UPCOMING_LIMITS = "next";

    /** Seconds by which the cloud's list of machines may lag behind. */
    private static final String LIST_LAG_SECONDS = "list_lag_s";

    /** The table of the resources that this process may use. */
    private static final String RESOURCES = "resources";

    /** Maximum number of sockets that this process may open. */
    private static final String MAX_SOCKETS = "sockets";

    /** The list of the teams, one table each. */
    private static final String TEAMS = "teams";

    /** The name of a team. */
    private static final String TEAM_NAME = "name";

    /** The number of CPUs that a team is guaranteed. */
    private static final String GUARANTEED_CPUS = "cpus";

    /** The maximum number of CPUs that a team may use. */
    private static final String MAX_CPUS = "cpus_max";

    /** The number of GPUs that a team is guaranteed. */
    private static final String GUARANTEED_GPUS = "gpus";

    /** The maximum number of GPUs that a team may use. */
    private static final String MAX_GPUS = "gpus_max";

    /** The list of the service-level objectives, one table each. */
    private static final String OBJECTIVES = "objectives";

    /** The measured quantity that an objective applies to. */
    private static final String OBJECTIVE_KIND = "kind";

    /** The job class that an objective applies to. */
    private static final String OBJECTIVE_JOB_CLASS = "class";

    /** The maximum duration in seconds with which a case meets an objective. */
    private static final String OBJECTIVE_SECONDS = "within_s";

    /** The minimum share of cases that must meet an objective. */
    private static final String OBJECTIVE_SHARE = "share";

    /**
     * Another controller.
     *
     * @param node the name of the controller
     * @param zone the zone in which the controller runs, empty if unknown
     * @param addr the address of the controller's endpoint for other controllers
     */
    public record Sibling(String node, String zone, String addr) {}

    /**
     * A team's quota: its guaranteed resources and its limits.
     *
     * @param name the name of the team
     * @param cpus number of guaranteed CPUs
     * @param cpusMax maximum number of CPUs; 0 means no limit
     * @param gpus number of guaranteed GPUs
     * @param gpusMax maximum number of GPUs; 0 means no limit
     */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /**
     * A service-level objective: at least {@code share} of the cases must take at most {@code withinS} seconds.
     *
     * @param kind the measured quantity
     * @param jobClass the class of the measured jobs
     * @param withinS maximum duration in seconds
     * @param share share of the cases, from 0 to 1
     */
    public record Objective(String kind, String jobClass, double withinS, double share) {}

    /**
     * The address of another controller's endpoint for its peers.
     *
     * @return null if no other controller has that name
     */
    public String meshAddr(String controller) {
        for (Sibling peer : siblings) {
            if (peer.node().equals(controller)) {
                return peer.addr();
            }
        }
        return null;
    }

    /** A hash of the limits of all teams, with which controllers check whether they enforce the same limits. */
    public String limitsHash() {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        teams.values().stream()
                .sorted(Comparator.comparing(Team::name))
                .forEach(team -> hasher.putString(team.name(), StandardCharsets.UTF_8)
                        .putDouble(team.cpusMax())
                        .putDouble(team.gpusMax()));
        return hasher.hash().toString();
    }

    /** Whether any team has a limit on CPUs or GPUs. */
    public boolean hasTeamLimits() {
        return teams.values().stream().anyMatch(team -> team.cpusMax() > 0 || team.gpusMax() > 0);
    }

    /**
     * Reads the settings file.
     *
     * @throws ConfigException if the file can't be read or is invalid; the message names the invalid field
     */
    public static Settings read(Path file) {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw new ConfigException("settings file " + file + " is not valid TOML: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new ConfigException("settings file " + file + " can't be read: " + e.getMessage());
        }
        return parse(root);
    }

    /**
     * Reads the settings from the parsed file.
     *
     * @throws ConfigException if a field is missing or invalid; the message names the field
     */
    public static Settings parse(JsonNode root) {
        List<Sibling> peers = peers(root);
        JsonNode services = table(root, SERVICES);
        JsonNode parameters = table(root, PARAMETERS);
        Map<String, Team> teams = teams(parameters);
        JsonNode agents = table(parameters, AGENTS);
        JsonNode storeLimits = table(parameters, STORE);
        JsonNode cloudLimits = table(parameters, CLOUD);
        return new Settings(
                text(root, CONTROLLER_NAME),
                text(root, CONTROLLER_ZONE),
                address(root, PUBLIC_ADDRESS),
                address(root, PEER_ENDPOINT_ADDRESS),
                peers,
                address(services, CLOUD),
                address(services, STORE),
                zones(parameters),
                teams,
                objectives(parameters),
                positiveNumber(agents, HEARTBEAT_INTERVAL_SECONDS),
                positiveNumber(agents, AGENT_LEASE_SECONDS),
                positiveNumber(agents, CANCELLATION_SECONDS),
                lowestLimit(storeLimits, REQUESTS_PER_SECOND),
                lowestLimit(storeLimits, WRITES_PER_SECOND),
                (int) (lowestLimit(storeLimits, MAX_VALUE_KIB) * 1024),
                transactionOperations(storeLimits),
                positiveNumber(cloudLimits, REQUESTS_PER_SECOND),
                positiveNumber(cloudLimits, LIST_LAG_SECONDS),
                (int) positiveNumber(table(parameters, RESOURCES), MAX_SOCKETS));
    }

    private static List<Sibling> peers(JsonNode root) {
        List<Sibling> peers = new ArrayList<>();
        for (JsonNode peer : root.path(PEER_CONTROLLERS)) {
            peers.add(new Sibling(
                    text(peer, CONTROLLER_NAME), peer.path(CONTROLLER_ZONE).asText(""), address(peer, PEER_ADDRESS)));
        }
        return List.copyOf(peers);
    }

    private static List<String> zones(JsonNode parameters) {
        List<String> zones = new ArrayList<>();
        parameters.path(ZONES).forEach(zone -> zones.add(zone.asText()));
        return List.copyOf(zones);
    }

    private static Map<String, Team> teams(JsonNode parameters) {
        Map<String, Team> teams = new LinkedHashMap<>();
        for (JsonNode team : parameters.path(TEAMS)) {
            String name = text(team, TEAM_NAME);
            teams.put(
                    name,
                    new Team(
                            name,
                            optionalAmount(team, GUARANTEED_CPUS),
                            optionalAmount(team, MAX_CPUS),
                            optionalAmount(team, GUARANTEED_GPUS),
                            optionalAmount(team, MAX_GPUS)));
        }
        return teams;
    }

    private static List<Objective> objectives(JsonNode parameters) {
        List<Objective> objectives = new ArrayList<>();
        for (JsonNode objective : parameters.path(OBJECTIVES)) {
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
            throw new ConfigException(field + ": missing or not a table: '" + value + "'");
        }
        return value;
    }

    private static String text(JsonNode table, String field) {
        JsonNode value = table.path(field);
        if (!value.isTextual() || value.asText().isBlank()) {
            throw new ConfigException(field + ": missing or not a non-blank text: '" + value + "'");
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
            // The exception below reports the address with the name of its field.
        }
        throw new ConfigException(field + ": not host:port: '" + address + "'");
    }

    private static double optionalAmount(JsonNode table, String field) {
        JsonNode value = table.path(field);
        if (value.isMissingNode()) {
            return 0;
        }
        if (!value.isNumber() || !(value.asDouble() >= 0)) {
            throw new ConfigException(field + ": not a number of at least 0: '" + value + "'");
        }
        return value.asDouble();
    }

    /** The present limit, or the upcoming one if it is lower. */
    private static double lowestLimit(JsonNode storeLimits, String field) {
        JsonNode upcomingLimits = storeLimits.path(UPCOMING_LIMITS);
        if (!upcomingLimits.isMissingNode() && !upcomingLimits.isObject()) {
            throw new ConfigException(UPCOMING_LIMITS + ": not a table: '" + upcomingLimits + "'");
        }
        double present = positiveNumber(storeLimits, field);
        if (!upcomingLimits.has(field)) {
            return present;
        }
        try {
            return Math.min(present, positiveNumber(upcomingLimits, field));
        } catch (ConfigException e) {
            throw new ConfigException(UPCOMING_LIMITS + "." + e.getMessage());
        }
    }

    private static int transactionOperations(JsonNode storeLimits) {
        int operations = (int) lowestLimit(storeLimits, MAX_TRANSACTION_OPERATIONS);
        if (operations < 1) {
            throw new ConfigException(MAX_TRANSACTION_OPERATIONS + ": must be at least 1");
        }
        return operations;
    }

    private static double positiveNumber(JsonNode table, String field) {
        JsonNode value = table.path(field);
        if (!value.isNumber() || !(value.asDouble() > 0)) {
            throw new ConfigException(field + ": missing or not a number above 0: '" + value + "'");
        }
        return value.asDouble();
    }
}
