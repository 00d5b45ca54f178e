package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hollypick.io.Codec;
import org.hollypick.io.Response;
import org.hollypick.io.ServerResponse;

/** Encodes and decodes the JSON messages by which controllers forward requests of their users to the leader. */
public final class PeerCodec {
    /** Peer endpoint (POST) for the status of several jobs. */
    public static final String STATUS_PATH = "/jobs";

    /** Peer endpoint (POST) for an estimate of a job's completion. */
    public static final String ESTIMATE_PATH = "/estimate";

    /**
     * The wire name of the newest revision that the sender has observed. The recipient must not base answers on an
     * older one (docs/safety.md, "went_back").
     */
    static final String REVISION = "epoch";

    private static final String JOB_PREFIX = "/jobs/";
    private static final String CANCELLATION_SUFFIX = "/abort";
    private static final String JOBS = "jobs";
    private static final String JOB = "job";
    private static final String STATUS = "status";
    private static final String BODY = "body";

    private PeerCodec() {}

    /**
     * The leader's answer to a status request.
     *
     * @param revision the newest revision that the leader has observed
     * @param jobs the statuses of which the leader is certain, by job id
     */
    record StatusAnswer(long revision, Map<String, JobStatus> jobs) {}

    /**
     * The leader's answer to a forwarded request.
     *
     * @param revision the newest revision that the leader has observed
     * @param status the HTTP status for the user; 0 if the leader sent no successful response
     * @param body the response body for the user
     */
    record ForwardedAnswer(long revision, int status, JsonNode body) {}

    /** The path of a request to cancel a job. */
    static String cancellationPath(String id) {
        return JOB_PREFIX + id + CANCELLATION_SUFFIX;
    }

    /** Extracts the job id from the path of a cancellation request; empty if the path isn't that of one. */
    public static Optional<String> cancelledJob(String path) {
        return path.startsWith(JOB_PREFIX) && path.endsWith(CANCELLATION_SUFFIX)
                ? Optional.of(path.substring(JOB_PREFIX.length(), path.length() - CANCELLATION_SUFFIX.length()))
                : Optional.empty();
    }

    // ---- status ----

    static ObjectNode statusRequest(long revision, Collection<String> ids) {
        ObjectNode request = Codec.object().put(REVISION, revision);
        ArrayNode jobs = request.putArray(JOBS);
        ids.forEach(jobs::add);
        return request;
    }

    static List<String> requestedJobs(JsonNode request) {
        List<String> ids = new ArrayList<>();
        request.path(JOBS).forEach(id -> ids.add(id.asText()));
        return ids;
    }

    static ObjectNode write(StatusAnswer answer) {
        ObjectNode body = Codec.object().put(REVISION, answer.revision);
        answer.jobs.forEach((id, status) -> body.set(id, status.write()));
        return body;
    }

    /** Decodes the answer about those jobs; it contains no jobs if the response isn't a successful one. */
    static StatusAnswer statusAnswer(Response response, Collection<String> ids) {
        Map<String, JobStatus> jobs = new HashMap<>();
        if (response.ok()) {
            for (String id : ids) {
                JobStatus.read(response.body().path(id)).ifPresent(status -> jobs.put(id, status));
            }
        }
        return new StatusAnswer(revision(response.body()), jobs);
    }

    // ---- estimates ----

    static ObjectNode estimateRequest(long revision, String id) {
        return Codec.object().put(JOB, id).put(REVISION, revision);
    }

    static String estimatedJob(JsonNode request) {
        return request.path(JOB).asText();
    }

    static ServerResponse forwardedAnswer(long revision, ServerResponse response) {
        ObjectNode body = Codec.object().put(REVISION, revision).put(STATUS, response.status());
        return ServerResponse.of(200, body.set(BODY, response.body()));
    }

    static ForwardedAnswer forwardedAnswer(Response response) {
        JsonNode body = response.body();
        return new ForwardedAnswer(
                revision(body), response.ok() ? body.path(STATUS).asInt() : 0, body.path(BODY));
    }

    // ---- revisions ----

    /** Decodes the sender's revision; 0 if the message has none. */
    static long revision(JsonNode message) {
        return Codec.u64(message.path(REVISION));
    }

    /** Returns the response with the sender's revision added to its body. */
    static ServerResponse withRevision(ServerResponse response, long revision) {
        ObjectNode body = response.body().deepCopy();
        return ServerResponse.of(response.status(), body.put(REVISION, revision))
                .onlyWhile(response.validWhile());
    }
}
