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
 * Writes a record to the key-value store when this controller can't relay heartbeats to the leader. The record names
 * machines whose heartbeats this controller receives; a leader that can't reach these machines may resign. The record
 * only influences which controller leads. The record is attached to this controller's store session and deleted when
 * the session ends. Confined to the event loop.
 */
public final class LeaderComplaint {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderComplaint.class);
    private static final String MACHINES = "machines";

    private final EventLoop eventLoop;
    private final Settings settings;
    private final Membership membership;
    private final KeyValueStoreClient store;
    /**
     * Time of the first failed batch since a batch was delivered or the leader changed; 0 if the latest batch was
     * delivered.
     */
    private long failingSinceMillis;

    /** The fencing token of the leader to which batches fail. */
    private long failingToken;

    private long writtenAtMillis;
    /**
     * When a heartbeat of each machine last couldn't be relayed, oldest first. Entries expire, since such machines try
     * the controllers in turn.
     */
    private final Object2LongLinkedOpenHashMap<String> undeliveredMachines = new Object2LongLinkedOpenHashMap<>();

    LeaderComplaint(EventLoop eventLoop, Settings settings, Membership membership, KeyValueStoreClient store) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.membership = membership;
        this.store = store;
        this.writtenAtMillis = eventLoop.now() - ReachabilityConstants.LEADER_COMPLAINT_INTERVAL_MS;
    }

    /** Records that the leader responded to a batch. */
    void batchDelivered() {
        failingSinceMillis = 0;
    }

    /** Records that a batch with heartbeats of these machines failed for the leader with this fencing token. */
    void batchFailed(long token, Collection<String> machines) {
        long nowMillis = eventLoop.now();
        if (failingSinceMillis == 0 || failingToken != token) {
            failingSinceMillis = nowMillis;
            failingToken = token;
            undeliveredMachines.clear();
        }
        machines.forEach(machine -> undeliveredMachines.putAndMoveToLast(machine, nowMillis));
        removeOldest(nowMillis);
        Long sessionId = membership.validSessionId();
        if (isDue(nowMillis)
                && sessionId != null
                && membership.isLeaderRegistered()
                && !undeliveredMachines.isEmpty()) {
            write(token, sessionId, nowMillis);
        }
    }

    private void removeOldest(long nowMillis) {
        while (!undeliveredMachines.isEmpty()
                && (undeliveredMachines.size() > ReachabilityConstants.MAX_LEADER_COMPLAINT_MACHINES
                        || nowMillis - undeliveredMachines.getLong(undeliveredMachines.firstKey())
                                > ReachabilityConstants.LEADER_COMPLAINT_MACHINE_RETENTION_MS)) {
            undeliveredMachines.removeFirstLong();
        }
    }

    private boolean isDue(long nowMillis) {
        return nowMillis - failingSinceMillis >= ReachabilityConstants.LEADER_COMPLAINT_AFTER_MS
                && nowMillis - writtenAtMillis >= ReachabilityConstants.LEADER_COMPLAINT_INTERVAL_MS;
    }

    private void write(long token, long sessionId, long nowMillis) {
        writtenAtMillis = nowMillis;
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

    /** The machines named in a stored complaint; none if the complaint is about a leader with another fencing token. */
    public static List<String> machines(JsonNode complaint, long token) {
        List<String> machines = new ArrayList<>();
        if (Codec.u64(complaint.path(WireNames.FENCING_TOKEN)) == token) {
            complaint.path(MACHINES).forEach(machine -> machines.add(machine.asText()));
        }
        return machines;
    }
}
