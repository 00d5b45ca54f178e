package org.hollypick.cluster;

/**
 * The stored record that says who leads. The leader is valid only while its member key exists at the revision named
 * here; the record's own revision is the leader's fencing token.
 *
 * @param leader the name of the leading controller
 * @param memberRevision the revision of the leader's member key, which identifies its incarnation
 * @param term how many times the record was written, this write included
 * @param limitsHash the team limits that all leaders so far have enforced, as a hash; empty if they did not all enforce
 *     the same ones
 */
record LeaderRecord(String leader, long memberRevision, long term, String limitsHash) {
    /** The {@code limitsHash} of a record whose leaders did not all enforce the same limits. */
    static final String NO_LIMITS_HASH = "";
}
