package org.hollypick.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.config.constants.RelayConstants;
import org.hollypick.core.balancing.HeartbeatBalancer;
import org.hollypick.io.ConnectionBudget;
import org.junit.jupiter.api.Test;

/**
 * What bounds the load of many machines: sockets by kind, calls under way, who reports where, and when a leader trusts
 * itself.
 */
class HealthTest {
    /**
     * Whatever is opened and closed as the rules allow, no kind is refused its floor, and all together stay under the
     * limit.
     */
    @Property(tries = 300, seed = "20261201")
    void everyConnectionKindCanUseItsReserve(@ForAll long seed, @ForAll @IntRange(min = 200, max = 5_000) int sockets) {
        Random random = new Random(seed);
        ConnectionBudget s = new ConnectionBudget(sockets);
        Map<ConnectionBudget.Kind, Integer> open = new HashMap<>();
        for (int i = 0; i < 4 * sockets; i++) {
            ConnectionBudget.Kind k = ConnectionBudget.Kind.values()[random.nextInt(4)];
            if (random.nextInt(5) == 0 && open.getOrDefault(k, 0) > 0) {
                s.closed(k);
                open.merge(k, -1, Integer::sum);
            } else if (s.hasRoom(k)) {
                s.opened(k);
                open.merge(k, 1, Integer::sum);
            }
            assertTrue(open.values().stream().mapToInt(n -> n).sum() <= sockets);
            assertFalse(s.isCrowded(k), "what had room isn't too much");
        }
        for (ConnectionBudget.Kind k : ConnectionBudget.Kind.values()) {
            while (open.getOrDefault(k, 0) > 0) {
                s.closed(k);
                open.merge(k, -1, Integer::sum);
            }
            for (int i = 0; i < sockets * NetworkConstants.CONTROL_SOCKET_SHARE; i++) {
                assertTrue(s.hasRoom(k), k + " is refused its floor");
                s.opened(k);
                open.merge(k, 1, Integer::sum);
            }
        }
    }

    /** Machines that follow their redirects end evenly spread, and then none is redirected any more: no ping-pong. */
    @Property(tries = 100, seed = "20261201")
    void redirectsBalanceTheMachinesAndThenStop(
            @ForAll long seed,
            @ForAll @IntRange(min = 3, max = 600) int machines,
            @ForAll @IntRange(min = 2, max = 5) int nodes) {
        Random random = new Random(seed);
        List<String> names = List.of("n0", "n1", "n2", "n3", "n4").subList(0, nodes);
        String[] at = new String[machines];
        for (int m = 0; m < machines; m++) {
            at[m] = names.get(random.nextInt(1 + random.nextInt(nodes)));
        }
        HeartbeatBalancer heartbeatBalancer = new HeartbeatBalancer("n0", 0);
        int moved = 0;
        for (long t = 0; t < 400_000; t += 1_000) {
            int before = moved;
            for (String n : names) {
                heartbeatBalancer.recordRelay(n, t);
            }
            for (int m = 0; m < machines; m++) {
                heartbeatBalancer.heartbeatReceived("m" + m, at[m], t);
                String to = heartbeatBalancer.redirectFrom(at[m], t);
                if (to != null) {
                    at[m] = to;
                    moved++;
                }
            }
            assertTrue(moved - before <= Math.max(1, machines * RelayConstants.REBALANCED_SHARE) + 1, "few at a time");
            assertTrue(t < 300_000 || moved == before, "it has settled");
        }
        assertTrue(moved <= machines, "no machine moves again and again");
        int total = names.stream().mapToInt(heartbeatBalancer::machineCount).sum();
        assertEquals(machines, total);
        for (String n : names) {
            double target = machines
                    / (nodes - 1 + RelayConstants.LEADER_HEARTBEAT_SHARE)
                    * (n.equals("n0") ? RelayConstants.LEADER_HEARTBEAT_SHARE : 1);
            assertTrue(
                    heartbeatBalancer.machineCount(n)
                            <= target * RelayConstants.UNBALANCED_RATIO + RelayConstants.UNBALANCED_MACHINES,
                    n + " has " + heartbeatBalancer.machineCount(n) + " of " + machines);
        }
    }

    /** No machine is redirected to a controller that no longer relays heartbeats. */
    @Test
    void noMachineIsRedirectedToAControllerThatStoppedRelaying() {
        HeartbeatBalancer heartbeatBalancer = new HeartbeatBalancer("a", 0);
        for (int m = 0; m < 100; m++) {
            heartbeatBalancer.heartbeatReceived("m" + m, "a", 0);
        }
        assertEquals(null, heartbeatBalancer.redirectFrom("a", 5_000));
        heartbeatBalancer.recordRelay("b", 5_000);
        assertEquals("b", heartbeatBalancer.redirectFrom("a", 6_000));
        assertEquals(null, heartbeatBalancer.redirectFrom("a", 5_001 + RelayConstants.RELAY_ALIVE_MS));
    }

    @Test
    void slowResponsesHalveTheWindowAtMostOncePerInterval() {
        AdaptiveWindow probeWindow = new AdaptiveWindow();
        for (int i = 0; i < 50; i++) {
            probeWindow.recordResponse(FailureDetectionConstants.SLOW_CALL_MS + 1, 1_000);
        }
        assertEquals(FailureDetectionConstants.MAX_DIRECT_CALLS / 2, probeWindow.size());
        for (int i = 0; i < 20; i++) {
            probeWindow.recordResponse(
                    FailureDetectionConstants.SLOW_CALL_MS + 1,
                    2_000 + i * FailureDetectionConstants.ADAPTIVE_WINDOW_MS);
        }
        assertEquals(FailureDetectionConstants.MIN_DIRECT_CALLS, probeWindow.size());
        for (int i = 0; i < 10_000; i++) {
            probeWindow.recordResponse(10, 60_000);
        }
        assertEquals(FailureDetectionConstants.MAX_DIRECT_CALLS, probeWindow.size());
    }

    /** One slow machine among many says nothing about this controller; many do, and for a while after. */
    @Test
    void manySlowResponsesMakeThisControllerUnhealthy() {
        LocalHealth own = new LocalHealth(0);
        assertFalse(own.isHealthy(1_000), "just begun");
        assertTrue(own.isHealthy(FailureDetectionConstants.FAILOVER_GRACE_MS));
        for (int i = 0; i < 100; i++) {
            own.recordResponse(i % 10 == 0 ? 900 : 20, 5_000);
        }
        assertTrue(own.isHealthy(5_000));
        for (int i = 0; i < 100; i++) {
            own.recordResponse(i % 2 == 0 ? 900 : 20, 8_000);
        }
        assertFalse(own.isHealthy(8_000 + FailureDetectionConstants.FAILOVER_GRACE_MS - 1));
        assertTrue(own.isHealthy(8_000 + FailureDetectionConstants.FAILOVER_GRACE_MS));
        own.markDegraded(20_000);
        assertFalse(own.isHealthy(20_001), "a gap, or a call not sent");
    }
}
