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

/**
 * The optional settings of the operators, read from one EDN map such as {@code {:idle-s 45 :warm-cores 4}}. Immutable.
 *
 * @param idleSpotTimeoutMs milliseconds for which an idle spot instance is kept
 * @param standbyCores minimum number of cores kept free for services in each zone
 * @param firstPartitionShare share of the machines in Tyrex's first partition
 * @param graphsEnabled whether task graphs are accepted
 * @param graphRetentionMs milliseconds for which the nodes and results of a terminal graph are kept
 * @param estimatesEnabled whether completion estimates are given
 */
public record OperatorSettings(
        long idleSpotTimeoutMs,
        double standbyCores,
        double firstPartitionShare,
        boolean graphsEnabled,
        long graphRetentionMs,
        boolean estimatesEnabled) {
    private static final double MAX_IDLE_S = 86_400;
    private static final double MAX_WARM_CORES = 10_000;
    private static final double MAX_GRAPH_RETENTION_S = 30 * 86_400;

    /** The settings that apply if the operators provide no file. */
    public static OperatorSettings defaults() {
        return new OperatorSettings(
                AutoscalingConstants.IDLE_SPOT_TIMEOUT_MS,
                AutoscalingConstants.MIN_STANDBY_CORES_PER_ZONE,
                SchedulingConstants.FIRST_PARTITION_SHARE,
                false,
                (long) (GraphConstants.DEFAULT_GRAPH_RETENTION_S * 1000),
                false);
    }

    /**
     * Reads the file.
     *
     * @throws ConfigException if the file can't be read or is invalid; the message names the invalid key
     */
    public static OperatorSettings read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new ConfigException("operator settings file " + file + " can't be read: " + e.getMessage());
        }
    }

    /**
     * Reads the text of a file.
     *
     * @throws ConfigException if the text isn't one EDN map of valid settings; the message names the invalid key
     */
    public static OperatorSettings parse(String text) {
        OperatorSettings settings = defaults();
        for (Map.Entry<?, ?> entry : parseMap(text).entrySet()) {
            String key = entry.getKey() instanceof Keyword keyword ? keyword.getName() : String.valueOf(entry.getKey());
            settings = settings.with(key, entry.getValue());
        }
        return settings;
    }

    private static Map<?, ?> parseMap(String text) {
        Object value;
        try {
            Parseable source = Parsers.newParseable(text);
            Parser parser = Parsers.newParser(Parsers.defaultConfiguration());
            value = parser.nextValue(source);
            if (value != Parser.END_OF_INPUT && parser.nextValue(source) != Parser.END_OF_INPUT) {
                throw new ConfigException("operator settings: more than one EDN form instead of a single map");
            }
        } catch (EdnException e) {
            throw new ConfigException("operator settings: not valid EDN: " + e.getMessage());
        }
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new ConfigException("operator settings: not an EDN map");
    }

    /** A copy of these settings with one changed. */
    private OperatorSettings with(String key, Object value) {
        return switch (key) {
            case "idle-s" ->
                new OperatorSettings(
                        millis(key, value, MAX_IDLE_S),
                        standbyCores,
                        firstPartitionShare,
                        graphsEnabled,
                        graphRetentionMs,
                        estimatesEnabled);
            case "warm-cores" ->
                new OperatorSettings(
                        idleSpotTimeoutMs,
                        number(key, value, MAX_WARM_CORES),
                        firstPartitionShare,
                        graphsEnabled,
                        graphRetentionMs,
                        estimatesEnabled);
            case "first-share" ->
                new OperatorSettings(
                        idleSpotTimeoutMs,
                        standbyCores,
                        number(key, value, 1),
                        graphsEnabled,
                        graphRetentionMs,
                        estimatesEnabled);
            case "graphs" ->
                new OperatorSettings(
                        idleSpotTimeoutMs,
                        standbyCores,
                        firstPartitionShare,
                        flag(key, value),
                        graphRetentionMs,
                        estimatesEnabled);
            case "graph-keep-s" ->
                new OperatorSettings(
                        idleSpotTimeoutMs,
                        standbyCores,
                        firstPartitionShare,
                        graphsEnabled,
                        millis(key, value, MAX_GRAPH_RETENTION_S),
                        estimatesEnabled);
            case "estimates" ->
                new OperatorSettings(
                        idleSpotTimeoutMs,
                        standbyCores,
                        firstPartitionShare,
                        graphsEnabled,
                        graphRetentionMs,
                        flag(key, value));
            default -> throw new ConfigException("operator settings: unknown key :" + key);
        };
    }

    private static boolean flag(String key, Object value) {
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw new ConfigException("operator settings: :" + key + " must be true or false, not " + value);
    }

    private static long millis(String key, Object seconds, double maxSeconds) {
        return (long) (number(key, seconds, maxSeconds) * 1000);
    }

    /** The value, which must be a number from 0 to {@code max}. */
    private static double number(String key, Object value, double max) {
        if (value instanceof Number number && number.doubleValue() >= 0 && number.doubleValue() <= max) {
            return number.doubleValue();
        }
        throw new ConfigException(
                "operator settings: :" + key + " must be a number from 0.0 to " + max + ", not " + value);
    }
}
