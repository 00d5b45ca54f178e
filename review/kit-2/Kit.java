import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The record of a run, and the controllers as processes of their own. */
final class Kit {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long START = System.nanoTime();
    private static PrintWriter record;

    private Kit() {}

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static synchronized void log(String text) {
        if (record != null) {
            record.printf("%8.3f %s%n", now(), text);
            record.flush();
        }
    }

    interface Case {
        /** Returns the exit code. */
        int run(Path folder) throws Exception;
    }

    /** Runs a case: writes record.txt into the case's folder, and ends all processes whatever happens. */
    static void run(String[] args, Case test) throws Exception {
        Path folder = Path.of(args[0]).toAbsolutePath();
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        Thread limit = new Thread(() -> {
            sleep(116_000);
            finish(2, "not over in time");
        });
        limit.setDaemon(true);
        limit.start();
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
        int code = 2;
        try {
            code = test.run(folder);
        } catch (Throwable e) {
            log("the case couldn't run: " + e + " " + Arrays.toString(e.getStackTrace()));
        }
        finish(code, code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "the case couldn't run");
    }

    private static void finish(int code, String text) {
        log("RESULT " + code + ": " + text + (TROUBLE ? "" : " (without the disruption)"));
        System.out.println("RESULT " + code + ": " + text);
        endAll();
        Runtime.getRuntime().halt(10 + code);
    }

    private static final List<Node> NODES = new ArrayList<>();
    private static boolean ended;

    private static void endAll() {
        synchronized (NODES) {
            ended = true;
            NODES.forEach(Node::kill);
        }
    }

    /** The folder for settings and output, which the case's script removes. */
    static Path temp() {
        return Path.of(System.getProperty("temp"));
    }

    /** A free port below those of outgoing connections, which might take it while a controller is away. */
    static int freePort() throws IOException {
        for (int i = 0; i < 200; i++) {
            int port = 20_000 + (int) (Math.random() * 12_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                continue;
            }
        }
        throw new IOException("no free port");
    }

    /** A controller. */
    static final class Node {
        final String name;
        final String zone;
        final String address;
        final String mesh;
        final Store.Door door = new Store.Door();
        Path settings;
        Path output;
        private final List<String> command = new ArrayList<>();
        private Process process;
        int starts;

        Node(String name, String zone) throws IOException {
            this.name = name;
            this.zone = zone;
            this.address = "127.0.0.1:" + freePort();
            this.mesh = "127.0.0.1:" + freePort();
            synchronized (NODES) {
                NODES.add(this);
            }
        }

        void start() throws IOException {
            synchronized (NODES) {
                if (!ended && !alive()) {
                    launch();
                }
            }
        }

        private void launch() throws IOException {
            starts++;
            log(name + ": process starts (" + starts + ")");
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.directory(new File(System.getProperty("repo")));
            builder.environment().remove("JAVA_TOOL_OPTIONS");
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            process = builder.start();
            Files.writeString(
                    temp().resolve("pids"),
                    process.pid() + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        }

        /** Adds an option to the command. */
        void option(String name, String value) {
            command.add(name);
            command.add(value);
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        boolean ready() {
            return Http.call(address, "GET", "/ready", null, 1000).status() == 200;
        }

        /** Writes the first lines of the process's output that contain a text to the record. */
        void show(String text) throws IOException {
            try (var lines = Files.lines(output, StandardCharsets.ISO_8859_1)) {
                lines.filter(line -> line.contains(text)).limit(3).forEach(line -> log(name + " printed: " + line));
            }
        }
    }

    /** Writes the settings of the controllers; {@code params}: the TOML below [params], without zones. */
    static List<Node> controllers(Path temp, Store store, String cloud, String params, String... zones)
            throws IOException {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            nodes.add(new Node("bothy-" + i, zones[i % zones.length]));
        }
        String deploy = Files.readString(Path.of(System.getProperty("repo"), "deploy", "service.toml"));
        String run = deploy.lines()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceFirst("run = \"", "")
                .replaceFirst("\"$", "");
        for (Node node : nodes) {
            StringBuilder toml = new StringBuilder();
            toml.append("node_name = \"" + node.name + "\"\nlocation = \"" + node.zone + "\"\npublic_addr = \""
                    + node.address + "\"\nmesh_addr = \"" + node.mesh + "\"\n");
            for (Node other : nodes) {
                if (other != node) {
                    toml.append("[[siblings]]\nnode_name = \"" + other.name + "\"\nlocation = \"" + other.zone
                            + "\"\npeer_addr = \"" + other.mesh + "\"\n");
                }
            }
            toml.append("[services]\ncloud = \"" + cloud + "\"\nstate = \"" + store.open(node.door) + "\"\n");
            toml.append("[params]\ninitial_size = 3\nskew_ms = 5.0\nzones = [");
            for (int i = 0; i < zones.length; i++) {
                toml.append(i == 0 ? "\"" : ", \"").append(zones[i]).append('"');
            }
            toml.append("]\n").append(params);
            node.settings = temp.resolve(node.name + ".toml");
            node.output = temp.resolve(node.name + ".log");
            Files.writeString(node.settings, toml);
            Files.writeString(node.output, "");
            node.command.addAll(List.of(run.split(" ")));
            node.command.add(node.settings.toString());
        }
        return nodes;
    }

    static boolean await(double seconds, java.util.function.BooleanSupplier condition) {
        double end = now() + seconds;
        while (now() < end) {
            if (condition.getAsBoolean()) {
                return true;
            }
            sleep(50);
        }
        return condition.getAsBoolean();
    }
}
