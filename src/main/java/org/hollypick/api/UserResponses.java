package org.hollypick.api;

import org.hollypick.io.ServerResponse;

/** Error responses that several endpoints of the user API share. */
final class UserResponses {
    private UserResponses() {}

    static ServerResponse noSuchJob() {
        return ServerResponse.error(404, "no such job");
    }

    /** The response if the store can't be read at present. */
    static ServerResponse storeUnavailable() {
        return ServerResponse.retryLater("state service");
    }

    /** The response if no leader is known or reachable. */
    static ServerResponse noLeader() {
        return ServerResponse.retryLater("no leader");
    }
}
