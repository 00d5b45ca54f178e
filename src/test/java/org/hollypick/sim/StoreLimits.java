package org.hollypick.sim;

/**
 * The limits of the key-value store.
 *
 * @param valueBytes the maximum size of a value
 * @param transactionOperations the maximum number of operations in a transaction
 * @param changesPerSecond the maximum rate of puts and deletes
 */
record StoreLimits(int valueBytes, int transactionOperations, double changesPerSecond) {}
