package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Queries all controllers about a job repeatedly in the first 100 ms after the job was accepted, completed or ended,
 * requests estimates, repeats the submission and cancels some of the jobs, in order to provoke responses with a state
 * older than one that a user received before.
 */
final class AnswerProber {
    /** Milliseconds after a job's state changed at which all controllers are queried. */
    private static final List<Integer> PROBES_MS = List.of(0, 1, 2, 4, 8, 12, 16, 24, 32, 48, 64, 100);
    /** Probes whose delay is a multiple of this also request an estimate. */
    private static final int ESTIMATE_INTERVAL_MS = 32;

    private static final int RESUBMIT_WITHIN_MS = 16;
    private static final long COMPLETION_POLL_MS = 25;

    private final ClusterScenario scenario;
    private final SimulatedWorld world;
    private final InvariantChecker checker;
    private final Set<String> probedOnCompletion = new HashSet<>();

    AnswerProber(ClusterScenario scenario) {
        this.scenario = scenario;
        this.world = scenario.world;
        this.checker = scenario.checker;
    }

    /** Starts to probe the controllers after each change of a job's state. */
    void start() {
        checker.answerOrder.stateChangeListener = this::probe;
        probeOnCompletion();
    }

    private void probeOnCompletion() {
        checker.submitted.keySet().stream()
                .filter(id -> checker.isAccepted(id) && checker.tasks.isComplete(id) && probedOnCompletion.add(id))
                .toList()
                .forEach(this::probe);
        world.schedule(COMPLETION_POLL_MS, this::probeOnCompletion);
    }

    private void probe(String id) {
        JsonNode job = checker.submitted.get(id);
        boolean isGraph = job.has(UserProtocol.GRAPH_NODES);
        for (int delayMs : PROBES_MS) {
            for (int i = 0; i < scenario.controllers.size(); i++) {
                probeAt(i, id, job, delayMs);
            }
        }
        if (scenario.users.mayCancel(id) && !checker.isTerminal(id) && !isGraph && world.random.nextInt(3) == 0) {
            world.schedule(world.random.nextInt(16), () -> scenario.users.cancel(id));
        }
    }

    private void probeAt(int controller, String id, JsonNode job, int delayMs) {
        boolean isGraph = job.has(UserProtocol.GRAPH_NODES);
        String path = (isGraph ? UserProtocol.GRAPHS : UserProtocol.SUBMISSIONS) + "/" + id;
        world.schedule(delayMs, () -> scenario.users.queryAt(controller, id, path));
        if (delayMs % ESTIMATE_INTERVAL_MS == 0 && !isGraph) {
            world.schedule(delayMs, () -> scenario.users.queryAt(controller, id, path + UserProtocol.ESTIMATE));
        }
        if (delayMs < RESUBMIT_WITHIN_MS && !isGraph) {
            world.schedule(delayMs, () -> scenario.users.resubmitAt(controller, id, job));
        }
    }
}
