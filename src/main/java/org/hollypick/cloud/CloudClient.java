package org.hollypick.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.core.MachineType;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.io.TokenBucket;

/**
 * The cloud's protocol, inside its request limit. Over the limit a call isn't sent; the loops try again. {@code still}:
 * asked when it is sent.
 */
public final class CloudClient {
    private final EventLoop eventLoop;
    private final String address;
    private final TokenBucket budget;

    public CloudClient(EventLoop eventLoop, Settings settings) {
        this.eventLoop = eventLoop;
        this.address = settings.cloud();
        this.budget = new TokenBucket(settings.cloudRps() * 0.8, eventLoop.now());
    }

    private void send(Request call, Consumer<Response> reply) {
        if (!budget.has(1, eventLoop.now())) {
            reply.accept(Response.notSent());
            return;
        }
        budget.take(1, eventLoop.now());
        eventLoop.send(call, reply);
    }

    public void types(Consumer<Map<String, MachineType>> reply) {
        send(Request.of(address, "GET", "/machine_types", null, NetworkConstants.CLOUD_TIMEOUT_MS), r -> {
            if (!r.ok()) {
                reply.accept(null);
                return;
            }
            Map<String, MachineType> types = new LinkedHashMap<>();
            for (JsonNode t : r.body().path("flavours")) {
                Set<String> zones = new LinkedHashSet<>();
                t.path("halls").forEach(z -> zones.add(z.asText()));
                MachineType type = new MachineType(
                        t.path("sku").asText(),
                        t.path("cores").asDouble(),
                        t.path("gpus").asDouble(),
                        t.path("ram_gb").asDouble(),
                        t.path("cache_gb").asDouble(),
                        t.path("pull_gb_per_s").asDouble(1),
                        t.path("price").asDouble(),
                        t.path("market_price").asDouble(),
                        t.path("ready_s").asDouble(),
                        zones);
                types.put(type.name(), type);
            }
            reply.accept(types);
        });
    }

    public void hire(
            String request,
            String type,
            String zone,
            boolean spot,
            int count,
            BooleanSupplier still,
            Consumer<Response> reply) {
        ObjectNode body = Codec.object()
                .put("hire", request)
                .put("flavour", type)
                .put("hall", zone)
                .put("lendable", spot)
                .put("number", count);
        send(
                Request.of(address, "POST", "/hosts", body, NetworkConstants.CLOUD_TIMEOUT_MS)
                        .onlyWhile(still),
                reply);
    }

    public void giveBack(Collection<String> machines, BooleanSupplier still, Consumer<Response> reply) {
        ObjectNode body = Codec.object();
        ArrayNode names = body.putArray("bothies");
        machines.forEach(names::add);
        send(
                Request.of(address, "POST", "/hosts/return", body, NetworkConstants.CLOUD_TIMEOUT_MS)
                        .onlyWhile(still),
                reply);
    }

    public void list(String from, Consumer<Response> reply) {
        String path = "/hosts?page=500" + (from == null ? "" : "&from=" + from);
        send(Request.of(address, "GET", path, null, NetworkConstants.CLOUD_TIMEOUT_MS), reply);
    }
}
