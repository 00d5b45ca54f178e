package org.hollypick.core.balancing;

import java.util.HashMap;
import java.util.Map;
import org.hollypick.config.constants.RelayConstants;

/**
 * Spreads the agents' heartbeats over the controllers. Knows which controller each machine sends its heartbeats to, and
 * redirects machines of a controller that has far more than its share: a few a second, since each redirect costs a
 * heartbeat. The leader, which also schedules, gets a smaller share than the others. All times are milliseconds of the
 * event loop's clock. Used by the leader only; confined to the event loop.
 */
public final class HeartbeatBalancer {
    private final String leader;
    /** The controller that received a machine's last heartbeat, by machine id. */
    private final Map<String, String> controllerOfMachine = new HashMap<>();

    /** Machines by the controller that received their last heartbeat. */
    private final Map<String, Integer> machineCounts = new HashMap<>();
    /** When each controller was last known to relay heartbeats. */
    private final Map<String, Long> relayedAtMillis = new HashMap<>();

    /** Redirects that may be given now: a token bucket that is refilled when a controller has too many machines. */
    private double redirectBudget;

    private long budgetRefilledAtMillis;

    /**
     * Starts without machines.
     *
     * @param leader the name of this controller
     */
    public HeartbeatBalancer(String leader, long nowMillis) {
        this.leader = leader;
        this.budgetRefilledAtMillis = nowMillis;
    }

    /** Records that a controller relays heartbeats, whether or not it has a machine. */
    public void recordRelay(String controller, long nowMillis) {
        relayedAtMillis.put(controller, nowMillis);
    }

    /** Records that a machine's heartbeat arrived through a controller. */
    public void heartbeatReceived(String machineId, String controller, long nowMillis) {
        relayedAtMillis.put(controller, nowMillis);
        String previous = controllerOfMachine.put(machineId, controller);
        if (!controller.equals(previous)) {
            if (previous != null) {
                machineCounts.merge(previous, -1, Integer::sum);
            }
            machineCounts.merge(controller, 1, Integer::sum);
        }
    }

    /** Forgets a terminated machine. */
    public void removeMachine(String machineId) {
        String previous = controllerOfMachine.remove(machineId);
        if (previous != null) {
            machineCounts.merge(previous, -1, Integer::sum);
        }
    }

    /** The number of machines whose last heartbeat arrived through this controller. */
    public int machineCount(String controller) {
        return machineCounts.getOrDefault(controller, 0);
    }

    /**
     * Chooses where a machine whose heartbeat just arrived through {@code controller} has to send the next ones. A
     * redirect counts against the redirects of this second.
     *
     * @return null if it stays with its controller
     */
    public String redirectFrom(String controller, long nowMillis) {
        double totalWeight = weight(leader);
        int totalMachines = machineCount(leader);
        for (String other : relayedAtMillis.keySet()) {
            if (!other.equals(leader) && relays(other, nowMillis)) {
                totalWeight += 1;
                totalMachines += machineCount(other);
            }
        }
        double machinesPerWeight = totalMachines / totalWeight;
        if (!isOverloaded(controller, machinesPerWeight)) {
            return null;
        }
        String target = leastLoadedExcept(controller, machinesPerWeight, nowMillis);
        refillBudget(totalMachines, nowMillis);
        if (target == null || redirectBudget < 1) {
            return null;
        }
        redirectBudget--;
        return target;
    }

    private double weight(String controller) {
        return controller.equals(leader) ? RelayConstants.LEADER_HEARTBEAT_SHARE : 1;
    }

    private boolean relays(String controller, long nowMillis) {
        return nowMillis - relayedAtMillis.get(controller) < RelayConstants.RELAY_ALIVE_MS;
    }

    private boolean isOverloaded(String controller, double machinesPerWeight) {
        return machineCount(controller)
                > machinesPerWeight * weight(controller) * RelayConstants.UNBALANCED_RATIO
                        + RelayConstants.UNBALANCED_MACHINES;
    }

    /** The other controller that is furthest below its share, or null if none is below it. */
    private String leastLoadedExcept(String controller, double machinesPerWeight, long nowMillis) {
        String leastLoaded = null;
        double lowestLoad = 1;
        for (String other : relayedAtMillis.keySet()) {
            double load = machineCount(other) / Math.max(1, machinesPerWeight * weight(other));
            if (!other.equals(controller) && load < lowestLoad && relays(other, nowMillis)) {
                leastLoaded = other;
                lowestLoad = load;
            }
        }
        return leastLoaded;
    }

    private void refillBudget(int totalMachines, long nowMillis) {
        double redirectsPerSecond = Math.max(1, totalMachines * RelayConstants.REBALANCED_SHARE);
        double refill = redirectsPerSecond * (nowMillis - budgetRefilledAtMillis) / 1000.0;
        redirectBudget = Math.min(redirectsPerSecond, redirectBudget + refill);
        budgetRefilledAtMillis = nowMillis;
    }
}
