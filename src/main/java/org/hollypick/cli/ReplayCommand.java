package org.hollypick.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.hollypick.config.ConfigException;
import org.hollypick.core.estimate.PredictionEvaluation;
import org.hollypick.io.Codec;
import org.hollypick.records.JobCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Replays recorded runs through the run time estimator and prints how accurate its predictions are. */
@Command(
        name = "hollypick replay estimates",
        mixinStandardHelpOptions = true,
        description = {
            "Replays recorded runs in the order of the file and predicts each of them before its outcome is used.",
            "Each line is a JSON object with kind, team, cores, expect_s, machine, ran_s and cut, which is true for runs that were stopped, lost or failed."
        })
final class ReplayCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    static int execute(String[] args) {
        return CommandRunner.execute(new ReplayCommand(), args);
    }

    @Override
    public Integer call() {
        List<PredictionEvaluation.Run> runs = readRuns(file);
        System.out.println(
                "| of | runs | inside 10-90 % | band, times | median error | owner's estimate | running mean | last run |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        new PredictionEvaluation()
                .evaluate(runs)
                .forEach((group, score) -> System.out.printf(
                        Locale.ROOT,
                        "| %s | %d | %.2f | %.1f | %.2f | %.2f | %.2f | %.2f |%n",
                        group,
                        score.runs(),
                        score.coverage(),
                        score.medianWidth(),
                        score.medianErrors().estimate(),
                        score.medianErrors().ownerEstimate(),
                        score.medianErrors().runningMean(),
                        score.medianErrors().lastRun()));
        return CommandRunner.EXIT_OK;
    }

    /** Reads one run from each line that isn't blank; a job's fields that the line doesn't contain get fixed values. */
    static List<PredictionEvaluation.Run> readRuns(Path file) {
        List<PredictionEvaluation.Run> runs = new ArrayList<>();
        List<String> lines;
        try {
            lines = Files.readAllLines(file);
        } catch (IOException e) {
            throw new ConfigException(file + ": can't be read: " + e.getMessage());
        }
        JsonMapper mapper = new JsonMapper();
        for (int i = 0; i < lines.size(); i++) {
            if (lines.get(i).isBlank()) {
                continue;
            }
            try {
                JsonNode run = mapper.readTree(lines.get(i));
                if (!run.path("ran_s").isNumber() || !run.path("expect_s").isNumber()) {
                    throw new ConfigException(file + ": line " + (i + 1) + ": ran_s and expect_s must be numbers");
                }
                ObjectNode job = Codec.object()
                        .put("name_id", "req-1")
                        .put("jobkind", run.path("kind").asText(""))
                        .put("rank", "standard")
                        .put("shape", "batch")
                        .put("shards", 1)
                        .put("cores", run.path("cores").asDouble(1))
                        .put("gpus", 0.0)
                        .put("ram_gb", 1.0)
                        .put("together", false)
                        .put("spread", false)
                        .put("lendable", true)
                        .put("bundle", "any")
                        .put("pull_gb", 0.0)
                        .put("expect_s", run.path("expect_s").asDouble())
                        .put("bookmark_s", 0.0)
                        .put("stow_s", 0.0);
                if (run.path("team").isTextual()) {
                    job.put("owner", run.path("team").asText());
                }
                runs.add(new PredictionEvaluation.Run(
                        JobCodec.decode(job),
                        run.path("machine").asText("any"),
                        run.path("ran_s").asDouble(),
                        run.path("cut").asBoolean()));
            } catch (IOException | JobCodec.InvalidException e) {
                throw new ConfigException(file + ": line " + (i + 1) + ": " + e.getMessage());
            }
        }
        return runs;
    }
}
