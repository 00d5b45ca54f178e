/** The choice of a machine for a task: placement constraints, scores, and preemption of tasks with a lower priority. */
package org.hollypick.core.placement;
