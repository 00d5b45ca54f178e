package org.hollypick.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.hollypick.client.GraphSpec;
import org.hollypick.config.ConfigException;
import us.bpsm.edn.EdnException;
import us.bpsm.edn.Keyword;
import us.bpsm.edn.parser.Parser;
import us.bpsm.edn.parser.Parsers;

/**
 * Reads a graph from an EDN or JSON file. Its keys are the field names of the users' protocol; in EDN they are
 * keywords, in which hyphens may stand for underscores.
 */
final class GraphFile {
    private static final String JSON_SUFFIX = ".json";
    private static final int MAX_SHOWN_PROBLEMS = 20;

    private GraphFile() {}

    /**
     * Reads and validates a graph; fails with a {@link ConfigException} that lists up to {@link #MAX_SHOWN_PROBLEMS}
     * problems, each with its place in the graph.
     */
    static GraphSpec read(Path file) {
        JsonNode tree = parse(file);
        List<GraphSpec.Problem> problems = GraphSpec.check(tree);
        if (!problems.isEmpty()) {
            throw new ConfigException(describeProblems(file, problems));
        }
        return GraphSpec.of(tree);
    }

    private static JsonNode parse(Path file) {
        try {
            String text = Files.readString(file);
            return file.toString().endsWith(JSON_SUFFIX) ? parseJson(file, text) : parseEdn(file, text);
        } catch (IOException e) {
            throw new ConfigException(file + ": can't be read: " + e.getMessage());
        }
    }

    private static String describeProblems(Path file, List<GraphSpec.Problem> problems) {
        String shown = problems.stream()
                .limit(MAX_SHOWN_PROBLEMS)
                .map(problem -> file + ": " + problem)
                .collect(Collectors.joining("\n"));
        int hidden = problems.size() - MAX_SHOWN_PROBLEMS;
        return hidden > 0 ? shown + "\nand " + hidden + " more problems" : shown;
    }

    private static JsonNode parseJson(Path file, String text) {
        try {
            return new JsonMapper().readTree(text);
        } catch (JsonProcessingException e) {
            throw new ConfigException(file + ": line " + e.getLocation().getLineNr() + ", column "
                    + e.getLocation().getColumnNr() + ": " + e.getOriginalMessage());
        }
    }

    private static JsonNode parseEdn(Path file, String text) {
        try {
            Object value = Parsers.newParser(Parsers.defaultConfiguration()).nextValue(Parsers.newParseable(text));
            if (value == Parser.END_OF_INPUT) {
                throw new ConfigException(file + ": empty, expected an EDN map");
            }
            return toTree(value);
        } catch (EdnException e) {
            throw new ConfigException(file + ": not EDN: " + e.getMessage());
        }
    }

    private static JsonNode toTree(Object value) {
        JsonNodeFactory factory = JsonNodeFactory.instance;
        if (value instanceof Map<?, ?> map) {
            ObjectNode node = factory.objectNode();
            map.forEach((key, element) -> node.set(fieldName(key), toTree(element)));
            return node;
        }
        if (value instanceof Iterable<?> elements) {
            ArrayNode node = factory.arrayNode();
            elements.forEach(element -> node.add(toTree(element)));
            return node;
        }
        if (value instanceof Boolean flag) {
            return factory.booleanNode(flag);
        }
        if (value instanceof Long integer) {
            return factory.numberNode(integer);
        }
        if (value instanceof Number number) {
            return factory.numberNode(number.doubleValue());
        }
        if (value == null) {
            return factory.nullNode();
        }
        return factory.textNode(value instanceof Keyword keyword ? keyword.getName() : value.toString());
    }

    private static String fieldName(Object key) {
        return key instanceof Keyword keyword ? keyword.getName().replace('-', '_') : String.valueOf(key);
    }
}
