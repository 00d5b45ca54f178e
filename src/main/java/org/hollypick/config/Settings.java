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
 * The settings file that the platform hands over. Unknown fields are ignored. Where the state service's limits will
 * tighten without notice ({@code state.next}), the tighter ones hold from the start: what is written under them stays
 * writable.
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

    public record Sibling(String node, String zone, String addr) {}

    /** Limits of a team; 0 means no guarantee or no limit. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    public record Objective(String kind, String jobClass, double withinS, double share) {}

    /** Where another controller is to be asked; null for this one, or one that there isn't. */
    public String meshAddr(String node) {
        for (Sibling s : siblings) {
            if (s.node().equals(node)) {
                return s.addr();
            }
        }
        return null;
    }

    /** The limits of all teams, as a mark that two controllers can compare. */
    public String limitsMark() {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        teams.values().stream()
                .sorted(Comparator.comparing(Team::name))
                .forEach(t -> hasher.putString(t.name(), StandardCharsets.UTF_8)
                        .putDouble(t.cpusMax())
                        .putDouble(t.gpusMax()));
        return hasher.hash().toString();
    }

    /** Whether any team has a limit. */
    public boolean anyLimit() {
        return teams.values().stream().anyMatch(t -> t.cpusMax() > 0 || t.gpusMax() > 0);
    }

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

    public static Settings parse(JsonNode root) {
        List<Sibling> siblings = new ArrayList<>();
        for (JsonNode s : root.path("siblings")) {
            siblings.add(new Sibling(text(s, "node_name"), s.path("location").asText(""), address(s, "peer_addr")));
        }
        JsonNode services = table(root, "services");
        JsonNode params = table(root, "params");
        List<String> zones = new ArrayList<>();
        for (JsonNode z : params.path("zones")) {
            zones.add(z.asText());
        }
        Map<String, Team> teams = new LinkedHashMap<>();
        for (JsonNode t : params.path("teams")) {
            Team team = new Team(
                    text(t, "name"),
                    amount(t, "cpus"),
                    amount(t, "cpus_max"),
                    amount(t, "gpus"),
                    amount(t, "gpus_max"));
            teams.put(team.name(), team);
        }
        List<Objective> objectives = new ArrayList<>();
        for (JsonNode o : params.path("objectives")) {
            objectives.add(new Objective(
                    o.path("kind").asText(""),
                    o.path("class").asText(""),
                    o.path("within_s").asDouble(0),
                    o.path("share").asDouble(0)));
        }
        JsonNode workers = table(params, "workers");
        JsonNode state = table(params, "state");
        JsonNode cloud = table(params, "cloud");
        return new Settings(
                text(root, "node_name"),
                text(root, "location"),
                address(root, "public_addr"),
                address(root, "mesh_addr"),
                List.copyOf(siblings),
                address(services, "cloud"),
                address(services, "state"),
                List.copyOf(zones),
                teams,
                List.copyOf(objectives),
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

    private static JsonNode table(JsonNode at, String field) {
        JsonNode v = at.path(field);
        if (!v.isObject()) {
            throw new ConfigException(field + ": missing table");
        }
        return v;
    }

    private static String text(JsonNode at, String field) {
        JsonNode v = at.path(field);
        if (!v.isTextual() || v.asText().isBlank()) {
            throw new ConfigException(field + ": missing or not text");
        }
        return v.asText();
    }

    private static String address(JsonNode at, String field) {
        String v = text(at, field);
        try {
            HostAndPort parsed = HostAndPort.fromString(v);
            if (parsed.hasPort() && parsed.getPort() > 0 && !parsed.getHost().isEmpty()) {
                return v;
            }
        } catch (IllegalArgumentException e) {
            // reported below, with the field's name
        }
        throw new ConfigException(field + ": not host:port: " + v);
    }

    private static double amount(JsonNode at, String field) {
        JsonNode v = at.path(field);
        if (v.isMissingNode()) {
            return 0;
        }
        if (!v.isNumber() || !(v.asDouble() >= 0)) {
            throw new ConfigException(field + ": not a number of at least 0");
        }
        return v.asDouble();
    }

    private static double tightest(JsonNode state, String field) {
        JsonNode next = state.path("next");
        if (!next.isMissingNode() && !next.isObject()) {
            throw new ConfigException("next: not a table");
        }
        double now = positive(state, field);
        if (!next.has(field)) {
            return now;
        }
        try {
            return Math.min(now, positive(next, field));
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

    private static double positive(JsonNode at, String field) {
        JsonNode v = at.path(field);
        if (!v.isNumber() || !(v.asDouble() > 0)) {
            throw new ConfigException(field + ": missing or not above 0");
        }
        return v.asDouble();
    }
}
