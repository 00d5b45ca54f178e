package org.hollypick.core.balancing;

import java.util.HashMap;
import java.util.Map;
import org.hollypick.config.constants.RelayConstants;

/**
 * Which controller each machine reports to, and whether it should go to another: only while shares are far from even,
 * and few at a time, since each move costs a report. The leader, which has everything else to do, takes a smaller part.
 * Pure; the leader's.
 */
public final class HeartbeatBalancer {
    private final String leader;
    /** Who reports where. */
    private final Map<String, String> via = new HashMap<>();

    private final Map<String, Integer> counts = new HashMap<>();
    /** When each controller last handed on a report. */
    private final Map<String, Long> seen = new HashMap<>();

    private double moves;
    private long movesAt;

    public HeartbeatBalancer(String leader, long now) {
        this.leader = leader;
        this.movesAt = now;
    }

    /** Another controller is there and hands on reports. */
    public void alive(String node, long now) {
        seen.put(node, now);
    }

    /** A report of that machine came through that controller. */
    public void reported(String machine, String node, long now) {
        seen.put(node, now);
        String before = via.put(machine, node);
        if (!node.equals(before)) {
            if (before != null) {
                counts.merge(before, -1, Integer::sum);
            }
            counts.merge(node, 1, Integer::sum);
        }
    }

    public void terminated(String machine) {
        String before = via.remove(machine);
        if (before != null) {
            counts.merge(before, -1, Integer::sum);
        }
    }

    public int count(String node) {
        return counts.getOrDefault(node, 0);
    }

    private static double weight(String node, String leader) {
        return node.equals(leader) ? RelayConstants.LEADER_HEARTBEAT_SHARE : 1;
    }

    /** Where the machine that just reported through {@code node} should report from now on, or null: where it does. */
    public String elsewhere(String node, long now) {
        double weights = weight(leader, leader);
        int total = count(leader);
        for (Map.Entry<String, Long> e : seen.entrySet()) {
            if (!e.getKey().equals(leader) && now - e.getValue() < RelayConstants.RELAY_ALIVE_MS) {
                weights += 1;
                total += count(e.getKey());
            }
        }
        double target = total / weights;
        if (count(node)
                <= target * weight(node, leader) * RelayConstants.UNBALANCED_RATIO
                        + RelayConstants.UNBALANCED_MACHINES) {
            return null;
        }
        String least = null;
        double filled = 1;
        for (Map.Entry<String, Long> e : seen.entrySet()) {
            double share = count(e.getKey()) / Math.max(1, target * weight(e.getKey(), leader));
            if (!e.getKey().equals(node) && share < filled && now - e.getValue() < RelayConstants.RELAY_ALIVE_MS) {
                least = e.getKey();
                filled = share;
            }
        }
        double rate = Math.max(1, total * RelayConstants.REBALANCED_SHARE);
        moves = Math.min(rate, moves + rate * (now - movesAt) / 1000.0);
        movesAt = now;
        if (least == null || moves < 1) {
            return null;
        }
        moves--;
        return least;
    }
}
