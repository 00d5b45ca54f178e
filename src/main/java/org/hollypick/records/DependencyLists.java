package org.hollypick.records;

import java.util.List;

/**
 * Dependencies of a job that don't fit into the job's own record: lists of job ids, each stored in a separate record.
 *
 * @param keyPrefix the common prefix of the keys of these records
 * @param lists the job ids in each record
 */
public record DependencyLists(String keyPrefix, List<List<String>> lists) {
    /** The key of the record of a list, by the list's index. */
    public String key(int index) {
        return key(keyPrefix, index);
    }

    static String key(String keyPrefix, int index) {
        return keyPrefix + "/" + index;
    }
}
