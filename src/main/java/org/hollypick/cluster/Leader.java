package org.hollypick.cluster;

/**
 * A leader as a leader record names it.
 *
 * @param controller the name of the leading controller
 * @param memberRevision the revision of its member key, which identifies the incarnation that leads
 * @param token its fencing token: the revision of the leader record
 */
public record Leader(String controller, long memberRevision, long token) {}
