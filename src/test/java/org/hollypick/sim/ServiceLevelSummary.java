package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Reads reports of the operators' benchmark (its {@code --report}) and prints which share of the jobs met the
 * service-level objectives: for each class, by its strictest and its loosest objective; for each team, and for the
 * largest jobs of each class, the share that started. In variants of the benchmark that have a class for each team, a
 * class shows its team. Exits with 1 if any share by the loosest objective is below one half; missing a strict
 * objective only means low speed.
 */
public final class ServiceLevelSummary {
    private static final double MIN_SHARE = 0.5;

    private ServiceLevelSummary() {}

    /** Prints a line for each class and team of each report, and the worst share. */
    public static void main(String[] files) throws IOException {
        double worst = 1;
        for (String file : files) {
            JsonNode report = new ObjectMapper().readTree(new File(file));
            String scenario = report.path("scenario").asText();
            for (Map.Entry<String, NavigableMap<Double, String>> entry :
                    objectivesByName(report).entrySet()) {
                print(scenario, entry.getKey(), entry.getValue());
                worst = Math.min(worst, entry.getValue().lastKey());
            }
        }
        System.out.printf(Locale.ROOT, "worst %.3f%n", worst);
        if (worst < MIN_SHARE) {
            System.exit(1);
        }
    }

    /** Descriptions of the objectives by class or team, and by the share of jobs that met them. */
    private static Map<String, NavigableMap<Double, String>> objectivesByName(JsonNode report) {
        Map<String, NavigableMap<Double, String>> objectives = new TreeMap<>();
        for (JsonNode objective : report.path("targets")) {
            if (isShareOfClass(objective)) {
                String description = objective.path("kind").asText() + " "
                        + objective.path("within_s").asText("");
                add(
                        objectives,
                        objective.path("class").asText(),
                        objective.path("value").asDouble(),
                        description);
            }
        }
        addStarted(objectives, "team ", report.path("teams"));
        addStarted(objectives, "largest ", report.path("largest"));
        return objectives;
    }

    private static boolean isShareOfClass(JsonNode objective) {
        return objective.has("class")
                && objective.path("better").asText().equals("high")
                && objective.path("value").isNumber();
    }

    private static void addStarted(
            Map<String, NavigableMap<Double, String>> objectives, String prefix, JsonNode groups) {
        groups.fields().forEachRemaining(group -> {
            double started = group.getValue().path("started").asDouble();
            int jobs = Math.max(1, group.getValue().path("jobs").asInt());
            add(objectives, prefix + group.getKey(), started / jobs, "started");
        });
    }

    private static void add(
            Map<String, NavigableMap<Double, String>> objectives, String name, double share, String description) {
        objectives.computeIfAbsent(name, key -> new TreeMap<>()).put(share, description);
    }

    private static void print(String scenario, String name, NavigableMap<Double, String> objectives) {
        Map.Entry<Double, String> strictest = objectives.firstEntry();
        Map.Entry<Double, String> loosest = objectives.lastEntry();
        System.out.printf(
                Locale.ROOT,
                "%s %s %.3f (%s) to %.3f (%s)%s%n",
                scenario,
                name,
                strictest.getKey(),
                strictest.getValue().trim(),
                loosest.getKey(),
                loosest.getValue().trim(),
                loosest.getKey() < MIN_SHARE ? " UNDER HALF" : "");
    }
}
