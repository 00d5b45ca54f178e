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
import org.hollypick.client.GraphSpec;
import org.hollypick.config.ConfigException;
import us.bpsm.edn.EdnException;
import us.bpsm.edn.Keyword;
import us.bpsm.edn.parser.Parser;
import us.bpsm.edn.parser.Parsers;

/** A graph in a file, EDN or JSON: the wire's names, in EDN as keywords with hyphens or underscores. */
final class GraphFile {
    private GraphFile() {}

    /** The graph, if nothing is wrong with it; else an exception that names every place. */
    static GraphSpec read(Path file) {
        JsonNode tree;
        try {
            String text = Files.readString(file);
            tree = file.toString().endsWith(".json") ? json(file, text) : edn(file, text);
        } catch (IOException e) {
            throw new ConfigException(file + ": can't be read: " + e.getMessage());
        }
        List<GraphSpec.Problem> problems = GraphSpec.check(tree);
        if (!problems.isEmpty()) {
            StringBuilder all = new StringBuilder();
            problems.stream()
                    .limit(20)
                    .forEach(p -> all.append(all.isEmpty() ? "" : "\n")
                            .append(file)
                            .append(": ")
                            .append(p));
            throw new ConfigException(all + (problems.size() > 20 ? "\nand " + (problems.size() - 20) + " more" : ""));
        }
        return GraphSpec.of(tree);
    }

    private static JsonNode json(Path file, String text) {
        try {
            return new JsonMapper().readTree(text);
        } catch (JsonProcessingException e) {
            throw new ConfigException(file + ": line " + e.getLocation().getLineNr() + ", column "
                    + e.getLocation().getColumnNr() + ": " + e.getOriginalMessage());
        }
    }

    private static JsonNode edn(Path file, String text) {
        try {
            Object value = Parsers.newParser(Parsers.defaultConfiguration()).nextValue(Parsers.newParseable(text));
            if (value == Parser.END_OF_INPUT) {
                throw new ConfigException(file + ": empty");
            }
            return tree(value);
        } catch (EdnException e) {
            throw new ConfigException(file + ": not EDN: " + e.getMessage());
        }
    }

    private static JsonNode tree(Object value) {
        JsonNodeFactory make = JsonNodeFactory.instance;
        if (value instanceof Map<?, ?> map) {
            ObjectNode node = make.objectNode();
            map.forEach((k, v) ->
                    node.set(k instanceof Keyword key ? key.getName().replace('-', '_') : String.valueOf(k), tree(v)));
            return node;
        }
        if (value instanceof Iterable<?> list) {
            ArrayNode node = make.arrayNode();
            list.forEach(v -> node.add(tree(v)));
            return node;
        }
        if (value instanceof Boolean b) {
            return make.booleanNode(b);
        }
        if (value instanceof Long n) {
            return make.numberNode(n);
        }
        if (value instanceof Number n) {
            return make.numberNode(n.doubleValue());
        }
        return value == null
                ? make.nullNode()
                : make.textNode(value instanceof Keyword key ? key.getName() : value.toString());
    }
}
