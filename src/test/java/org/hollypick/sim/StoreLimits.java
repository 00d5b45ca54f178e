package org.hollypick.sim;

/**
 * Limits of the key-value store.
 *
 * @param valueBytes bytes of a value
 * @param transactionOperations operations of a transaction
 * @param changesPerSecond keys changed a second
 */
record StoreLimits(int valueBytes, int transactionOperations, double changesPerSecond) {}
