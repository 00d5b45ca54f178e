package org.hollypick.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.agent.AgentClient;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.core.routing.CandidacyDelay;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Response;

/**
 * How well this controller could lead, measured when it matters: some machines of each zone are asked directly, and by
 * way of the others. One that reaches few leaves a free lead to others for a while; a leader gives it up only to one
 * that reaches what it reaches by all ways together.
 */
public final class CandidacyEvaluation {
    /**
     * Of the machines asked: how many answered this controller, how many only another, and how many the one that
     * reached most.
     */
    public record Measured(int asked, int direct, int byPeers, int bestPeer) {
        /** For how long a free lead is left to others. */
        public long waitMs() {
            return CandidacyDelay.waitMs(asked, direct, byPeers);
        }

        /** Nearly all machines are reached, by one way or another. */
        public boolean reachesNearlyAll() {
            return CandidacyDelay.nearlyAll(asked, direct, byPeers);
        }

        /**
         * Another one would lead better: alone it reaches as many as this one with all others, and more than this one
         * alone.
         */
        public boolean betterElsewhere() {
            return CandidacyDelay.better(direct, byPeers, bestPeer);
        }
    }

    private final EventLoop runtime;
    private final Settings settings;
    private final StoreReplica replica;
    private final AgentClient agentClient;

    CandidacyEvaluation(EventLoop runtime, Settings settings, StoreReplica replica) {
        this.runtime = runtime;
        this.settings = settings;
        this.replica = replica;
        this.agentClient = new AgentClient(runtime);
    }

    /** One round of questions; {@code whole}: the others are asked too, even if most machines answer at once. */
    void measure(boolean whole, Consumer<Measured> then) {
        Map<String, String> asked = some();
        if (asked.isEmpty()) {
            then.accept(new Measured(0, 0, 0, 0));
        } else {
            new Round(asked, whole, then).begin();
        }
    }

    /** Machines asked directly, and, if most leave that open for a moment, by way of the other controllers too. */
    private final class Round {
        private final Map<String, String> asked;
        private final Set<String> direct = new HashSet<>();
        private final Set<String> byPeers = new HashSet<>();
        private final boolean whole;
        private final Consumer<Measured> then;
        private int bestPeer;
        private int open;
        private boolean peersAsked;
        private boolean told;

        Round(Map<String, String> asked, boolean whole, Consumer<Measured> then) {
            this.asked = new HashMap<>(asked);
            this.whole = whole;
            this.then = then;
        }

        void begin() {
            open = asked.size();
            new HashMap<>(asked)
                    .forEach((id, addr) ->
                            agentClient.inspect(id, addr, ElectionConstants.CANDIDACY_PROBE_TIMEOUT_MS, r -> {
                                if (r.ok()) {
                                    direct.add(id);
                                } else if (r.failedWith(Response.Failure.NO_CAPACITY)) {
                                    asked.remove(id); // it says nothing about the path
                                }
                                ended();
                            }));
            runtime.after(ElectionConstants.CANDIDACY_ASK_PEERS_AFTER_MS, this::askPeers);
        }

        private void askPeers() {
            if (told || peersAsked) {
                return;
            }
            peersAsked = true;
            for (Settings.Sibling sibling : settings.siblings()) {
                open++;
                PeerReachability.ask(runtime, sibling.addr(), asked, answered -> {
                    if (answered != null) {
                        byPeers.addAll(answered.reached());
                        // One without a way to the state service can't lead, whatever it reaches.
                        bestPeer = answered.reachesState()
                                ? Math.max(bestPeer, answered.reached().size())
                                : bestPeer;
                    }
                    ended();
                });
            }
        }

        private void ended() {
            open--;
            if (told) {
                return;
            }
            if (!whole && CandidacyDelay.enough(asked.size(), direct.size())) {
                told = true;
                then.accept(new Measured(asked.size(), direct.size(), 0, 0));
            } else if (open == 0 && !peersAsked) {
                askPeers();
            } else if (open == 0) {
                told = true;
                byPeers.removeAll(direct);
                byPeers.retainAll(asked.keySet());
                then.accept(new Measured(asked.size(), direct.size(), byPeers.size(), bestPeer));
            }
        }
    }

    /** As many of each zone, not always the same: their addresses. */
    private Map<String, String> some() {
        Map<String, List<Map.Entry<String, JsonNode>>> byZone = new LinkedHashMap<>();
        replica.entries().forEach((key, e) -> {
            if (key.startsWith(StoreKeys.MACHINES)) {
                e.data().fields().forEachRemaining(m -> {
                    if (!m.getValue().path("addr").asText().isEmpty()) {
                        byZone.computeIfAbsent(m.getValue().path("zone").asText(), z -> new ArrayList<>())
                                .add(m);
                    }
                });
            }
        });
        Map<String, String> some = new LinkedHashMap<>();
        for (List<Map.Entry<String, JsonNode>> zone : byZone.values()) {
            int count = Math.min(zone.size(), ElectionConstants.CANDIDACY_PROBED_MACHINES);
            long from = Math.floorMod(runtime.now(), (long) zone.size());
            for (int i = 0; i < count; i++) {
                Map.Entry<String, JsonNode> m = zone.get((int) ((from + (long) i * zone.size() / count) % zone.size()));
                some.put(m.getKey(), m.getValue().path("addr").asText());
            }
        }
        return some;
    }
}
