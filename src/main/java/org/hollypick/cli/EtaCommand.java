package org.hollypick.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.hollypick.client.HollypickClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** When jobs are likely to be done. On a terminal one line that follows, for programs one JSON object a line. */
@Command(
        name = "hollypick eta",
        mixinStandardHelpOptions = true,
        description = "Tells when jobs are likely to be done: at the earliest, with even odds, at the latest, and why.")
final class EtaCommand implements Callable<Integer> {
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
        return GraphCommand.line(new EtaCommand()).execute(args);
    }

    @Override
    public Integer call() throws InterruptedException {
        boolean terminal = System.console() != null && !json;
        try (HollypickClient client = new HollypickClient(
                addresses,
                new HollypickClient.Times(Duration.ofSeconds(20), Duration.ofSeconds(5), Duration.ofSeconds(2)))) {
            while (true) {
                boolean over = true;
                StringBuilder line = new StringBuilder();
                for (String id : ids) {
                    JsonNode told = client.estimate(id).join();
                    over &= told.path("status").asText().equals("done")
                            || told.path("status").asText().equals("aborted");
                    line.append(line.isEmpty() ? "" : terminal ? "   " : "\n")
                            .append(json ? told.toString() : text(id, told));
                }
                System.out.print(terminal && follow ? "\r\u001b[K" + line : line + "\n");
                System.out.flush();
                if (!follow || over) {
                    System.out.print(terminal && follow ? "\n" : "");
                    return 0;
                }
                Thread.sleep(2_000);
            }
        }
    }

    static String text(String id, JsonNode told) {
        JsonNode in = told.path("done_in_s");
        if (!in.isObject()) {
            return id + " " + told.path("status").asText()
                    + (told.has("reason") ? ": " + told.path("reason").asText() : "");
        }
        return String.format(
                Locale.ROOT,
                "%s %s: done in %s (%s to %s), most of it %s; %d runs known (%s)",
                id,
                told.path("status").asText(),
                time(in.path("p50").asDouble()),
                time(in.path("p10").asDouble()),
                time(in.path("p90").asDouble()),
                told.path("reason").asText(),
                told.path("history").path("n").asInt(),
                told.path("history").path("from").asText());
    }

    private static String time(double seconds) {
        return seconds < 100
                ? Math.round(seconds) + " s"
                : seconds < 6_000
                        ? Math.round(seconds / 60) + " min"
                        : String.format(Locale.ROOT, "%.1f h", seconds / 3600);
    }
}
