package org.hollypick.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionException;
import org.hollypick.client.GraphSpec;
import org.hollypick.client.HollypickClient;
import org.hollypick.client.HollypickException;
import org.hollypick.config.ConfigException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Graphs from the command line. Exit codes: 0 done, 1 refused or not answered, 2 the file or the arguments are wrong.
 */
@Command(
        name = "hollypick graph",
        mixinStandardHelpOptions = true,
        description = "Submits, shows and withdraws task graphs.",
        subcommands = {GraphCommand.Submit.class, GraphCommand.Show.class, GraphCommand.Withdraw.class})
final class GraphCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    static int execute(String[] args) {
        return line(new GraphCommand()).execute(args);
    }

    /** A command whose failures are told in one line, and by an exit code. */
    static CommandLine line(Object command) {
        return new CommandLine(command).setExecutionExceptionHandler((e, line, parsed) -> {
            Throwable cause = e instanceof CompletionException && e.getCause() != null ? e.getCause() : e;
            line.getErr().println(cause.getMessage());
            return cause instanceof ConfigException ? 2 : cause instanceof HollypickException ? 1 : 3;
        });
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "submit, show or withdraw?");
    }

    /** Where the controllers are. */
    private abstract static class Remote implements Callable<Integer> {
        @Option(
                names = "--to",
                paramLabel = "HOST:PORT",
                split = ",",
                required = true,
                description = "addresses of controllers, any number")
        private List<String> addresses;

        @Option(
                names = "--within",
                paramLabel = "SECONDS",
                defaultValue = "60",
                description = "how long a call is tried (default: ${DEFAULT-VALUE})")
        private long withinS;

        @Override
        public Integer call() {
            try (HollypickClient client = new HollypickClient(
                    addresses,
                    new HollypickClient.Times(
                            Duration.ofSeconds(withinS), Duration.ofSeconds(5), Duration.ofSeconds(2)))) {
                return run(client);
            }
        }

        abstract int run(HollypickClient client);
    }

    @Command(name = "submit", mixinStandardHelpOptions = true, description = "Checks a graph in a file and submits it.")
    static final class Submit extends Remote {
        @Parameters(paramLabel = "FILE", description = "EDN, or JSON if it ends in .json")
        private Path file;

        @Option(names = "--wait", description = "until the graph is over; exit code 1 unless it is done")
        private boolean wait;

        @Override
        int run(HollypickClient client) {
            GraphSpec spec = GraphFile.read(file);
            HollypickClient.Graph graph = client.submit(spec).join();
            System.out.println(graph.id() + " accepted, " + spec.nodeIds().size() + " nodes");
            if (!wait) {
                return 0;
            }
            HollypickClient.Status status = graph.over().join();
            System.out.println(
                    graph.id() + " " + status.status() + (status.why().isEmpty() ? "" : ": " + status.why()));
            return status.status().equals("done") ? 0 : 1;
        }
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Tells how a graph stands, node by node.")
    static final class Show extends Remote {
        @Parameters(paramLabel = "ID")
        private String id;

        @Option(names = "--nodes", description = "every node, with its task and state")
        private boolean nodes;

        @Override
        int run(HollypickClient client) {
            JsonNode page = client.graph(id).show(0).join();
            System.out.println(id + " " + page.path("status").asText() + " " + page.path("counts"));
            while (nodes) {
                page.path("nodes")
                        .forEach(n -> System.out.println(
                                n.path("id").asText() + " " + n.path("task").asText() + " "
                                        + n.path("state").asText()
                                        + (n.has("why") ? " (" + n.path("why").asText() + ")" : "")));
                if (!page.has("from")) {
                    break;
                }
                page = client.graph(id).show(page.path("from").asInt()).join();
            }
            return 0;
        }
    }

    @Command(
            name = "withdraw",
            mixinStandardHelpOptions = true,
            description = "Cancels a graph, or one node and what needs it.")
    static final class Withdraw extends Remote {
        @Parameters(index = "0", paramLabel = "ID")
        private String id;

        @Parameters(index = "1", paramLabel = "NODE", arity = "0..1")
        private String node;

        @Override
        int run(HollypickClient client) {
            HollypickClient.Graph graph = client.graph(id);
            System.out.println(id + " " + (node == null ? graph.withdraw() : graph.withdraw(node)).join());
            return 0;
        }
    }
}
