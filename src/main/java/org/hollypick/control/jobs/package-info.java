/**
 * Stores jobs and what a leader has to keep about them: the records of submitted and terminal jobs, completed tasks,
 * attained service and run time statistics. Cancels jobs on request or along with a dependency. Each write of a leader
 * is conditional on the leader record, its fencing token.
 */
package org.hollypick.control.jobs;
