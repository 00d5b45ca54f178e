package org.hollypick.cluster;

import org.hollypick.config.Settings;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.io.EventLoop;

/**
 * Detects when users are better served by another controller: this one cannot reach the key-value store while a peer
 * can, or it reaches neither the store nor any peer. Confined to the event loop.
 */
final class IsolationDetector {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final StoreSession session;
    private long isolatedUntil;
    private long lastPeerResponseAt;

    IsolationDetector(EventLoop eventLoop, Settings settings, StoreSession session) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.session = session;
    }

    /** Records a response of a peer, which reports whether the peer reaches the key-value store. */
    void peerResponded(boolean peerReachesStore) {
        lastPeerResponseAt = eventLoop.now();
        if (peerReachesStore) {
            isolatedUntil = eventLoop.now() + ElectionConstants.ISOLATION_EXTENSION_MS;
        }
    }

    /** Returns whether this controller is isolated now. */
    boolean isIsolated() {
        return !session.reachesStore() && (eventLoop.now() < isolatedUntil || reachesNeitherStoreNorPeers());
    }

    private boolean reachesNeitherStoreNorPeers() {
        long lastContactAt = Math.max(lastPeerResponseAt, session.renewedAt());
        return !settings.siblings().isEmpty() && eventLoop.now() - lastContactAt > ElectionConstants.SESSION_TTL_MS;
    }
}
