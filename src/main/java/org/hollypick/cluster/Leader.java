package org.hollypick.cluster;

/**
 * The leader that a leader record names.
 *
 * @param controller the name of the leading controller
 * @param memberRevision the revision of the leader's member key, which identifies the leading incarnation
 * @param token the leader's fencing token: the revision of the leader record
 */
public record Leader(String controller, long memberRevision, long token) {}
