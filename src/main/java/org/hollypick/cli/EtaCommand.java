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
 * Prints when jobs are expected to be done. On a terminal all jobs share one line, which {@code --follow} overwrites;
 * otherwise each job has a line of its own, which is a JSON object with {@code --json}.
 */
@Command(
        name = "hollypick eta",
        mixinStandardHelpOptions = true,
        description = "Prints when jobs are expected to be done: the median, the 10th and the 90th percentile,"
                + " and what takes most of the remaining time.")
final class EtaCommand implements Callable<Integer> {
    private static final HollypickClient.Times CLIENT_TIMES =
            new HollypickClient.Times(Duration.ofSeconds(20), Duration.ofSeconds(5), Duration.ofSeconds(2));
    /** Moves the cursor to the start of the line and clears the line. */
    private static final String CLEAR_LINE = "\r\u001b[K";
    /** Shorter durations are shown in seconds. */
    private static final double MAX_SHOWN_IN_SECONDS_S = 100;
    /** Shorter durations are shown in minutes, all others in hours. */
    private static final double MAX_SHOWN_IN_MINUTES_S = 6_000;

    @Parameters(paramLabel = "ID", arity = "1..*")
    private List<String> ids;

    @Option(
            names = "--to",
            paramLabel = "HOST:PORT",
            split = ",",
            required = true,
            description = "addresses of one or more controllers, separated by commas")
    private List<String> addresses;

    @Option(names = "--json", description = "print the response of the service as JSON, one line per job")
    private boolean json;

    @Option(names = "--follow", description = "repeat every two seconds until all jobs have ended")
    private boolean follow;

    static int execute(String[] args) {
        return CommandRunner.execute(new EtaCommand(), args);
    }

    @Override
    public Integer call() throws InterruptedException {
        boolean onTerminal = System.console() != null && !json;
        boolean overwritesLine = onTerminal && follow;
        try (HollypickClient client = new HollypickClient(addresses, CLIENT_TIMES)) {
            List<JsonNode> estimates = fetchEstimates(client);
            print(estimates, onTerminal, overwritesLine);
            while (follow && !estimates.stream().allMatch(EtaCommand::hasEnded)) {
                Thread.sleep(CLIENT_TIMES.pollEvery().toMillis());
                estimates = fetchEstimates(client);
                print(estimates, onTerminal, overwritesLine);
            }
        }
        System.out.print(overwritesLine ? "\n" : "");
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

    /** Prints one estimate per job; {@code overwritesLine}: in place of the line that was printed before. */
    private void print(List<JsonNode> estimates, boolean onTerminal, boolean overwritesLine) {
        StringJoiner line = new StringJoiner(onTerminal ? "   " : "\n");
        for (int i = 0; i < ids.size(); i++) {
            line.add(json ? estimates.get(i).toString() : describe(ids.get(i), estimates.get(i)));
        }
        System.out.print(overwritesLine ? CLEAR_LINE + line : line + "\n");
        System.out.flush();
    }

    /** Describes the estimate of a job in one line; without an estimate, only its status and the reason. */
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
