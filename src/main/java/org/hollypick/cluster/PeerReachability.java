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

/**
 * Requests reachability checks of machines from peers, and answers such requests of peers. Confined to the event loop.
 */
public final class PeerReachability {
    private PeerReachability() {}

    /**
     * Asks a peer which of the machines at these addresses it reaches; calls back with an empty value if the peer does
     * not respond.
     */
    public static void request(
            EventLoop eventLoop,
            String peerAddress,
            Map<String, String> addressByMachine,
            Consumer<Optional<ReachabilityReport>> onReport) {
        Request request = new Request(
                peerAddress,
                "POST",
                PeerMessageCodec.REACHABILITY_PATH,
                PeerMessageCodec.write(new ReachabilityRequest(addressByMachine)),
                ReachabilityConstants.PEER_CHECK_TIMEOUT_MS,
                true);
        eventLoop.send(
                request,
                response -> onReport.accept(
                        response.ok()
                                ? Optional.of(PeerMessageCodec.readReachabilityReport(response.body()))
                                : Optional.empty()));
    }

    /**
     * Probes all machines of a peer's request in parallel, and calls back when every probe has succeeded or failed. A
     * machine whose probe could not be sent is in neither list of the report.
     */
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
        Countdown pendingProbes = new Countdown(request.addressByMachine().size());
        request.addressByMachine()
                .forEach((machine, address) -> agentClient.probe(
                        machine, address, ReachabilityConstants.PEER_CHECK_PROBE_TIMEOUT_MS, result -> {
                            if (result == ProbeResult.REACHED) {
                                reached.add(machine);
                            } else if (result == ProbeResult.NOT_REACHED) {
                                failed.add(machine);
                            }
                            if (pendingProbes.countDown()) {
                                responder.accept(report);
                            }
                        }));
    }
}
