/**
 * The command line: {@link org.hollypick.cli.Main} starts a controller with its event loop and HTTP server. The other
 * commands submit and cancel task graphs, print completion estimates and evaluate the run time estimator on recorded
 * runs.
 */
package org.hollypick.cli;
