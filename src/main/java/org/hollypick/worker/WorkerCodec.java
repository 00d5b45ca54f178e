package org.hollypick.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.hollypick.core.ledger.Order;
import org.hollypick.core.ledger.Placement.State;
import org.hollypick.core.ledger.Report;
import org.hollypick.core.ledger.TaskReport;
import org.hollypick.io.Codec;

/** The workers' wire names. */
public final class WorkerCodec {
    private WorkerCodec() {}

    /** The report, or null if it isn't one. */
    public static Report report(JsonNode b) {
        if (b == null || !b.isObject() || !b.path("bothy").isTextual() || !b.path("tenure").isIntegralNumber() || !b.path("tick").isIntegralNumber()) {
            return null;
        }
        List<TaskReport> tasks = new ArrayList<>();
        for (JsonNode t : b.path("shards")) {
            State state = switch (t.path("status").asText()) {
                case "fetching" -> State.FETCHING;
                case "saving" -> State.SAVING;
                case "exited" -> State.EXITED;
                default -> State.RUNNING;
            };
            tasks.add(new TaskReport(t.path("shard").asText(), Codec.u64(t.path("try")), state, t.path("cause").asText("")));
        }
        return new Report(b.path("bothy").asText(), b.path("addr").asText(""), b.path("flavour").asText(""), b.path("hall").asText(""),
                b.path("lendable").asBoolean(), Codec.u64(b.path("tenure")), Codec.u64(b.path("tick")), Codec.u64(b.path("baton")),
                b.path("warning_s").isNumber() ? b.path("warning_s").asDouble() : Double.NaN, tasks);
    }

    public static ObjectNode orders(long baton, List<Order> orders) {
        ObjectNode body = Codec.object().put("baton", baton);
        ArrayNode list = body.putArray("orders");
        for (Order o : orders) {
            ObjectNode n = list.addObject();
            switch (o.verb()) {
                case START -> n.put("verb", "launch");
                case STOP -> n.put("verb", "kill").put("leeway_s", o.graceS());
                case FORGET -> n.put("verb", "clear");
            }
            n.put("shard", o.task()).put("try", o.attempt());
        }
        return body;
    }
}
