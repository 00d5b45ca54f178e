package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads reports of the operators' bench (its {@code --report}) and prints what share of each class of jobs was served: by each of its aims the share that met
 * it, and the worst of all. A class of its own for each team (as variants have them) shows the team. Ends with 1 if any is under half.
 */
public final class Served {
    private Served() {}

    public static void main(String[] files) throws Exception {
        double worst = 1;
        for (String file : files) {
            JsonNode report = new ObjectMapper().readTree(new File(file));
            Map<String, Double> least = new TreeMap<>();
            Map<String, String> by = new TreeMap<>();
            for (JsonNode aim : report.path("targets")) {
                if (aim.has("class") && aim.path("better").asText().equals("high") && aim.path("value").isNumber()) {
                    String name = aim.path("class").asText();
                    double value = aim.path("value").asDouble();
                    if (value < least.getOrDefault(name, 2.0)) {
                        least.put(name, value);
                        by.put(name, aim.path("kind").asText() + " " + aim.path("within_s").asText(""));
                    }
                }
            }
            for (Map.Entry<String, Double> e : least.entrySet()) {
                System.out.printf(Locale.ROOT, "%s %s %.3f (%s)%n", report.path("scenario").asText(), e.getKey(), e.getValue(), by.get(e.getKey()).trim());
                worst = Math.min(worst, e.getValue());
            }
        }
        System.out.printf(Locale.ROOT, "worst %.3f%n", worst);
        if (worst < 0.5) {
            System.exit(1);
        }
    }
}
