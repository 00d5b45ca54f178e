package org.hollypick.control;

import java.util.Map;
import java.util.function.BooleanSupplier;
import org.hollypick.config.Settings;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.io.EventLoop;

/**
 * The objects that the components of one leader term share. Confined to the event loop.
 *
 * @param machineTypes the cloud's machine types by name; refreshed in place
 * @param leaderLeaseHeld whether this controller holds the leader lease of the term now
 * @param reconcileRequest requests a reconciliation after a short delay; requests that come close together share one
 */
public record TermContext(
        EventLoop eventLoop,
        Settings settings,
        Scheduler scheduler,
        Map<String, MachineType> machineTypes,
        BooleanSupplier leaderLeaseHeld,
        Runnable reconcileRequest) {
    /** The event loop's clock, in milliseconds. */
    public long now() {
        return eventLoop.now();
    }

    /** Whether this controller may act for the term now. */
    public boolean holdsLeaderLease() {
        return leaderLeaseHeld.getAsBoolean();
    }

    /** Requests a reconciliation after a short delay, to act on a change. */
    public void requestReconcile() {
        reconcileRequest.run();
    }
}
