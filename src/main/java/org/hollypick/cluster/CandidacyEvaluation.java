package org.hollypick.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.agent.AgentClient;
import org.hollypick.agent.ProbeResult;
import org.hollypick.cluster.PeerMessages.ReachabilityReport;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.core.routing.CandidacyDelay;
import org.hollypick.io.EventLoop;

/**
 * Measures how many machines this controller reaches, as candidate or as leader: it probes some machines of each zone
 * directly and through the peers. A candidate that reaches few of them delays its claim on a vacant leadership. A
 * leader resigns in favour of a peer that alone reaches more of them than this controller does directly, and nearly as
 * many as this controller does by all routes together. Confined to the event loop.
 */
public final class CandidacyEvaluation {
    /** The condition under which an evaluation is complete. */
    enum Scope {
        /**
         * Complete as soon as more than half of the machines have responded directly. If too few of them respond in
         * time, peers are asked as well.
         */
        DIRECT_MAJORITY,
        /** Complete when all direct probes and the requests to all peers have succeeded or failed. */
        ALL_PEERS
    }

    /**
     * The outcome of an evaluation.
     *
     * @param probed the number of machines probed
     * @param reachedDirectly the number of machines that responded to this controller
     * @param reachedOnlyByPeers the number of machines that responded to a peer but not to this controller
     * @param reachedByBestPeer the number of machines that responded to the peer that reached the most, among the peers
     *     that reach the key-value store
     */
    public record Result(int probed, int reachedDirectly, int reachedOnlyByPeers, int reachedByBestPeer) {
        /** Returns the delay before this controller claims a vacant leadership, in milliseconds. */
        public long candidacyDelayMs() {
            return CandidacyDelay.delayMs(probed, reachedDirectly, reachedOnlyByPeers);
        }

        /** Returns whether nearly all probed machines are reached, directly or through peers. */
        public boolean reachesNearlyAll() {
            return CandidacyDelay.reachesNearlyAll(probed, reachedDirectly, reachedOnlyByPeers);
        }

        /** Returns whether a peer is the better leader. */
        public boolean peerLeadsBetter() {
            return CandidacyDelay.peerLeadsBetter(reachedDirectly, reachedOnlyByPeers, reachedByBestPeer);
        }

        /** Returns the key-value pairs for a log line. */
        @Override
        public String toString() {
            return "probed=" + probed + " direct=" + reachedDirectly + " by_peers=" + reachedOnlyByPeers + " best_peer="
                    + reachedByBestPeer;
        }
    }

    private final EventLoop eventLoop;
    private final Settings settings;
    private final StoreReplica replica;
    private final AgentClient agentClient;

    CandidacyEvaluation(EventLoop eventLoop, Settings settings, StoreReplica replica) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.replica = replica;
        this.agentClient = new AgentClient(eventLoop);
    }

    /** Probes a sample of the machines and calls back once with the result. */
    void evaluate(Scope scope, Consumer<Result> onEvaluated) {
        Map<String, String> addressByMachine = ProbeSample.choose(replica, eventLoop.now());
        if (addressByMachine.isEmpty()) {
            onEvaluated.accept(new Result(0, 0, 0, 0));
        } else {
            new ProbeRound(addressByMachine, scope, onEvaluated).start();
        }
    }

    /**
     * One evaluation. The machines are probed directly. Peers are asked if the evaluation is not complete after
     * {@link ElectionConstants#CANDIDACY_ASK_PEERS_AFTER_MS}, or after all direct probes.
     */
    private final class ProbeRound {
        private final Map<String, String> probed;
        private final Scope scope;
        private final Consumer<Result> onEvaluated;
        private final Set<String> reachedDirectly = new HashSet<>();
        private final Set<String> reachedByPeers = new HashSet<>();
        private int reachedByBestPeer;
        private int pendingRequests;
        private boolean peersRequested;
        private boolean complete;

        ProbeRound(Map<String, String> addressByMachine, Scope scope, Consumer<Result> onEvaluated) {
            this.probed = new HashMap<>(addressByMachine);
            this.scope = scope;
            this.onEvaluated = onEvaluated;
        }

        void start() {
            pendingRequests = probed.size();
            new HashMap<>(probed).forEach(this::probe);
            eventLoop.after(ElectionConstants.CANDIDACY_ASK_PEERS_AFTER_MS, this::askPeers);
        }

        private void probe(String machine, String address) {
            agentClient.probe(machine, address, ElectionConstants.CANDIDACY_PROBE_TIMEOUT_MS, result -> {
                if (result == ProbeResult.REACHED) {
                    reachedDirectly.add(machine);
                } else if (result == ProbeResult.NOT_ATTEMPTED) {
                    probed.remove(machine); // no probe was sent, so nothing is known about the machine
                }
                requestCompleted();
            });
        }

        private void askPeers() {
            if (complete || peersRequested) {
                return;
            }
            peersRequested = true;
            for (Settings.Sibling peer : settings.siblings()) {
                pendingRequests++;
                PeerReachability.request(eventLoop, peer.addr(), probed, this::peerResponded);
            }
        }

        private void peerResponded(Optional<ReachabilityReport> report) {
            report.ifPresent(reachability -> {
                reachedByPeers.addAll(reachability.reached());
                // A peer that does not reach the key-value store cannot lead, whatever machines it reaches.
                if (reachability.reachesStore()) {
                    reachedByBestPeer =
                            Math.max(reachedByBestPeer, reachability.reached().size());
                }
            });
            requestCompleted();
        }

        private void requestCompleted() {
            pendingRequests--;
            if (complete) {
                return;
            }
            if (scope == Scope.DIRECT_MAJORITY
                    && CandidacyDelay.majorityResponded(probed.size(), reachedDirectly.size())) {
                complete(new Result(probed.size(), reachedDirectly.size(), 0, 0));
            } else if (pendingRequests == 0 && !peersRequested) {
                askPeers();
            } else if (pendingRequests == 0) {
                reachedByPeers.removeAll(reachedDirectly);
                reachedByPeers.retainAll(probed.keySet());
                complete(new Result(probed.size(), reachedDirectly.size(), reachedByPeers.size(), reachedByBestPeer));
            }
        }

        private void complete(Result result) {
            complete = true;
            onEvaluated.accept(result);
        }
    }
}
