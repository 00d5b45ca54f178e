package org.hollypick;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hollypick.api.GraphApi;
import org.hollypick.api.UserApi;
import org.hollypick.io.Codec;
import org.hollypick.io.ServerResponse;
import org.hollypick.relay.HeartbeatRelay;

/**
 * Dispatches the requests of users, agents and readiness checks, at the public address, to the components that handle
 * them, by path and method. Confined to the event loop.
 */
final class PublicRequestDispatcher {
    private static final String HEARTBEAT_PATH = "/hello";
    private static final String READINESS_PATH = "/ready";
    private static final String GRAPHS_PATH = "/graphs";
    private static final String JOBS_PATH = "/submissions";
    /** The end of the path by which a job is cancelled. */
    private static final String CANCEL_SUFFIX = "/withdraw";
    /** The end of the path by which the completion time of a job is estimated. */
    private static final String ESTIMATE_SUFFIX = "/estimate";

    private final HeartbeatRelay heartbeatRelay;
    private final UserApi users;
    private final GraphApi graphs;
    private final boolean servesEstimates;
    private final BooleanSupplier ready;

    /**
     * Creates the dispatcher.
     *
     * @param graphs null if graphs are disabled
     * @param servesEstimates whether requests for the estimated completion time of a job are served
     * @param ready whether this controller is ready to serve users
     */
    PublicRequestDispatcher(
            HeartbeatRelay heartbeatRelay,
            UserApi users,
            GraphApi graphs,
            boolean servesEstimates,
            BooleanSupplier ready) {
        this.heartbeatRelay = heartbeatRelay;
        this.users = users;
        this.graphs = graphs;
        this.servesEstimates = servesEstimates;
        this.ready = ready;
    }

    /** Handles a request; {@code target}: its path, with the query if there is one. */
    void handle(String method, String target, byte[] body, Consumer<ServerResponse> responder) {
        String path = withoutQuery(target);
        if (path.equals(HEARTBEAT_PATH)) {
            requireMethod("POST", method, responder, () -> heartbeatRelay.heartbeatReceived(body, responder));
        } else if (path.equals(READINESS_PATH)) {
            requireMethod("GET", method, responder, () -> responder.accept(readiness()));
        } else if (graphs != null && (path.equals(GRAPHS_PATH) || path.startsWith(GRAPHS_PATH + "/"))) {
            graphs.handle(method, target, body, responder);
        } else if (path.equals(JOBS_PATH)) {
            requireMethod("POST", method, responder, () -> users.submit(Codec.read(body, false), responder));
        } else if (path.startsWith(JOBS_PATH + "/")) {
            handleJob(method, path.substring(JOBS_PATH.length() + 1), responder);
        } else {
            responder.accept(ServerResponse.error(404, "no such path"));
        }
    }

    private static String withoutQuery(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Handles a request about one job; {@code jobPath}: the part of the path after {@link #JOBS_PATH}. */
    private void handleJob(String method, String jobPath, Consumer<ServerResponse> responder) {
        if (jobPath.endsWith(CANCEL_SUFFIX)) {
            requireMethod(
                    "POST", method, responder, () -> users.cancel(withoutSuffix(jobPath, CANCEL_SUFFIX), responder));
        } else if (servesEstimates && method.equals("GET") && jobPath.endsWith(ESTIMATE_SUFFIX)) {
            users.estimate(withoutSuffix(jobPath, ESTIMATE_SUFFIX), responder);
        } else {
            requireMethod("GET", method, responder, () -> users.status(jobPath, responder));
        }
    }

    private static String withoutSuffix(String path, String suffix) {
        return path.substring(0, path.length() - suffix.length());
    }

    private static void requireMethod(
            String allowedMethod, String method, Consumer<ServerResponse> responder, Runnable handler) {
        if (method.equals(allowedMethod)) {
            handler.run();
        } else {
            responder.accept(ServerResponse.error(405, "method not allowed"));
        }
    }

    private ServerResponse readiness() {
        return ready.getAsBoolean()
                ? ServerResponse.of(200, Codec.object().put("ready", true))
                : ServerResponse.retryLater("starting");
    }
}
