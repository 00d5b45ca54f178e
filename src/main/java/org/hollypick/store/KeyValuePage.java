package org.hollypick.store;

import java.util.List;

/**
 * A part of the keys under a prefix, in the order of the keys.
 *
 * @param revision the store's revision when the page was read; unsigned
 * @param truncated whether keys after the last of these exist
 */
public record KeyValuePage(List<KeyValue> entries, long revision, boolean truncated) {}
