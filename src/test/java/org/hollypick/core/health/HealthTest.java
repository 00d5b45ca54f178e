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
 * Tests what bounds the load of many machines: connections by kind, direct calls in flight, the balance of heartbeats
 * over the controllers, and when a controller considers itself overloaded.
 */
class HealthTest {
    /**
     * Whichever connections are opened and closed within the budget, every kind can use its reserve, and the total
     * stays within the limit of sockets.
     */
    @Property(tries = 300, seed = "20261201")
    void everyConnectionKindCanUseItsReserve(@ForAll long seed, @ForAll @IntRange(min = 200, max = 5_000) int sockets) {
        Random random = new Random(seed);
        ConnectionBudget budget = new ConnectionBudget(sockets);
        Map<ConnectionBudget.Kind, Integer> open = new HashMap<>();
        for (int i = 0; i < 4 * sockets; i++) {
            ConnectionBudget.Kind kind = ConnectionBudget.Kind.values()[random.nextInt(4)];
            if (random.nextInt(5) == 0 && open.getOrDefault(kind, 0) > 0) {
                budget.closed(kind);
                open.merge(kind, -1, Integer::sum);
            } else if (budget.hasCapacity(kind)) {
                budget.opened(kind);
                open.merge(kind, 1, Integer::sum);
            }
            assertTrue(open.values().stream().mapToInt(count -> count).sum() <= sockets);
            assertFalse(
                    budget.shouldCloseAfterResponse(kind),
                    "a connection is closed after its response although its kind has capacity");
        }
        for (ConnectionBudget.Kind kind : ConnectionBudget.Kind.values()) {
            while (open.getOrDefault(kind, 0) > 0) {
                budget.closed(kind);
                open.merge(kind, -1, Integer::sum);
            }
            for (int i = 0; i < sockets * NetworkConstants.CONTROL_SOCKET_SHARE; i++) {
                assertTrue(budget.hasCapacity(kind), kind + " can't use its reserve");
                budget.opened(kind);
                open.merge(kind, 1, Integer::sum);
            }
        }
    }

    /** Machines that follow their redirects become balanced, after which none is redirected back and forth. */
    @Property(tries = 100, seed = "20261201")
    void redirectsBalanceTheMachinesAndThenStop(
            @ForAll long seed,
            @ForAll @IntRange(min = 3, max = 600) int machines,
            @ForAll @IntRange(min = 2, max = 5) int controllers) {
        Random random = new Random(seed);
        List<String> names = List.of("n0", "n1", "n2", "n3", "n4").subList(0, controllers);
        String[] controllerOf = new String[machines];
        for (int m = 0; m < machines; m++) {
            controllerOf[m] = names.get(random.nextInt(1 + random.nextInt(controllers)));
        }
        HeartbeatBalancer balancer = new HeartbeatBalancer("n0", 0);
        int redirects = 0;
        for (long t = 0; t < 400_000; t += 1_000) {
            int previousRedirects = redirects;
            for (String name : names) {
                balancer.recordRelay(name, t);
            }
            for (int m = 0; m < machines; m++) {
                balancer.heartbeatReceived("m" + m, controllerOf[m], t);
                String target = balancer.redirectFrom(controllerOf[m], t);
                if (target != null) {
                    controllerOf[m] = target;
                    redirects++;
                }
            }
            assertTrue(
                    redirects - previousRedirects
                            <= Math.max(1, machines * RelayConstants.MAX_REBALANCED_SHARE_PER_SECOND) + 1,
                    "more redirects in one second than allowed");
            assertTrue(t < 300_000 || redirects == previousRedirects, "machines are still redirected after 300 s");
        }
        assertTrue(redirects <= machines, "more redirects than machines");
        int total = names.stream().mapToInt(balancer::machineCount).sum();
        assertEquals(machines, total);
        for (String name : names) {
            double share = machines
                    / (controllers - 1 + RelayConstants.LEADER_HEARTBEAT_WEIGHT)
                    * (name.equals("n0") ? RelayConstants.LEADER_HEARTBEAT_WEIGHT : 1);
            assertTrue(
                    balancer.machineCount(name)
                            <= share * RelayConstants.OVERLOADED_CONTROLLER_RATIO
                                    + RelayConstants.OVERLOADED_CONTROLLER_EXTRA_MACHINES,
                    name + " has " + balancer.machineCount(name) + " of " + machines);
        }
    }

    /** No machine is redirected to a controller that no longer relays heartbeats. */
    @Test
    void noMachineIsRedirectedToAControllerThatStoppedRelaying() {
        HeartbeatBalancer balancer = new HeartbeatBalancer("a", 0);
        for (int m = 0; m < 100; m++) {
            balancer.heartbeatReceived("m" + m, "a", 0);
        }
        assertEquals(null, balancer.redirectFrom("a", 5_000));
        balancer.recordRelay("b", 5_000);
        assertEquals("b", balancer.redirectFrom("a", 6_000));
        assertEquals(null, balancer.redirectFrom("a", 5_001 + RelayConstants.ACTIVE_RELAY_TIMEOUT_MS));
    }

    @Test
    void slowResponsesHalveTheWindowAtMostOncePerInterval() {
        AdaptiveWindow window = new AdaptiveWindow();
        for (int i = 0; i < 50; i++) {
            window.recordResponse(FailureDetectionConstants.SLOW_RESPONSE_MS + 1, 1_000);
        }
        assertEquals(FailureDetectionConstants.MAX_DIRECT_CALLS / 2, window.size());
        for (int i = 0; i < 20; i++) {
            window.recordResponse(
                    FailureDetectionConstants.SLOW_RESPONSE_MS + 1,
                    2_000 + i * FailureDetectionConstants.CONCURRENCY_DECREASE_INTERVAL_MS);
        }
        assertEquals(FailureDetectionConstants.MIN_DIRECT_CALLS, window.size());
        for (int i = 0; i < 10_000; i++) {
            window.recordResponse(10, 60_000);
        }
        assertEquals(FailureDetectionConstants.MAX_DIRECT_CALLS, window.size());
    }

    /**
     * A few slow machines don't make this controller unhealthy; many slow responses do, until a grace period has
     * passed.
     */
    @Test
    void manySlowResponsesMakeThisControllerUnhealthy() {
        LocalHealth health = new LocalHealth(0);
        assertFalse(health.isHealthy(1_000), "health is unknown at first");
        assertTrue(health.isHealthy(FailureDetectionConstants.FAILOVER_GRACE_MS));
        for (int i = 0; i < 100; i++) {
            health.recordResponse(i % 10 == 0 ? 900 : 20, 5_000);
        }
        assertTrue(health.isHealthy(5_000));
        for (int i = 0; i < 100; i++) {
            health.recordResponse(i % 2 == 0 ? 900 : 20, 8_000);
        }
        assertFalse(health.isHealthy(8_000 + FailureDetectionConstants.FAILOVER_GRACE_MS - 1));
        assertTrue(health.isHealthy(8_000 + FailureDetectionConstants.FAILOVER_GRACE_MS));
        health.markDegraded(20_000);
        assertFalse(health.isHealthy(20_001), "marked as degraded");
    }
}
