package org.hollypick.control.provisioning;

import java.util.List;
import java.util.function.ObjLongConsumer;
import org.hollypick.cloud.CloudClient;
import org.hollypick.cloud.ScaleOutRequest;
import org.hollypick.cloud.ScaleOutResult;
import org.hollypick.control.TermContext;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.autoscaling.Autoscaler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests machines from the cloud and adds the started ones to the scheduler. A request without a response is repeated
 * under the same id, so that the cloud executes it only once. Confined to the event loop.
 */
final class ScaleOutRequester {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequester.class);

    private static final long RETRY_MS = 1_000;

    private final TermContext term;
    private final Scheduler scheduler;
    private final CloudClient cloud;
    private final ObjLongConsumer<Autoscaler.CapacityPool> onRefused;
    private int requestsInFlight;
    /** Number of requests in this term; part of the next request's id, which makes ids unique. */
    private long requestCount;

    /** Creates the requester; {@code onRefused} receives each pool that granted too few machines, and the time. */
    ScaleOutRequester(TermContext term, CloudClient cloud, ObjLongConsumer<Autoscaler.CapacityPool> onRefused) {
        this.term = term;
        this.scheduler = term.scheduler();
        this.cloud = cloud;
        this.onRefused = onRefused;
    }

    /** Sends the requests, unless earlier ones are in flight, which may already bring the needed machines. */
    void requestUnlessInFlight(List<Autoscaler.ScaleOut> scaleOut) {
        if (requestsInFlight > 0) {
            return;
        }
        for (Autoscaler.ScaleOut request : scaleOut) {
            requestsInFlight++;
            send(request.pool(), nextRequestId(), request.count());
        }
    }

    private String nextRequestId() {
        return term.settings().node() + "-" + scheduler.token() + "-" + requestCount++;
    }

    private void send(Autoscaler.CapacityPool pool, String requestId, int count) {
        if (!term.holdsLeaderLease()) {
            requestsInFlight--;
            return;
        }
        ScaleOutRequest request = new ScaleOutRequest(requestId, pool.type(), pool.zone(), pool.spot(), count);
        cloud.scaleOut(request, term.leaderLeaseHeld(), result -> completed(pool, request, result));
    }

    private void completed(Autoscaler.CapacityPool pool, ScaleOutRequest request, ScaleOutResult result) {
        LOG.info(
                "scale_out.completed type={} zone={} spot={} requested={} status={} started={}",
                pool.type(),
                pool.zone(),
                pool.spot(),
                request.count(),
                result.status(),
                result.machineIds().size());
        if (result.outcome() == ScaleOutResult.Outcome.NO_RESPONSE) {
            term.eventLoop().after(RETRY_MS, () -> send(pool, request.requestId(), request.count()));
            return;
        }
        requestsInFlight--;
        long now = term.now();
        boolean granted = result.outcome() == ScaleOutResult.Outcome.GRANTED;
        if (granted) {
            result.machineIds().forEach(machineId -> addMachine(machineId, pool, now));
        }
        boolean tooFew = granted && result.machineIds().size() < request.count();
        if (tooFew || result.outcome() == ScaleOutResult.Outcome.OUT_OF_CAPACITY) {
            onRefused.accept(pool, now);
        }
    }

    private void addMachine(String machineId, Autoscaler.CapacityPool pool, long now) {
        MachineType type = term.machineTypes().get(pool.type());
        if (type != null && !scheduler.hasMachine(machineId) && !scheduler.isTerminated(machineId)) {
            scheduler.addMachine(machineId, type, pool.zone(), pool.spot(), false, now);
        }
    }
}
