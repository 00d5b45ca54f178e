package org.hollypick.store;

import java.util.List;

/**
 * One page of the keys under a prefix, in key order.
 *
 * @param revision the store's revision when the page was read; unsigned
 * @param truncated whether more keys follow the last one of this page
 */
public record KeyValuePage(List<KeyValue> entries, long revision, boolean truncated) {}
