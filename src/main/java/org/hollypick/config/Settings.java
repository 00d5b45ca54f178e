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

    /** Another controller; {@code addr}: its endpoint for peers. */
    public record Sibling(String node, String zone, String addr) {}

    /** A team's guaranteed resources ({@code cpus}, {@code gpus}) and its limits; 0 means none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /** A service-level objective: the share of cases that has to stay within so many seconds. */
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
    public String limitsMark() {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        teams.values().stream()
                .sorted(Comparator.comparing(Team::name))
                .forEach(team -> hasher.putString(team.name(), StandardCharsets.UTF_8)
                        .putDouble(team.cpusMax())
                        .putDouble(team.gpusMax()));
        return hasher.hash().toString();
    }

    /** Whether any team has a limit. */
    public boolean anyLimit() {
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
        JsonNode services = table(root, "services");
        JsonNode params = table(root, "params");
        Map<String, Team> teams = teams(params);
        JsonNode workers = table(params, "workers");
        JsonNode state = table(params, "state");
        JsonNode cloud = table(params, "cloud");
        return new Settings(
                text(root, "node_name"),
                text(root, "location"),
                address(root, "public_addr"),
                address(root, "mesh_addr"),
                siblings,
                address(services, "cloud"),
                address(services, "state"),
                zones(params),
                teams,
                objectives(params),
                positive(workers, "report_s"),
                positive(workers, "lease_s"),
                positive(workers, "cancel_s"),
                tightest(state, "rps"),
                tightest(state, "write_rps"),
                (int) (tightest(state, "value_kb") * 1024),
                operations(state),
                positive(cloud, "rps"),
                positive(cloud, "list_lag_s"),
                (int) positive(table(params, "resources"), "sockets"));
    }

    private static List<Sibling> siblings(JsonNode root) {
        List<Sibling> siblings = new ArrayList<>();
        for (JsonNode sibling : root.path("siblings")) {
            siblings.add(new Sibling(
                    text(sibling, "node_name"), sibling.path("location").asText(""), address(sibling, "peer_addr")));
        }
        return List.copyOf(siblings);
    }

    private static List<String> zones(JsonNode params) {
        List<String> zones = new ArrayList<>();
        params.path("zones").forEach(zone -> zones.add(zone.asText()));
        return List.copyOf(zones);
    }

    private static Map<String, Team> teams(JsonNode params) {
        Map<String, Team> teams = new LinkedHashMap<>();
        for (JsonNode team : params.path("teams")) {
            String name = text(team, "name");
            teams.put(
                    name,
                    new Team(
                            name,
                            amount(team, "cpus"),
                            amount(team, "cpus_max"),
                            amount(team, "gpus"),
                            amount(team, "gpus_max")));
        }
        return teams;
    }

    private static List<Objective> objectives(JsonNode params) {
        List<Objective> objectives = new ArrayList<>();
        for (JsonNode objective : params.path("objectives")) {
            objectives.add(new Objective(
                    objective.path("kind").asText(""),
                    objective.path("class").asText(""),
                    objective.path("within_s").asDouble(0),
                    objective.path("share").asDouble(0)));
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
        JsonNode next = state.path("next");
        if (!next.isMissingNode() && !next.isObject()) {
            throw new ConfigException("next: not a table");
        }
        double present = positive(state, field);
        if (!next.has(field)) {
            return present;
        }
        try {
            return Math.min(present, positive(next, field));
        } catch (ConfigException e) {
            throw new ConfigException("next." + e.getMessage());
        }
    }

    private static int operations(JsonNode state) {
        int ops = (int) tightest(state, "txn_ops");
        if (ops < 1) {
            throw new ConfigException("txn_ops: below 1");
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
