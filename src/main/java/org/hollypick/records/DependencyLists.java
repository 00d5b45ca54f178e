package org.hollypick.records;

import java.util.List;

/**
 * The dependencies of a job that its own record has no room for: lists of job ids, each in a record of its own.
 *
 * @param keyPrefix the common beginning of their keys
 */
public record DependencyLists(String keyPrefix, List<List<String>> lists) {
    /** The key of a list, by its number. */
    public String key(int number) {
        return key(keyPrefix, number);
    }

    static String key(String keyPrefix, int number) {
        return keyPrefix + "/" + number;
    }
}
