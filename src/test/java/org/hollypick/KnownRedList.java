package org.hollypick;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Tags;
import org.junit.jupiter.api.Test;

/**
 * Reads KNOWN-RED.txt, the list of tests that fail because of a known fault, and compares it with the tests whose tag
 * excludes them from the build.
 */
final class KnownRedList {
    /** The tag of the tests that the build excludes, as configured in pom.xml. */
    static final String TAG = "known-red";

    private static final Pattern ENTRY =
            Pattern.compile("test: (\\S+); command: (.+); seed: (.+); seen: (.+); issue: (.+)");

    /**
     * An entry of the list.
     *
     * @param test class and method, as in {@code SomeTest.someMethod}
     * @param command the complete command that runs only this test
     */
    record Entry(String test, String command) {
        /** Whether the command runs this test, in spite of its tag. */
        boolean commandRunsTest() {
            return command.contains("-Dexcluded.tags= ") && command.contains("-Dtest=" + test.replace('.', '#'));
        }
    }

    private KnownRedList() {}

    /** Reads the list; returns an empty list if the file does not exist. */
    static List<Entry> read(Path file) throws IOException {
        return Files.exists(file) ? parse(Files.readAllLines(file)) : List.of();
    }

    /** Parses one entry per line, ignoring blank lines. */
    static List<Entry> parse(List<String> lines) {
        List<Entry> entries = new ArrayList<>();
        for (String line : lines) {
            if (line.isBlank()) {
                continue;
            }
            Matcher matcher = ENTRY.matcher(line);
            if (!matcher.matches()) {
                throw new IllegalArgumentException("malformed entry in KNOWN-RED.txt: " + line);
            }
            entries.add(new Entry(matcher.group(1), matcher.group(2)));
        }
        return entries;
    }

    /** The names of the tests that carry the tag, on the method or on the class. */
    static Set<String> taggedTests(JavaClasses classes) {
        Set<String> tagged = new TreeSet<>();
        for (JavaClass type : classes) {
            for (JavaMethod method : type.getMethods()) {
                boolean isTaggedTest = isTagged(type) && method.isAnnotatedWith(Test.class);
                if (isTaggedTest || isTagged(method)) {
                    tagged.add(type.getSimpleName() + "." + method.getName());
                }
            }
        }
        return tagged;
    }

    private static boolean isTagged(JavaClass type) {
        return type.tryGetAnnotationOfType(Tag.class)
                        .map(KnownRedList::isKnownRed)
                        .orElse(false)
                || type.tryGetAnnotationOfType(Tags.class)
                        .map(KnownRedList::isKnownRed)
                        .orElse(false);
    }

    private static boolean isTagged(JavaMethod method) {
        return method.tryGetAnnotationOfType(Tag.class)
                        .map(KnownRedList::isKnownRed)
                        .orElse(false)
                || method.tryGetAnnotationOfType(Tags.class)
                        .map(KnownRedList::isKnownRed)
                        .orElse(false);
    }

    private static boolean isKnownRed(Tag tag) {
        return tag.value().equals(TAG);
    }

    private static boolean isKnownRed(Tags tags) {
        for (Tag tag : tags.value()) {
            if (isKnownRed(tag)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Describes each mismatch between the tagged and the listed tests; empty if the build excludes exactly the listed.
     */
    static List<String> differences(Set<String> tagged, List<Entry> entries) {
        List<String> differences = new ArrayList<>();
        Set<String> listed = new HashSet<>();
        for (Entry entry : entries) {
            if (!listed.add(entry.test())) {
                differences.add("listed twice: " + entry.test());
            }
            if (!tagged.contains(entry.test())) {
                differences.add("listed but not tagged: " + entry.test());
            }
            if (!entry.commandRunsTest()) {
                differences.add("its command doesn't run it: " + entry.test());
            }
        }
        for (String test : tagged) {
            if (!listed.contains(test)) {
                differences.add("tagged but not listed: " + test);
            }
        }
        return differences;
    }
}
