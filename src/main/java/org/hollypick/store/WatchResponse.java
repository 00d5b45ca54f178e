package org.hollypick.store;

import java.util.List;

/**
 * The changes under a prefix since the revision that was asked for, oldest first; none if nothing changed while the
 * watch waited.
 *
 * @param revision the revision up to which these are all changes; unsigned
 */
public record WatchResponse(List<KeyChange> changes, long revision) {}
