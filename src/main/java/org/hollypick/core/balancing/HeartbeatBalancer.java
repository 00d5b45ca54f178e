package org.hollypick.core.balancing;

import java.util.HashMap;
import java.util.Map;
import org.hollypick.config.constants.RelayConstants;

/**
 * Balances the agents' heartbeats over the controllers. Tracks which controller each machine sends its heartbeats to,
 * and redirects machines away from a controller that has far more than its share. Redirects are limited to a few per
 * second, since each costs a heartbeat. The leader, which also schedules, gets a smaller share than the others. Times
 * are milliseconds of the event loop's clock. Used by the leader only; confined to the event loop.
 */
public final class HeartbeatBalancer {
    private final String leader;
    /** The controller that received a machine's last heartbeat, by machine id. */
    private final Map<String, String> controllerOfMachine = new HashMap<>();

    /** The number of machines whose last heartbeat each controller received. */
    private final Map<String, Integer> machineCounts = new HashMap<>();
    /** When each controller was last known to relay heartbeats. */
    private final Map<String, Long> relayedAtMillis = new HashMap<>();

    /** Tokens of the bucket that limits redirects; refilled whenever a controller has too many machines. */
    private double redirectBudget;

    private long budgetRefilledAtMillis;

    /**
     * Creates a balancer without machines.
     *
     * @param leader the name of this controller, the leader
     */
    public HeartbeatBalancer(String leader, long nowMillis) {
        this.leader = leader;
        this.budgetRefilledAtMillis = nowMillis;
    }

    /** Records that a controller relays heartbeats, whether or not any machine sends heartbeats to it. */
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

    /** Removes a terminated machine. */
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
     * Chooses the controller to which a machine should send its next heartbeats, after one arrived through
     * {@code controller}. A redirect takes a token from the bucket.
     *
     * @return null if the machine isn't redirected
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
        return controller.equals(leader) ? RelayConstants.LEADER_HEARTBEAT_WEIGHT : 1;
    }

    private boolean relays(String controller, long nowMillis) {
        return nowMillis - relayedAtMillis.get(controller) < RelayConstants.ACTIVE_RELAY_TIMEOUT_MS;
    }

    private boolean isOverloaded(String controller, double machinesPerWeight) {
        return machineCount(controller)
                > machinesPerWeight * weight(controller) * RelayConstants.OVERLOADED_CONTROLLER_RATIO
                        + RelayConstants.OVERLOADED_CONTROLLER_EXTRA_MACHINES;
    }

    /** The other controller with the lowest load relative to its share; null if none is below its share. */
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
        double redirectsPerSecond = Math.max(1, totalMachines * RelayConstants.MAX_REBALANCED_SHARE_PER_SECOND);
        double refill = redirectsPerSecond * (nowMillis - budgetRefilledAtMillis) / 1000.0;
        redirectBudget = Math.min(redirectsPerSecond, redirectBudget + refill);
        budgetRefilledAtMillis = nowMillis;
    }
}
