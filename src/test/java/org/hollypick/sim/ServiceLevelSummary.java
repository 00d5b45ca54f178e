package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads reports of the operators' bench (its {@code --report}) and prints what share of each class of jobs and team was
 * served: by the strictest and by the loosest of a class's aims, and of a team's jobs, and a class's largest ones,
 * those that started. A class of its own for each team (as variants have them) shows the team. Ends with 1 if any is
 * under half by the loosest: a strict one is a matter of speed.
 */
public final class ServiceLevelSummary {
    private ServiceLevelSummary() {}

    public static void main(String[] files) throws Exception {
        double worst = 1;
        for (String file : files) {
            JsonNode report = new ObjectMapper().readTree(new File(file));
            Map<String, TreeMap<Double, String>> shares = new TreeMap<>();
            for (JsonNode aim : report.path("targets")) {
                if (aim.has("class")
                        && aim.path("better").asText().equals("high")
                        && aim.path("value").isNumber()) {
                    String name = aim.path("class").asText();
                    shares.computeIfAbsent(name, n -> new TreeMap<>())
                            .put(
                                    aim.path("value").asDouble(),
                                    aim.path("kind").asText() + " "
                                            + aim.path("within_s").asText(""));
                }
            }
            report.path("teams")
                    .fields()
                    .forEachRemaining(t -> shares.computeIfAbsent("team " + t.getKey(), n -> new TreeMap<>())
                            .put(
                                    t.getValue().path("started").asDouble()
                                            / Math.max(
                                                    1, t.getValue().path("jobs").asInt()),
                                    "started"));
            report.path("largest")
                    .fields()
                    .forEachRemaining(t -> shares.computeIfAbsent("largest " + t.getKey(), n -> new TreeMap<>())
                            .put(
                                    t.getValue().path("started").asDouble()
                                            / Math.max(
                                                    1, t.getValue().path("jobs").asInt()),
                                    "started"));
            for (Map.Entry<String, TreeMap<Double, String>> e : shares.entrySet()) {
                Map.Entry<Double, String> strict = e.getValue().firstEntry();
                Map.Entry<Double, String> loose = e.getValue().lastEntry();
                System.out.printf(
                        Locale.ROOT,
                        "%s %s %.3f (%s) to %.3f (%s)%s%n",
                        report.path("scenario").asText(),
                        e.getKey(),
                        strict.getKey(),
                        strict.getValue().trim(),
                        loose.getKey(),
                        loose.getValue().trim(),
                        loose.getKey() < 0.5 ? " UNDER HALF" : "");
                worst = Math.min(worst, loose.getKey());
            }
        }
        System.out.printf(Locale.ROOT, "worst %.3f%n", worst);
        if (worst < 0.5) {
            System.exit(1);
        }
    }
}
