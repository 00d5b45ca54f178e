/**
 * Predictions of run times and of completion times. {@link org.hollypick.core.estimate.Estimates} learns the run times
 * of tasks from completed and interrupted runs; {@link org.hollypick.core.estimate.CompletionEstimate} simulates when a
 * job will be complete. Predictions are intervals of 10 %, 50 % and 90 % quantiles.
 */
package org.hollypick.core.estimate;
