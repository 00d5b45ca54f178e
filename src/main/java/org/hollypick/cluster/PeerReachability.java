package org.hollypick.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hollypick.agent.AgentClient;
import org.hollypick.agent.ProbeResult;
import org.hollypick.cluster.PeerMessages.ReachabilityReport;
import org.hollypick.cluster.PeerMessages.ReachabilityRequest;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.io.Countdown;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;

/** Both sides of the question which machines a peer reaches. Confined to the event loop. */
public final class PeerReachability {
    private PeerReachability() {}

    /** Asks a peer about machines, by their addresses; calls back with an empty report if it did not answer. */
    public static void request(
            EventLoop eventLoop,
            String peerAddress,
            Map<String, String> addressByMachine,
            Consumer<Optional<ReachabilityReport>> reported) {
        Request request = new Request(
                peerAddress,
                "POST",
                PeerMessageCodec.REACHABILITY_PATH,
                PeerMessageCodec.write(new ReachabilityRequest(addressByMachine)),
                ReachabilityConstants.PEER_CHECK_TIMEOUT_MS,
                true);
        eventLoop.send(
                request,
                response -> reported.accept(
                        response.ok()
                                ? Optional.of(PeerMessageCodec.readReachabilityReport(response.body()))
                                : Optional.empty()));
    }

    /** Probes the machines that a peer asks about, all at once, and calls back when each has answered or failed. */
    public static void respond(
            AgentClient agentClient,
            ReachabilityRequest request,
            boolean reachesStore,
            Consumer<ReachabilityReport> responder) {
        List<String> reached = new ArrayList<>();
        List<String> failed = new ArrayList<>();
        ReachabilityReport report = new ReachabilityReport(reachesStore, reached, true, failed);
        if (request.addressByMachine().isEmpty()) {
            responder.accept(report);
            return;
        }
        Countdown openProbes = new Countdown(request.addressByMachine().size());
        request.addressByMachine()
                .forEach((machine, address) -> agentClient.probe(
                        machine, address, ReachabilityConstants.PEER_CHECK_PROBE_TIMEOUT_MS, result -> {
                            if (result == ProbeResult.REACHED) {
                                reached.add(machine);
                            } else if (result == ProbeResult.NOT_REACHED) {
                                failed.add(machine);
                            }
                            if (openProbes.countDown()) {
                                responder.accept(report);
                            }
                        }));
    }
}
