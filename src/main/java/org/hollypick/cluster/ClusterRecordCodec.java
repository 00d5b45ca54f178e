package org.hollypick.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.longs.LongArrayList;
import java.util.ArrayList;
import java.util.List;
import org.hollypick.io.Codec;

/** The stored form of the leader record and of the member records. Pure, any thread. */
final class ClusterRecordCodec {
    /** The name of the leading controller. */
    private static final String LEADER = "leader";
    /** The revision of the leader's member key. */
    private static final String MEMBER_REVISION = "member";
    /** How many times the leader record was written. */
    private static final String TERM = "terms";
    /** The hash of the team limits that all leaders so far have enforced; absent if there is none. */
    private static final String LIMITS_HASH = "limits";
    /** The zone of a member. */
    private static final String ZONE = "location";
    /** The address at which peers reach a member. */
    private static final String PEER_ADDRESS = "mesh";
    /** When a member resigned lately. */
    private static final String RESIGNATION_TIMES = "resigned";

    /** The address of a machine. */
    private static final String MACHINE_ADDRESS = "addr";
    /** The zone of a machine. */
    private static final String MACHINE_ZONE = "zone";

    private ClusterRecordCodec() {}

    static LeaderRecord readLeaderRecord(JsonNode data) {
        return new LeaderRecord(
                data.path(LEADER).asText(),
                Codec.u64(data.path(MEMBER_REVISION)),
                data.path(TERM).asLong(),
                data.path(LIMITS_HASH).asText(LeaderRecord.NO_LIMITS_HASH));
    }

    static ObjectNode write(LeaderRecord leaderRecord) {
        ObjectNode data = Codec.object()
                .put(LEADER, leaderRecord.leader())
                .put(MEMBER_REVISION, leaderRecord.memberRevision())
                .put(TERM, leaderRecord.term());
        if (!leaderRecord.limitsHash().equals(LeaderRecord.NO_LIMITS_HASH)) {
            data.put(LIMITS_HASH, leaderRecord.limitsHash());
        }
        return data;
    }

    static MemberRecord readMemberRecord(JsonNode data) {
        LongArrayList resignationTimes = new LongArrayList();
        data.path(RESIGNATION_TIMES).forEach(time -> resignationTimes.add(time.asLong()));
        return new MemberRecord(
                data.path(ZONE).asText(), data.path(PEER_ADDRESS).asText(), resignationTimes);
    }

    static ObjectNode write(MemberRecord member) {
        ObjectNode data = Codec.object().put(ZONE, member.zone()).put(PEER_ADDRESS, member.peerAddress());
        ArrayNode times = data.putArray(RESIGNATION_TIMES);
        member.resignationTimes().forEach(times::add);
        return data;
    }

    /** The machines of one record of the machine registry. */
    static List<RegisteredMachine> readMachines(JsonNode data) {
        List<RegisteredMachine> machines = new ArrayList<>();
        data.fields()
                .forEachRemaining(machine -> machines.add(new RegisteredMachine(
                        machine.getKey(),
                        machine.getValue().path(MACHINE_ZONE).asText(),
                        machine.getValue().path(MACHINE_ADDRESS).asText())));
        return machines;
    }
}
