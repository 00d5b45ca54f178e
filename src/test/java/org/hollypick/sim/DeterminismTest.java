package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.junit.jupiter.api.Test;

/** A seed determines a whole scenario, so any failure that a test finds can be reproduced. */
class DeterminismTest {
    @Test
    void theSameSeedGivesTheSameScenario() {
        List<String> first = digests();
        assertEquals(first, digests());
        System.out.println("digests " + first);
    }

    private static List<String> digests() {
        List<String> digests = new ArrayList<>();
        for (int seed = 1; seed <= 6; seed++) {
            ClusterScenario scenario = new ClusterScenario(
                    seed,
                    seed % 3 == 0 ? 12 : 1,
                    null,
                    new StoreLimits(2_048, 4, 25),
                    (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.defaults()));
            scenario.workload.submitJobs(30, 100_000);
            scenario.pipelines.submitPipelines(6, 90_000);
            scenario.world.schedule(60_000, scenario::tightenStoreLimits);
            scenario.randomFaults.scheduleFaults(9, 20_000, 150_000);
            scenario.advance(240_000);
            digests.add(scenario.world.digest());
        }
        return digests;
    }
}
