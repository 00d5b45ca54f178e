/**
 * Client of the consensus-backed key-value store: reads, conditional transactions, sessions and watches. Queues
 * requests within the share of the store's rate limits that this controller may use, and counts them for the log.
 */
package org.hollypick.store;
