package org.hollypick.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hollypick.config.Constants;
import org.hollypick.config.Settings;
import org.hollypick.core.ledger.Machine;
import org.hollypick.io.Answer;
import org.hollypick.io.Call;
import org.hollypick.io.Codec;
import org.hollypick.io.Reply;
import org.hollypick.io.Runtime;

/**
 * Whether machines that leave this owner's questions open are lost, or only out of its reach: other controllers put the same question.
 * What they reach isn't returned, and several such machines end the lead, since the path from here is at fault.
 */
final class Reach {
    private final Runtime runtime;
    private final Settings settings;
    private final Map<String, Machine> machines;
    private long askedAt;
    /** When another controller last told what it reaches and what it doesn't. */
    private long toldAt = -Constants.REACH_VALID_MS;
    private boolean asking;

    Reach(Runtime runtime, Settings settings, Map<String, Machine> machines) {
        this.runtime = runtime;
        this.settings = settings;
        this.machines = machines;
    }

    /** Has others try some of those machines, those not asked about for longest first. */
    void ask(List<Machine> doubtful) {
        long now = runtime.now();
        if (asking || doubtful.isEmpty() || now - askedAt < Constants.REACH_EVERY_MS) {
            return;
        }
        List<Machine> some = new ArrayList<>(doubtful);
        some.sort((a, b) -> Long.compare(a.elsewhereAskedAt, b.elsewhereAskedAt));
        ObjectNode body = Codec.object();
        ObjectNode addresses = body.putObject("machines");
        for (Machine m : some.subList(0, Math.min(some.size(), Constants.REACH_MACHINES))) {
            m.elsewhereAskedAt = now;
            addresses.put(m.id, m.addr);
        }
        asking = true;
        askedAt = now;
        int[] open = {settings.siblings().size()};
        for (Settings.Sibling s : settings.siblings()) {
            runtime.call(new Call(s.addr(), "POST", "/reach", body, Constants.REACH_TIMEOUT_MS, true), r -> {
                asking = --open[0] > 0;
                if (r.ok() && r.body().path("reaches_state").asBoolean()) {
                    r.body().path("reached").forEach(id -> reached(id.asText()));
                    if (r.body().has("failed")) {
                        toldAt = runtime.now();
                        r.body().path("failed").forEach(id -> failed(id.asText()));
                    }
                }
            });
        }
        asking = open[0] > 0;
    }

    private void reached(String id) {
        Machine m = machines.get(id);
        if (m != null && m.unanswered > 0) {
            m.elsewhereSince = elsewhere(m, runtime.now()) ? m.elsewhereSince : runtime.now();
            m.elsewhereAt = runtime.now();
        }
    }

    private void failed(String id) {
        Machine m = machines.get(id);
        if (m != null) {
            m.elsewhereFailedAt = runtime.now();
        }
    }

    /** Others told lately what they reach. */
    boolean othersTell(long now) {
        return now - toldAt < Constants.REACH_VALID_MS;
    }

    /** Another controller tried it in vain too, or there is none to ask. */
    boolean nobodyReaches(Machine m, long now) {
        return !othersTell(now) || m.elsewhereFailedAt > 0 && now - m.elsewhereFailedAt < Constants.REACH_VALID_MS;
    }

    /** Another controller, which could lead, reached the machine a moment ago, and this one doesn't. */
    static boolean elsewhere(Machine m, long now) {
        return m.unanswered > 0 && m.elsewhereAt > 0 && now - m.elsewhereAt < Constants.REACH_VALID_MS;
    }

    /** Not to be returned, though silent: one or two for a while only, since nobody leads both here and there. */
    static boolean spared(Machine m, long now) {
        return elsewhere(m, now) && now - m.elsewhereSince < Constants.REACH_PATIENCE_MS;
    }

    /** Machines that are only out of this owner's reach. */
    static int beyond(Collection<Machine> machines, long now) {
        int count = 0;
        for (Machine m : machines) {
            count += elsewhere(m, now) && m.unanswered >= Constants.UNANSWERED ? 1 : 0;
        }
        return count;
    }

    // ---- on the other side ----

    /** Another controller wants to know which of those machines answer here. */
    static void tryAll(Runtime runtime, JsonNode body, boolean reachesState, Consumer<Answer> answer) {
        ObjectNode told = Codec.object().put("reaches_state", reachesState);
        ArrayNode reached = told.putArray("reached");
        ArrayNode failed = told.putArray("failed");
        List<Map.Entry<String, JsonNode>> asked = new ArrayList<>();
        body.path("machines").fields().forEachRemaining(f -> {
            if (f.getValue().isTextual() && f.getValue().asText().contains(":") && asked.size() < Constants.REACH_MACHINES) {
                asked.add(f);
            }
        });
        int[] open = {asked.size()};
        if (open[0] == 0) {
            answer.accept(Answer.of(200, told));
        }
        for (Map.Entry<String, JsonNode> m : asked) {
            runtime.call(Call.of(m.getValue().asText(), "GET", "/inspect", null, Constants.REACH_INSPECT_MS), r -> {
                if (r.ok() && r.body().path("bothy").asText().equals(m.getKey())) {
                    reached.add(m.getKey());
                } else if (r.status() != Reply.LACK) {
                    failed.add(m.getKey());
                }
                if (--open[0] == 0) {
                    answer.accept(Answer.of(200, told));
                }
            });
        }
    }
}
