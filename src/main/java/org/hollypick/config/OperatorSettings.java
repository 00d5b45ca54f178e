package org.hollypick.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.config.constants.GraphConstants;
import org.hollypick.config.constants.SchedulingConstants;
import us.bpsm.edn.EdnException;
import us.bpsm.edn.Keyword;
import us.bpsm.edn.parser.Parseable;
import us.bpsm.edn.parser.Parser;
import us.bpsm.edn.parser.Parsers;

/** The operators' own, optional settings: one EDN map such as {@code {:idle-s 45 :warm-cores 4}}. */
public record OperatorSettings(
        long idleMs, double warmCores, double firstShare, boolean graphs, long graphKeepMs, boolean estimates) {
    public static OperatorSettings defaults() {
        return new OperatorSettings(
                AutoscalingConstants.IDLE_SPOT_MS,
                AutoscalingConstants.STANDBY_CORES,
                SchedulingConstants.FIRST_PARTITION_SHARE,
                false,
                (long) (GraphConstants.GRAPH_RETENTION_S * 1000),
                false);
    }

    public static OperatorSettings read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new ConfigException("operator settings: can't read " + file + ": " + e.getMessage());
        }
    }

    public static OperatorSettings parse(String text) {
        Object value;
        try {
            Parseable source = Parsers.newParseable(text);
            Parser parser = Parsers.newParser(Parsers.defaultConfiguration());
            value = parser.nextValue(source);
            if (value != Parser.END_OF_INPUT && parser.nextValue(source) != Parser.END_OF_INPUT) {
                throw new ConfigException("operator settings: more than one form");
            }
        } catch (EdnException e) {
            throw new ConfigException("operator settings: not EDN: " + e.getMessage());
        }
        if (!(value instanceof Map<?, ?> map)) {
            throw new ConfigException("operator settings: not a map");
        }
        OperatorSettings d = defaults();
        long idle = d.idleMs;
        double warm = d.warmCores;
        double first = d.firstShare;
        boolean graphs = d.graphs;
        long keep = d.graphKeepMs;
        boolean estimates = d.estimates;
        for (Map.Entry<?, ?> e : map.entrySet()) {
            String key = e.getKey() instanceof Keyword k ? k.getName() : String.valueOf(e.getKey());
            switch (key) {
                case "idle-s" -> idle = (long) (number(key, e.getValue(), 0, 86_400) * 1000);
                case "warm-cores" -> warm = number(key, e.getValue(), 0, 10_000);
                case "first-share" -> first = number(key, e.getValue(), 0, 1);
                case "graphs" -> graphs = flag(key, e.getValue());
                case "graph-keep-s" -> keep = (long) (number(key, e.getValue(), 0, 30 * 86_400) * 1000);
                case "estimates" -> estimates = flag(key, e.getValue());
                default -> throw new ConfigException("operator settings: unknown key :" + key);
            }
        }
        return new OperatorSettings(idle, warm, first, graphs, keep, estimates);
    }

    private static boolean flag(String key, Object value) {
        if (value instanceof Boolean b) {
            return b;
        }
        throw new ConfigException("operator settings: :" + key + " must be true or false");
    }

    private static double number(String key, Object value, double low, double high) {
        if (value instanceof Number n && n.doubleValue() >= low && n.doubleValue() <= high) {
            return n.doubleValue();
        }
        throw new ConfigException("operator settings: :" + key + " must be a number from " + low + " to " + high);
    }
}
