package org.hollypick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.hollypick.config.ConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that graphs are read from EDN and JSON files, and that invalid ones are rejected before anything is sent. */
class GraphFileTest {
    @TempDir
    Path dir;

    private Path writeFile(String name, String text) throws IOException {
        return Files.writeString(dir.resolve(name), text);
    }

    private String rejectionMessage(String name, String text) throws IOException {
        Path file = writeFile(name, text);
        return assertThrows(ConfigException.class, () -> GraphFile.read(file)).getMessage();
    }

    @Test
    void ednAndJsonFilesYieldTheSameNodes() throws IOException {
        Path edn = writeFile(
                "g.edn",
                "{:name-id \"req-1\" :jobkind \"x\" :rank \"low\" :task {:cores 1.0 :ram-gb 2 :bundle \"i\"} :nodes [{:id \"a\"} {:id \"b\" :awaits [\"a\"]}]}");
        Path json = writeFile(
                "g.json",
                "{\"name_id\":\"req-1\",\"jobkind\":\"x\",\"rank\":\"low\",\"task\":{\"cores\":1.0,\"ram_gb\":2,\"bundle\":\"i\"},"
                        + "\"nodes\":[{\"id\":\"a\"},{\"id\":\"b\",\"awaits\":[\"a\"]}]}");
        assertEquals(Set.of("a", "b"), GraphFile.read(edn).nodeIds());
        assertEquals(GraphFile.read(edn).nodeIds(), GraphFile.read(json).nodeIds());
    }

    @Test
    void invalidFilesAreRejectedWithThePlaceOfEachProblem() throws IOException {
        assertTrue(rejectionMessage("a.json", "{\"name_id\":\n  oops}").contains("line 2, column"));
        assertTrue(rejectionMessage("a.edn", "{:name-id").contains("not EDN"));
        String message = rejectionMessage(
                "b.json",
                "{\"name_id\":\"x\",\"jobkind\":\"x\",\"rank\":\"low\",\"colour\":1,\"nodes\":[{\"id\":\"a\",\"cores\":1,\"ram_gb\":1,\"bundle\":\"i\"},"
                        + "{\"id\":\"a\",\"core\":2,\"awaits\":[\"z\"]}]}");
        for (String place : new String[] {
            "colour: unknown key",
            "name_id: must be",
            "nodes[1].id: \"a\" is nodes[0] already",
            "nodes[1].core: unknown key",
            "nodes[1].cores: missing",
            "nodes[1].awaits[0]: \"z\" is no node"
        }) {
            assertTrue(message.contains(place), place + " in " + message);
        }
        assertTrue(rejectionMessage(
                        "c.edn",
                        "{:name-id \"req-1\" :jobkind \"x\" :rank \"low\" :task {:cores 1 :ram-gb 1 :bundle \"i\"} :nodes [{:id \"a\" :awaits [\"b\"]} {:id \"b\" :awaits [\"a\"]}]}")
                .contains("nodes[0].awaits: a cycle"));
    }
}
