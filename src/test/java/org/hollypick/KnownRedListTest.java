package org.hollypick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Checks that the build excludes exactly the tests listed in KNOWN-RED.txt: a tag alone would hide a failing test. */
class KnownRedListTest {
    /** Contains no tests; the tagged method is there for the search to find. */
    static final class Tagged {
        @Tag(KnownRedList.TAG)
        void red() {}

        void green() {}
    }

    private static List<KnownRedList.Entry> listOf(String test, String selector) {
        return KnownRedList.parse(List.of("test: " + test + "; command: mvn -B test -Dexcluded.tags= -Dtest=" + selector
                + "; seed: none; seen: 2 where 1 is right; issue: Some issue"));
    }

    @Test
    void buildExcludesExactlyTheListedTests() throws IOException {
        JavaClasses classes = new ClassFileImporter()
                .withImportOption(location -> !location.contains("KnownRedListTest"))
                .importPackages("org.hollypick");
        assertEquals(
                List.of(),
                KnownRedList.differences(
                        KnownRedList.taggedTests(classes), KnownRedList.read(Path.of("KNOWN-RED.txt"))));
    }

    @Test
    void taggedTestsAreFound() {
        assertEquals(
                Set.of("Tagged.red"), KnownRedList.taggedTests(new ClassFileImporter().importClasses(Tagged.class)));
    }

    @Test
    void taggedTestThatIsNotListedIsReported() {
        assertEquals(
                List.of("tagged but not listed: Tagged.red"),
                KnownRedList.differences(Set.of("Tagged.red"), List.of()));
    }

    @Test
    void listedTestThatIsNotTaggedIsReported() {
        assertEquals(
                List.of("listed but not tagged: SomeTest.red"),
                KnownRedList.differences(Set.of(), listOf("SomeTest.red", "SomeTest#red")));
    }

    @Test
    void commandThatRunsAnotherTestIsReported() {
        Set<String> tagged = Set.of("SomeTest.red");
        assertEquals(List.of(), KnownRedList.differences(tagged, listOf("SomeTest.red", "SomeTest#red")));
        assertEquals(
                List.of("its command doesn't run it: SomeTest.red"),
                KnownRedList.differences(tagged, listOf("SomeTest.red", "OtherTest#red")));
    }

    @Test
    void lineThatLacksAFieldIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> KnownRedList.parse(List.of("test: SomeTest.red; seed: 1")));
    }
}
