/**
 * The demotion policy of the Tyrex scheduler: jobs whose attained service exceeds a computed cutoff move to the second
 * queue partition, so that large jobs don't delay small ones.
 */
package org.hollypick.core.tyrex;
