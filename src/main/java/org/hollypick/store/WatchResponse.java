package org.hollypick.store;

import java.util.List;

/**
 * The changes under a prefix after the requested revision, oldest first; none if nothing changed while the watch
 * waited.
 *
 * @param revision the revision up to which {@code changes} is complete; unsigned
 */
public record WatchResponse(List<KeyChange> changes, long revision) {}
