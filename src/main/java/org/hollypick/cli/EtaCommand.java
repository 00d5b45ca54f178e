package org.hollypick.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.StringJoiner;
import java.util.concurrent.Callable;
import org.hollypick.client.HollypickClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Prints when jobs are likely to be done: on a terminal in one line, which is overwritten while it follows them, for
 * programs as one JSON object a line.
 */
@Command(
        name = "hollypick eta",
        mixinStandardHelpOptions = true,
        description = "Tells when jobs are likely to be done: at the earliest, with even odds, at the latest, and why.")
final class EtaCommand implements Callable<Integer> {
    private static final HollypickClient.Times CLIENT_TIMES =
            new HollypickClient.Times(Duration.ofSeconds(20), Duration.ofSeconds(5), Duration.ofSeconds(2));
    /** Back to the line's begin, and clear it. */
    private static final String CLEAR_LINE = "\r\u001b[K";
    /** Durations below that are shown in seconds. */
    private static final double MAX_SHOWN_IN_SECONDS_S = 100;
    /** Durations below that, in seconds, are shown in minutes; longer ones in hours. */
    private static final double MAX_SHOWN_IN_MINUTES_S = 6_000;

    @Parameters(paramLabel = "ID", arity = "1..*")
    private List<String> ids;

    @Option(
            names = "--to",
            paramLabel = "HOST:PORT",
            split = ",",
            required = true,
            description = "addresses of controllers, any number")
    private List<String> addresses;

    @Option(names = "--json", description = "what the service answers, one line a job")
    private boolean json;

    @Option(names = "--follow", description = "again every two seconds, until all are over")
    private boolean follow;

    static int execute(String[] args) {
        return CommandRunner.execute(new EtaCommand(), args);
    }

    @Override
    public Integer call() throws InterruptedException {
        boolean onTerminal = System.console() != null && !json;
        boolean overwrites = onTerminal && follow;
        try (HollypickClient client = new HollypickClient(addresses, CLIENT_TIMES)) {
            List<JsonNode> estimates = fetchEstimates(client);
            print(estimates, onTerminal, overwrites);
            while (follow && !estimates.stream().allMatch(EtaCommand::hasEnded)) {
                Thread.sleep(CLIENT_TIMES.pollEvery().toMillis());
                estimates = fetchEstimates(client);
                print(estimates, onTerminal, overwrites);
            }
        }
        System.out.print(overwrites ? "\n" : "");
        return CommandRunner.EXIT_OK;
    }

    private List<JsonNode> fetchEstimates(HollypickClient client) {
        List<JsonNode> estimates = new ArrayList<>();
        for (String id : ids) {
            estimates.add(client.estimate(id).join());
        }
        return estimates;
    }

    private static boolean hasEnded(JsonNode estimate) {
        String status = estimate.path("status").asText();
        return status.equals("done") || status.equals("aborted");
    }

    /** {@code overwrites}: in place of the line that was printed before. */
    private void print(List<JsonNode> estimates, boolean onTerminal, boolean overwrites) {
        StringJoiner text = new StringJoiner(onTerminal ? "   " : "\n");
        for (int i = 0; i < ids.size(); i++) {
            text.add(json ? estimates.get(i).toString() : describe(ids.get(i), estimates.get(i)));
        }
        System.out.print(overwrites ? CLEAR_LINE + text : text + "\n");
        System.out.flush();
    }

    /** An estimate in words. */
    static String describe(String id, JsonNode estimate) {
        String status = estimate.path("status").asText();
        JsonNode secondsLeft = estimate.path("done_in_s");
        if (!secondsLeft.isObject()) {
            String reason =
                    estimate.has("reason") ? ": " + estimate.path("reason").asText() : "";
            return id + " " + status + reason;
        }
        JsonNode history = estimate.path("history");
        return String.format(
                Locale.ROOT,
                "%s %s: done in %s (%s to %s), most of it %s; %d runs known (%s)",
                id,
                status,
                formatDuration(secondsLeft.path("p50").asDouble()),
                formatDuration(secondsLeft.path("p10").asDouble()),
                formatDuration(secondsLeft.path("p90").asDouble()),
                estimate.path("reason").asText(),
                history.path("n").asInt(),
                history.path("from").asText());
    }

    private static String formatDuration(double seconds) {
        if (seconds < MAX_SHOWN_IN_SECONDS_S) {
            return Math.round(seconds) + " s";
        }
        if (seconds < MAX_SHOWN_IN_MINUTES_S) {
            return Math.round(seconds / 60) + " min";
        }
        return String.format(Locale.ROOT, "%.1f h", seconds / 3_600);
    }
}
