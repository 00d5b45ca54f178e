package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.core.JobSpec;
import org.hollypick.io.Codec;

/**
 * Encodes and decodes the records of jobs in the store. A live record holds the job's specification and dependencies;
 * the terminal record that replaces it holds only what status requests are answered from. Stateless; calls with a
 * {@link StoreReplica} are confined to the event loop.
 */
public final class JobRecordCodec {
    /** Live: the revision of the leader record that the creation was conditional on. */
    private static final String CREATED_UNDER_LEADER_REVISION = "under";
    /** Live: the job's specification, by {@link JobCodec}. */
    private static final String SPEC = "spec";
    /** Live, and in a dependency list: ids of the jobs that have to complete before the job starts. */
    private static final String DEPENDENCIES = "awaits";
    /** Live: refers to the {@link DependencyLists}, if there are any. */
    private static final String DEPENDENCY_LISTS = "awaits_in";
    /** In {@link #DEPENDENCY_LISTS}: the common prefix of the lists' keys. */
    private static final String LIST_KEY_PREFIX = "key";
    /** In {@link #DEPENDENCY_LISTS}: the number of lists. */
    private static final String LIST_COUNT = "parts";
    /** Terminal: the {@link TerminalStatus}. */
    private static final String STATUS = "status";
    /** Terminal: the number of completed tasks. */
    private static final String COMPLETED_TASKS = "done";

    private JobRecordCodec() {}

    /**
     * Encodes the record of a live job.
     *
     * @param leaderRecordRevision the revision of the leader record that the write is conditional on
     * @param dependencyIds ids of the dependencies that this record itself holds
     * @param dependencyLists the other dependencies; null if there are none
     */
    public static ObjectNode encodeLive(
            JobSpec spec,
            long leaderRecordRevision,
            Collection<String> dependencyIds,
            DependencyLists dependencyLists) {
        ObjectNode record = Codec.object().put(CREATED_UNDER_LEADER_REVISION, leaderRecordRevision);
        record.set(SPEC, JobCodec.encode(spec));
        if (!dependencyIds.isEmpty()) {
            record.set(DEPENDENCIES, encodeIds(dependencyIds));
        }
        if (dependencyLists != null) {
            record.putObject(DEPENDENCY_LISTS)
                    .put(LIST_KEY_PREFIX, dependencyLists.keyPrefix())
                    .put(LIST_COUNT, dependencyLists.lists().size());
        }
        return record;
    }

    /** Encodes the record of one list of a job's {@link DependencyLists}. */
    public static ObjectNode encodeDependencyList(Collection<String> dependencyIds) {
        ObjectNode record = Codec.object();
        record.set(DEPENDENCIES, encodeIds(dependencyIds));
        return record;
    }

    private static ArrayNode encodeIds(Collection<String> ids) {
        ArrayNode list = Codec.array();
        ids.forEach(list::add);
        return list;
    }

    /** Encodes the record of a terminal job. */
    public static ObjectNode encodeTerminal(TerminalStatus status, int completedTasks) {
        return Codec.object().put(STATUS, status.wireName()).put(COMPLETED_TASKS, completedTasks);
    }

    /** Whether the record is that of a terminal job. */
    public static boolean isTerminal(JsonNode record) {
        return record.has(STATUS);
    }

    /** The status in a terminal record. */
    public static TerminalStatus status(JsonNode record) {
        return TerminalStatus.ofStored(record.path(STATUS).asText());
    }

    /** The number of completed tasks in a terminal record. */
    public static int completedTasks(JsonNode record) {
        return record.path(COMPLETED_TASKS).asInt();
    }

    /** The specification in the live record of a job that isn't a task graph. */
    public static JobSpec spec(JsonNode record) throws JobCodec.InvalidException {
        return JobCodec.decode(record.path(SPEC));
    }

    /** The revision of the leader record that the creation of a live record was conditional on. */
    public static long createdUnderLeaderRevision(JsonNode record) {
        return Codec.u64(record.path(CREATED_UNDER_LEADER_REVISION));
    }

    /** The priority in a live record, of a job or a task graph. */
    public static JobSpec.Priority priority(JsonNode record) throws JobCodec.InvalidException {
        return JobCodec.decodePriority(
                GraphRecordCodec.isGraph(record) ? GraphRecordCodec.encodedJobSpec(record) : record.path(SPEC));
    }

    /** Whether the record is that of a live service. */
    public static boolean isService(JsonNode record) {
        return JobCodec.isService(record.path(SPEC));
    }

    /**
     * The ids of all jobs that a live job depends on. If a dependency list isn't in the replica, its key is returned in
     * place of its ids: no job with that id ever completes, so the dependent job doesn't start.
     */
    public static List<String> dependencies(JsonNode record, StoreReplica replica) {
        List<String> ids = decodeIds(record);
        JsonNode lists = record.path(DEPENDENCY_LISTS);
        for (int i = 0; i < lists.path(LIST_COUNT).asInt(); i++) {
            String key = DependencyLists.key(lists.path(LIST_KEY_PREFIX).asText(), i);
            StoreReplica.Entry list = replica.get(key);
            if (list == null) {
                ids.add(key);
            } else {
                ids.addAll(decodeIds(list.data()));
            }
        }
        return ids;
    }

    private static List<String> decodeIds(JsonNode record) {
        List<String> ids = new ArrayList<>();
        record.path(DEPENDENCIES).forEach(id -> ids.add(id.asText()));
        return ids;
    }
}
