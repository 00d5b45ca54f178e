package org.hollypick.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import org.hollypick.client.GraphSpec;
import org.hollypick.client.HollypickClient;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The sub-commands that submit, show and cancel task graphs. {@link CommandRunner} defines the exit codes. */
@Command(
        name = "hollypick graph",
        mixinStandardHelpOptions = true,
        description = "Submits, shows and cancels task graphs.",
        subcommands = {GraphCommand.Submit.class, GraphCommand.Show.class, GraphCommand.Withdraw.class})
final class GraphCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    static int execute(String[] args) {
        return CommandRunner.execute(new GraphCommand(), args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "missing sub-command: submit, show or withdraw");
    }

    /** The options and the client that the sub-commands share. */
    private abstract static class RemoteCommand implements Callable<Integer> {
        private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);
        private static final Duration POLL_INTERVAL = Duration.ofSeconds(2);

        @Option(
                names = "--to",
                paramLabel = "HOST:PORT",
                split = ",",
                required = true,
                description = "addresses of one or more controllers, separated by commas")
        private List<String> addresses;

        @Option(
                names = "--within",
                paramLabel = "SECONDS",
                defaultValue = "60",
                description = "how long a call is retried before it fails (default: ${DEFAULT-VALUE})")
        private long callTimeoutS;

        @Override
        public Integer call() {
            HollypickClient.Times times =
                    new HollypickClient.Times(Duration.ofSeconds(callTimeoutS), RESPONSE_TIMEOUT, POLL_INTERVAL);
            try (HollypickClient client = new HollypickClient(addresses, times)) {
                return run(client);
            }
        }

        /** Runs the command and returns the exit code. */
        abstract int run(HollypickClient client);
    }

    @Command(
            name = "submit",
            mixinStandardHelpOptions = true,
            description = "Validates a graph in a file and submits it.")
    static final class Submit extends RemoteCommand {
        @Parameters(paramLabel = "FILE", description = "the graph: EDN, or JSON if the file name ends in .json")
        private Path file;

        @Option(names = "--wait", description = "wait until the graph has ended; exit code 1 unless it is done")
        private boolean wait;

        @Override
        int run(HollypickClient client) {
            GraphSpec spec = GraphFile.read(file);
            HollypickClient.Graph graph = client.submit(spec).join();
            System.out.println(graph.id() + " accepted, " + spec.nodeIds().size() + " nodes");
            if (!wait) {
                return CommandRunner.EXIT_OK;
            }
            HollypickClient.Status status = graph.over().join();
            String reason = status.why().isEmpty() ? "" : ": " + status.why();
            System.out.println(graph.id() + " " + status.status() + reason);
            return status.status().equals("done") ? CommandRunner.EXIT_OK : CommandRunner.EXIT_FAILED;
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Shows the status of a graph and the number of its nodes in each state.")
    static final class Show extends RemoteCommand {
        @Parameters(paramLabel = "ID")
        private String id;

        @Option(names = "--nodes", description = "list every node with its task and state")
        private boolean nodes;

        @Override
        int run(HollypickClient client) {
            HollypickClient.Graph graph = client.graph(id);
            JsonNode page = graph.show(0).join();
            System.out.println(id + " " + page.path("status").asText() + " " + page.path("counts"));
            if (nodes) {
                printNodes(page);
                while (page.has("from")) {
                    page = graph.show(page.path("from").asInt()).join();
                    printNodes(page);
                }
            }
            return CommandRunner.EXIT_OK;
        }

        private static void printNodes(JsonNode page) {
            for (JsonNode node : page.path("nodes")) {
                String reason = node.has("why") ? " (" + node.path("why").asText() + ")" : "";
                System.out.println(node.path("id").asText() + " "
                        + node.path("task").asText() + " "
                        + node.path("state").asText() + reason);
            }
        }
    }

    @Command(
            name = "withdraw",
            mixinStandardHelpOptions = true,
            description = "Cancels a graph, or one node and the nodes that depend on it.")
    static final class Withdraw extends RemoteCommand {
        @Parameters(index = "0", paramLabel = "ID")
        private String id;

        @Parameters(index = "1", paramLabel = "NODE", arity = "0..1")
        private String node;

        @Override
        int run(HollypickClient client) {
            HollypickClient.Graph graph = client.graph(id);
            String state = (node == null ? graph.withdraw() : graph.withdraw(node)).join();
            System.out.println(id + " " + state);
            return CommandRunner.EXIT_OK;
        }
    }
}
