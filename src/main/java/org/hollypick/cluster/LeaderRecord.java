package org.hollypick.cluster;

/**
 * The stored record of the current leader. It is valid only while the leader's member key exists at
 * {@code memberRevision}; the revision of the record itself is the leader's fencing token.
 *
 * @param leader the name of the leading controller
 * @param memberRevision the revision of the leader's member key, which identifies its incarnation
 * @param term the number of times that the record was written, this write included
 * @param limitsHash a hash of the team limits if all leaders so far have enforced the same ones, else
 *     {@link #NO_LIMITS_HASH}
 */
record LeaderRecord(String leader, long memberRevision, long term, String limitsHash) {
    /** The {@code limitsHash} of a record whose leaders did not all enforce the same limits. */
    static final String NO_LIMITS_HASH = "";
}
