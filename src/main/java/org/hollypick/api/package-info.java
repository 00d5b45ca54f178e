/**
 * The user API for jobs and task graphs, served by every controller: submission, status queries, estimates and
 * cancellation. A controller answers from its replica of the store where possible and forwards other requests to the
 * leader. Messages between controllers carry store revisions, so that no answer is older than an earlier one.
 */
package org.hollypick.api;
