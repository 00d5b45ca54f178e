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
 * What a controller that can't hand reports on tells the leader by way of the state service, when nothing else leads
 * there: machines that come to it. If the leader misses them it is at fault. Only the decision who leads rests on it;
 * it is attached to the state session and goes with it.
 */
public final class LeaderComplaint {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderComplaint.class);

    private final EventLoop eventLoop;
    private final Settings settings;
    private final Membership membership;
    private final KeyValueStoreClient store;
    /** Since when, and under which token, reports haven't reached the leader; 0 if the last one did. */
    private long since;

    private long failing;
    private long saidAt;
    /** Machines whose reports couldn't be handed on, and when: they go from one controller to the next. */
    private final Object2LongLinkedOpenHashMap<String> heard = new Object2LongLinkedOpenHashMap<>();

    LeaderComplaint(EventLoop eventLoop, Settings settings, Membership membership, KeyValueStoreClient store) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.membership = membership;
        this.store = store;
        this.saidAt = eventLoop.now() - ReachabilityConstants.LEADER_COMPLAINT_INTERVAL_MS;
    }

    /** The leader took reports. */
    void handedOn() {
        since = 0;
    }

    /** The leader under that token couldn't be told of those machines. */
    void failed(long token, Collection<String> machines) {
        long now = eventLoop.now();
        if (since == 0 || failing != token) {
            since = now;
            failing = token;
            heard.clear();
        }
        machines.forEach(m -> heard.putAndMoveToLast(m, now));
        while (!heard.isEmpty()
                && (heard.size() > ReachabilityConstants.LEADER_COMPLAINT_MACHINES
                        || now - heard.getLong(heard.firstKey()) > ReachabilityConstants.LEADER_COMPLAINT_MEMORY_MS)) {
            heard.removeFirstLong();
        }
        Long stateSession = membership.validSessionId();
        if (now - since < ReachabilityConstants.LEADER_COMPLAINT_AFTER_MS
                || now - saidAt < ReachabilityConstants.LEADER_COMPLAINT_INTERVAL_MS
                || stateSession == null
                || !membership.isLeaderRegistered()
                || heard.isEmpty()) {
            return;
        }
        saidAt = now;
        ObjectNode data = Codec.object().put(WireNames.FENCING_TOKEN, token);
        ArrayNode names = data.putArray("machines");
        heard.keySet().forEach(names::add);
        LOG.info("the leader isn't reached, telling it by the state service token={} machines={}", token, names.size());
        store.commitUrgently(
                new CompareAndSwap()
                        .expectRevision(StoreKeys.LEADER_RECORD, token)
                        .putWithLease(StoreKeys.leaderComplaint(settings.node()), data, stateSession),
                r -> {});
    }

    /** The machines that such a record names, if it is meant for that leader. */
    public static List<String> machines(JsonNode data, long token) {
        List<String> names = new ArrayList<>();
        if (Codec.u64(data.path(WireNames.FENCING_TOKEN)) == token) {
            data.path("machines").forEach(m -> names.add(m.asText()));
        }
        return names;
    }
}
