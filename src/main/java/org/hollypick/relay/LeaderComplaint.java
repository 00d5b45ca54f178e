package org.hollypick.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.WireNames;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The record by which a controller tells a leader that it can't reach of machines that do reach this controller, by way
 * of the key-value store. A leader that misses these machines resigns. Only the decision who leads rests on it. The
 * record is attached to this controller's store session and goes with it. Confined to the event loop.
 */
public final class LeaderComplaint {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderComplaint.class);
    private static final String MACHINES = "machines";

    private final EventLoop eventLoop;
    private final Settings settings;
    private final Membership membership;
    private final KeyValueStoreClient store;
    /** Since when batches have failed; 0 if the last one was delivered. */
    private long failingSinceMillis;

    /** The token of the leader that batches fail to reach. */
    private long failingToken;

    private long writtenAtMillis;
    /** Machines whose heartbeats couldn't be relayed, and when: they go from one controller to the next. */
    private final Object2LongLinkedOpenHashMap<String> undeliveredMachines = new Object2LongLinkedOpenHashMap<>();

    LeaderComplaint(EventLoop eventLoop, Settings settings, Membership membership, KeyValueStoreClient store) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.membership = membership;
        this.store = store;
        this.writtenAtMillis = eventLoop.now() - ReachabilityConstants.LEADER_COMPLAINT_INTERVAL_MS;
    }

    /** The leader took a batch. */
    void batchDelivered() {
        failingSinceMillis = 0;
    }

    /** A batch with heartbeats of these machines did not reach the leader under that token. */
    void batchFailed(long token, Collection<String> machines) {
        long now = eventLoop.now();
        if (failingSinceMillis == 0 || failingToken != token) {
            failingSinceMillis = now;
            failingToken = token;
            undeliveredMachines.clear();
        }
        machines.forEach(machine -> undeliveredMachines.putAndMoveToLast(machine, now));
        removeOldest(now);
        Long sessionId = membership.validSessionId();
        if (isDue(now) && sessionId != null && membership.isLeaderRegistered() && !undeliveredMachines.isEmpty()) {
            write(token, sessionId, now);
        }
    }

    private void removeOldest(long now) {
        while (!undeliveredMachines.isEmpty()
                && (undeliveredMachines.size() > ReachabilityConstants.LEADER_COMPLAINT_MACHINES
                        || now - undeliveredMachines.getLong(undeliveredMachines.firstKey())
                                > ReachabilityConstants.LEADER_COMPLAINT_MEMORY_MS)) {
            undeliveredMachines.removeFirstLong();
        }
    }

    private boolean isDue(long now) {
        return now - failingSinceMillis >= ReachabilityConstants.LEADER_COMPLAINT_AFTER_MS
                && now - writtenAtMillis >= ReachabilityConstants.LEADER_COMPLAINT_INTERVAL_MS;
    }

    private void write(long token, long sessionId, long now) {
        writtenAtMillis = now;
        ObjectNode complaint = Codec.object().put(WireNames.FENCING_TOKEN, token);
        ArrayNode machines = complaint.putArray(MACHINES);
        undeliveredMachines.keySet().forEach(machines::add);
        LOG.info("leader_complaint.written token={} machines={}", token, machines.size());
        store.commitUrgently(
                new CompareAndSwap()
                        .expectRevision(StoreKeys.LEADER_RECORD, token)
                        .putWithSession(StoreKeys.leaderComplaint(settings.node()), complaint, sessionId),
                result -> {});
    }

    /** The machines that a stored complaint names; none if it is meant for a leader with another token. */
    public static List<String> machines(JsonNode complaint, long token) {
        List<String> machines = new ArrayList<>();
        if (Codec.u64(complaint.path(WireNames.FENCING_TOKEN)) == token) {
            complaint.path(MACHINES).forEach(machine -> machines.add(machine.asText()));
        }
        return machines;
    }
}
