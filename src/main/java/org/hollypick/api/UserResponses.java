package org.hollypick.api;

import org.hollypick.io.ServerResponse;

/** Error responses that several of the users' endpoints give. */
final class UserResponses {
    private UserResponses() {}

    static ServerResponse noSuchJob() {
        return ServerResponse.error(404, "no such job");
    }

    /** The store can't be read just now. */
    static ServerResponse storeUnavailable() {
        return ServerResponse.retryLater("state service");
    }

    /** No leader is known, or it can't be asked. */
    static ServerResponse noLeader() {
        return ServerResponse.retryLater("no leader");
    }
}
