/**
 * Runs a leader's term under one fencing token. A term loads the durable records, follows their changes, and runs the
 * loop that schedules tasks, sends commands to agents and writes changes to the store. Its components are in the
 * subpackages; the scheduling decisions are made in {@code org.hollypick.core}.
 */
package org.hollypick.control;
