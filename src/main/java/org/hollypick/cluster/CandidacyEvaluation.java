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
 * Measures how well this controller could lead: some machines of each zone are probed directly, and by way of the
 * peers. A candidate that reaches few of them leaves a vacant leadership to others for a while; a leader resigns only
 * if a peer alone reaches what this controller reaches by all ways together. Confined to the event loop.
 */
public final class CandidacyEvaluation {
    /** When an evaluation is complete. */
    enum Scope {
        /** As soon as most machines have answered directly: peers are asked only if that takes long. */
        DIRECT_MAJORITY,
        /** When all machines have answered or timed out, directly and by way of all peers. */
        ALL_PEERS
    }

    /**
     * The outcome of an evaluation.
     *
     * @param probed how many machines were probed
     * @param reachedDirectly how many of them answered this controller
     * @param reachedOnlyByPeers how many of them answered only a peer
     * @param reachedByBestPeer how many of them answered the peer that reached most
     */
    public record Result(int probed, int reachedDirectly, int reachedOnlyByPeers, int reachedByBestPeer) {
        /** For how many milliseconds this controller leaves a vacant leadership to others. */
        public long candidacyDelayMs() {
            return CandidacyDelay.delayMs(probed, reachedDirectly, reachedOnlyByPeers);
        }

        /** Whether nearly all machines are reached, directly or by way of peers. */
        public boolean reachesNearlyAll() {
            return CandidacyDelay.reachesNearlyAll(probed, reachedDirectly, reachedOnlyByPeers);
        }

        /** Whether a peer would lead better. */
        public boolean peerLeadsBetter() {
            return CandidacyDelay.peerLeadsBetter(reachedDirectly, reachedOnlyByPeers, reachedByBestPeer);
        }

        /** The fields of a log line. */
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

    /** Probes a sample of the machines, and calls back once with the outcome. */
    void evaluate(Scope scope, Consumer<Result> evaluated) {
        Map<String, String> addressByMachine = ProbeSample.choose(replica, eventLoop.now());
        if (addressByMachine.isEmpty()) {
            evaluated.accept(new Result(0, 0, 0, 0));
        } else {
            new ProbeRound(addressByMachine, scope, evaluated).start();
        }
    }

    /** One evaluation: machines are probed directly, and by way of the peers if most of them do not answer soon. */
    private final class ProbeRound {
        private final Map<String, String> probed;
        private final Scope scope;
        private final Consumer<Result> evaluated;
        private final Set<String> reachedDirectly = new HashSet<>();
        private final Set<String> reachedByPeers = new HashSet<>();
        private int reachedByBestPeer;
        private int openRequests;
        private boolean peersAsked;
        private boolean complete;

        ProbeRound(Map<String, String> addressByMachine, Scope scope, Consumer<Result> evaluated) {
            this.probed = new HashMap<>(addressByMachine);
            this.scope = scope;
            this.evaluated = evaluated;
        }

        void start() {
            openRequests = probed.size();
            new HashMap<>(probed).forEach(this::probe);
            eventLoop.after(ElectionConstants.CANDIDACY_ASK_PEERS_AFTER_MS, this::askPeers);
        }

        private void probe(String machine, String address) {
            agentClient.probe(machine, address, ElectionConstants.CANDIDACY_PROBE_TIMEOUT_MS, result -> {
                if (result == ProbeResult.REACHED) {
                    reachedDirectly.add(machine);
                } else if (result == ProbeResult.NOT_ATTEMPTED) {
                    probed.remove(machine); // it says nothing about the machine
                }
                requestCompleted();
            });
        }

        private void askPeers() {
            if (complete || peersAsked) {
                return;
            }
            peersAsked = true;
            for (Settings.Sibling peer : settings.siblings()) {
                openRequests++;
                PeerReachability.request(eventLoop, peer.addr(), probed, this::peerResponded);
            }
        }

        private void peerResponded(Optional<ReachabilityReport> report) {
            report.ifPresent(answered -> {
                reachedByPeers.addAll(answered.reached());
                // A peer that does not reach the key-value store cannot lead, whatever machines it reaches.
                if (answered.reachesStore()) {
                    reachedByBestPeer =
                            Math.max(reachedByBestPeer, answered.reached().size());
                }
            });
            requestCompleted();
        }

        private void requestCompleted() {
            openRequests--;
            if (complete) {
                return;
            }
            if (scope == Scope.DIRECT_MAJORITY
                    && CandidacyDelay.majorityResponded(probed.size(), reachedDirectly.size())) {
                complete(new Result(probed.size(), reachedDirectly.size(), 0, 0));
            } else if (openRequests == 0 && !peersAsked) {
                askPeers();
            } else if (openRequests == 0) {
                reachedByPeers.removeAll(reachedDirectly);
                reachedByPeers.retainAll(probed.keySet());
                complete(new Result(probed.size(), reachedDirectly.size(), reachedByPeers.size(), reachedByBestPeer));
            }
        }

        private void complete(Result result) {
            complete = true;
            evaluated.accept(result);
        }
    }
}
