package org.hollypick.cloud;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.core.MachineType;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.io.TokenBucket;

/**
 * Client of the cloud's API that keeps to its rate limit: a request beyond the limit fails without being sent, and
 * callers retry later. Requests that start or terminate machines are sent only if their {@code validWhile} is true at
 * the moment of sending. Confined to the event loop.
 */
public final class CloudClient {
    /** Share of the cloud's rate limit that is used. */
    private static final double RATE_LIMIT_SHARE = 0.8;

    /** Machines per page of the list of machines. */
    private static final int PAGE_SIZE = 500;

    private final EventLoop eventLoop;
    private final String address;
    private final TokenBucket rateLimit;

    /** Creates a client of the cloud named in the settings. */
    public CloudClient(EventLoop eventLoop, Settings settings) {
        this.eventLoop = eventLoop;
        this.address = settings.cloud();
        this.rateLimit = new TokenBucket(settings.cloudRps() * RATE_LIMIT_SHARE, eventLoop.now());
    }

    /** Lists the machine types by name; the callback receives an empty result if the request failed. */
    public void listMachineTypes(Consumer<Optional<Map<String, MachineType>>> callback) {
        get(
                CloudCodec.PATH_MACHINE_TYPES,
                response -> callback.accept(
                        response.ok() ? Optional.of(CloudCodec.machineTypes(response.body())) : Optional.empty()));
    }

    /** Requests new machines. */
    public void scaleOut(ScaleOutRequest request, BooleanSupplier validWhile, Consumer<ScaleOutResult> callback) {
        send(
                Request.of(
                                address,
                                "POST",
                                CloudCodec.PATH_INSTANCES,
                                CloudCodec.scaleOut(request),
                                NetworkConstants.CLOUD_TIMEOUT_MS)
                        .onlyWhile(validWhile),
                response -> callback.accept(CloudCodec.scaleOutResult(response)));
    }

    /** Terminates machines; the callback receives whether the cloud confirmed the request for all of them. */
    public void terminate(Collection<String> machineIds, BooleanSupplier validWhile, Consumer<Boolean> callback) {
        send(
                Request.of(
                                address,
                                "POST",
                                CloudCodec.PATH_TERMINATE,
                                CloudCodec.terminate(machineIds),
                                NetworkConstants.CLOUD_TIMEOUT_MS)
                        .onlyWhile(validWhile),
                response -> callback.accept(response.ok()));
    }

    /**
     * Lists one page of the machines; the callback receives an empty result if the request failed.
     *
     * @param after the machine id after which the page begins; null for the first page
     */
    public void listInstances(String after, Consumer<Optional<InstancePage>> callback) {
        get(
                CloudCodec.instancesPath(PAGE_SIZE, after),
                response -> callback.accept(
                        response.ok() ? Optional.of(CloudCodec.instancePage(response.body())) : Optional.empty()));
    }

    private void get(String path, Consumer<Response> callback) {
        send(Request.of(address, "GET", path, null, NetworkConstants.CLOUD_TIMEOUT_MS), callback);
    }

    private void send(Request request, Consumer<Response> callback) {
        if (!rateLimit.canTake(1, eventLoop.now())) {
            callback.accept(Response.notSent());
            return;
        }
        rateLimit.take(1, eventLoop.now());
        eventLoop.send(request, callback);
    }
}
