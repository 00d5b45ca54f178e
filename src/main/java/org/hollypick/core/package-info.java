/**
 * The scheduler of a leader's term: its jobs, machines and task assignments, and the decisions about them. The code
 * here performs no I/O and is confined to the event loop; {@link org.hollypick.core.SchedulerOutbox} collects the
 * effects that other packages carry out.
 */
package org.hollypick.core;
