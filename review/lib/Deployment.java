package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: the project's controllers as processes, and stand-ins of everything round them. */
final class Deployment implements AutoCloseable {
    /** Settings of a site. */
    record Site(
            List<String> zones,
            String teams,
            double reportS,
            double leaseS,
            double cancelS,
            double rps,
            double writeRps,
            int valueKb,
            int txnOps,
            double cloudRps,
            double listLagS,
            int sockets,
            double memMb,
            double cores) {}

    final Site site;
    final State state;
    final Cloud cloud;
    /** Jobs that users have uploaded, by id; workers read them. */
    final Map<String, JsonNode> jobs = new ConcurrentHashMap<>();
    final List<String> names = new ArrayList<>();
    final List<String> publicAddresses = new ArrayList<>();
    final List<String> meshAddresses = new ArrayList<>();
    private final List<Path> settings = new ArrayList<>();
    final List<Process> processes = new ArrayList<>();
    private final Path folder;
    private final List<String> command;

    Deployment(Site site, JsonNode flavours, Map<String, Integer> capacity, int controllers) throws IOException {
        this.site = site;
        this.folder = Files.createTempDirectory("review");
        this.state = new State(site.valueKb, site.txnOps, site.rps, site.writeRps);
        for (int i = 0; i < controllers; i++) {
            names.add("bothy-" + i);
            publicAddresses.add("127.0.0.1:" + Wire.freePort());
            meshAddresses.add("127.0.0.1:" + Wire.freePort());
            processes.add(null);
        }
        this.cloud = new Cloud(
                flavours,
                site.listLagS,
                capacity,
                (name, type, hall, lendable) -> new Worker(
                        name, type, hall, lendable, jobs, names, publicAddresses, site.reportS, site.leaseS));
        this.command = deployCommand();
        for (int i = 0; i < controllers; i++) {
            settings.add(writeSettings(i));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** The run command of the deploy file; relative paths count from the repository's root. */
    private static List<String> deployCommand() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/service.toml")));
        if (!run.find()) {
            throw new IOException("no run command in the deploy file");
        }
        return Arrays.asList(run.group(1).split(" "));
    }

    private Path writeSettings(int i) throws IOException {
        StringBuilder text = new StringBuilder();
        text.append("node_name = \"" + names.get(i) + "\"\n");
        text.append("location = \"" + zone(i) + "\"\n");
        text.append("public_addr = \"" + publicAddresses.get(i) + "\"\n");
        text.append("mesh_addr = \"" + meshAddresses.get(i) + "\"\n");
        for (int k = 0; k < names.size(); k++) {
            if (k != i) {
                text.append("[[siblings]]\nnode_name = \"" + names.get(k) + "\"\nlocation = \"" + zone(k)
                        + "\"\npeer_addr = \"" + peerAddress(i, k) + "\"\n");
            }
        }
        text.append("[services]\ncloud = \"" + cloud.address() + "\"\nstate = \"" + state.address() + "\"\n");
        text.append("[params]\ninitial_size = 0\nzones = [");
        for (int k = 0; k < site.zones.size(); k++) {
            text.append(k == 0 ? "" : ", ").append("\"" + site.zones.get(k) + "\"");
        }
        text.append("]\nskew_ms = 25.0\n" + site.teams);
        text.append("[params.workers]\nreport_s = " + site.reportS + "\nlease_s = " + site.leaseS
                + "\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = " + site.cancelS + "\n");
        text.append("[params.state]\nrps = " + site.rps + "\nwrite_rps = " + site.writeRps + "\nvalue_kb = "
                + (double) site.valueKb + "\ntxn_ops = " + site.txnOps + "\n");
        text.append("[params.cloud]\nrps = " + site.cloudRps + "\nlist_lag_s = " + site.listLagS + "\n");
        text.append("[params.resources]\ncores = " + site.cores + "\nmem_mb = " + site.memMb + "\nsockets = "
                + site.sockets + "\n");
        Path file = folder.resolve(names.get(i) + ".toml");
        Files.writeString(file, text);
        return file;
    }

    /** The address by which controller i reaches controller k. */
    String peerAddress(int i, int k) {
        return meshAddresses.get(k);
    }

    private String zone(int i) {
        return site.zones.get(i % site.zones.size());
    }

    // ---- processes ----

    private boolean closed;

    synchronized void start(int i) throws IOException {
        if (closed) {
            return;
        }
        List<String> full = new ArrayList<>(command);
        full.add(settings.get(i).toString());
        ProcessBuilder builder = new ProcessBuilder(full);
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CONTROLLER_LOG", "error"));
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        File log = System.getenv("CONTROLLER_LOG_DIR") == null
                ? folder.resolve(names.get(i) + ".log").toFile()
                : new File(System.getenv("CONTROLLER_LOG_DIR"), names.get(i) + ".log");
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
        processes.set(i, builder.start());
        String pids = System.getProperty("review.pids");
        if (pids != null) {
            Files.writeString(
                    Path.of(pids),
                    processes.get(i).pid() + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        }
        Wire.log(names.get(i) + " started");
    }

    Path log(int i) {
        return folder.resolve(names.get(i) + ".log");
    }

    void startAll() throws IOException {
        for (int i = 0; i < names.size(); i++) {
            start(i);
        }
    }

    synchronized void kill(int i) {
        processes.get(i).destroyForcibly();
        try {
            processes.get(i).waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Wire.log(names.get(i) + " killed");
    }

    void signal(int i, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(processes.get(i).pid())).start().waitFor();
        Wire.log(names.get(i) + " signal " + signal);
    }

    boolean ready(int i) {
        return Wire.call("GET", publicAddresses.get(i), "/ready", (JsonNode) null, 1000).status() == 200;
    }

    boolean awaitReady(double seconds) {
        double until = Wire.now() + seconds;
        while (Wire.now() < until) {
            boolean all = true;
            for (int i = 0; i < names.size(); i++) {
                all &= ready(i);
            }
            if (all) {
                Wire.log("all controllers are ready");
                return true;
            }
            Wire.sleep(0.2);
        }
        return false;
    }

    /** The name of the leading controller in the state service; null if there is none yet. */
    String leader() {
        JsonNode record = state.get("h/roster");
        return record == null ? null : record.path("leader").asText();
    }

    @Override
    public synchronized void close() {
        closed = true;
        for (Process process : processes) {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        File[] files = folder.toFile().listFiles();
        if (files != null) {
            for (File file : files) {
                file.delete();
            }
        }
        folder.toFile().delete();
    }

    // ---- users ----

    /** A submission with every field of PROTOCOL. */
    static ObjectNode job(
            String id, String kind, String owner, String shape, String rank, int shards, double cores, double ram) {
        ObjectNode job = Wire.map()
                .put("name_id", id)
                .put("jobkind", kind)
                .put("owner", owner)
                .put("shape", shape)
                .put("rank", rank)
                .put("shards", shards)
                .put("cores", cores)
                .put("gpus", 0.0)
                .put("ram_gb", ram)
                .put("bundle", "img-" + kind)
                .put("pull_gb", 0.5);
        job.putNull("flavours");
        job.putNull("hall");
        job.put("together", false)
                .put("spread", false)
                .put("lendable", false)
                .put("expect_s", shape.equals("standing") ? 0.0 : 5.0)
                .put("bookmark_s", 0.0)
                .put("stow_s", 0.0);
        job.putNull("due_s");
        return job;
    }

    /** Submits a job as PROTOCOL says, with retries for up to 60 s; returns the last answer. */
    Wire.Answer submit(ObjectNode job, int node) {
        String id = job.path("name_id").asText();
        jobs.put(id, job);
        double until = Wire.now() + 60;
        Wire.Answer answer;
        do {
            answer = Wire.call("POST", publicAddresses.get(node % names.size()), "/submissions", job, 5000);
            Wire.log("submit " + id + " at " + names.get(node % names.size()) + " -> " + answer.status() + " "
                    + answer.body());
            if (answer.status() == 200 || answer.status() == 201 || answer.status() == 400 || answer.status() == 422) {
                return answer;
            }
            node++;
            Wire.sleep(1.1);
        } while (Wire.now() < until);
        return answer;
    }

    Wire.Answer poll(String id, int node) {
        Wire.Answer answer =
                Wire.call("GET", publicAddresses.get(node), "/submissions/" + id, (JsonNode) null, 2000);
        Wire.log("poll " + id + " at " + names.get(node) + " -> " + answer.status() + " " + answer.body());
        return answer;
    }

    Wire.Answer withdraw(String id, int node) {
        Wire.Answer answer = Wire.call(
                "POST", publicAddresses.get(node), "/submissions/" + id + "/withdraw", Wire.map(), 5000);
        Wire.log("withdraw " + id + " at " + names.get(node) + " -> " + answer.status() + " " + answer.body());
        return answer;
    }

    /** The machine types of the site cyfrif-cardiff. */
    static JsonNode cardiffTypes() {
        ArrayNode types = Wire.CBOR.createArrayNode();
        types.add(Wire.json("{\"sku\":\"derw-sixteen\",\"cores\":16.0,\"gpus\":0.0,\"ram_gb\":64.0,\"cache_gb\":70.0,"
                + "\"pull_gb_per_s\":0.6,\"price\":1.11,\"market_price\":0.48,\"ready_s\":35.0,"
                + "\"halls\":[\"taf-bay\",\"menai-hall\"]}"));
        types.add(Wire.json("{\"sku\":\"onnen-thirtytwo\",\"cores\":32.0,\"gpus\":0.0,\"ram_gb\":128.0,"
                + "\"cache_gb\":40.0,\"pull_gb_per_s\":0.3,\"price\":2.45,\"market_price\":1.02,\"ready_s\":35.0,"
                + "\"halls\":[\"taf-bay\",\"menai-hall\"]}"));
        return types;
    }

    /** The settings of the site cyfrif-cardiff-hunt. */
    static Site cardiffHunt() {
        Site brief = cardiff();
        return new Site(
                brief.zones, brief.teams, 5.0, 27.0, 47.0, 120.0, 30.0, 8, 12, 8.0, 5.0, 1800, 306.0, 0.391);
    }

    /** The settings of the site cyfrif-cardiff as BRIEF gives them. */
    static Site cardiff() {
        return new Site(
                List.of("taf-bay", "menai-hall"),
                "[[params.teams]]\nname = \"llyfr-ops\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
                3.0,
                27.0,
                47.0,
                120.0,
                30.0,
                8,
                12,
                8.0,
                5.0,
                1800,
                320.0,
                0.425);
    }
}
