package org.hollypick.cluster;

import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.core.ClockBounds;
import org.hollypick.core.WorkerLeases;
import org.hollypick.io.EventLoop;
import org.hollypick.store.KeyValueStoreClient;
import org.hollypick.store.StoreStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's session with the key-value store. It is renewed at a fixed interval, and replaced by a new session
 * when the store has expired it. The store deletes the keys attached to a session when the session ends. Validity is
 * counted from when the request for a grant or renewal was sent, so that this controller never relies on a session that
 * the store may have expired. Confined to the event loop.
 */
final class StoreSession {
    private static final Logger LOG = LoggerFactory.getLogger(StoreSession.class);

    private final EventLoop eventLoop;
    private final KeyValueStoreClient store;
    private final Runnable onGranted;
    private final Runnable onChange;

    private long id;
    private boolean open;
    private long validUntil;
    private long renewedAt;
    private int incarnation;

    /**
     * Creates a session that is not open yet.
     *
     * @param onGranted runs after each grant of a new session
     * @param onChange runs after each renewal, and after a session has expired
     */
    StoreSession(EventLoop eventLoop, KeyValueStoreClient store, Runnable onGranted, Runnable onChange) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.onGranted = onGranted;
        this.onChange = onChange;
    }

    /** Abandons the current session, if any, and requests a new one until the store grants it. */
    void reopen() {
        incarnation++;
        int requestedIncarnation = incarnation;
        open = false;
        long sentAt = eventLoop.now();
        store.grantSession(ElectionConstants.SESSION_TTL_MS, result -> {
            if (!result.ok()) {
                eventLoop.after(ElectionConstants.STORE_RETRY_MS, this::reopen);
                return;
            }
            id = result.value();
            open = true;
            extendValidity(sentAt);
            onGranted.run();
            eventLoop.after(ElectionConstants.SESSION_RENEWAL_INTERVAL_MS, () -> renew(requestedIncarnation));
        });
    }

    private void renew(int renewedIncarnation) {
        if (renewedIncarnation != incarnation) {
            return;
        }
        long sentAt = eventLoop.now();
        store.renewSession(id, status -> {
            if (renewedIncarnation != incarnation) {
                return;
            }
            if (status == StoreStatus.OK) {
                // The store renews only sessions that have not ended, so the keys attached to this one still exist.
                extendValidity(sentAt);
                eventLoop.after(ElectionConstants.SESSION_RENEWAL_INTERVAL_MS, () -> renew(renewedIncarnation));
                onChange.run();
            } else if (status == StoreStatus.NOT_FOUND) {
                LOG.info("session.expired session={}", Long.toUnsignedString(id));
                reopen();
                onChange.run();
            } else {
                eventLoop.after(ElectionConstants.STORE_RETRY_MS, () -> renew(renewedIncarnation));
            }
        });
    }

    private void extendValidity(long sentAt) {
        renewedAt = eventLoop.now();
        validUntil = sentAt + ClockBounds.atLeast(ElectionConstants.SESSION_TTL_MS);
    }

    /** Returns the store's identifier of the session that was granted last. */
    long id() {
        return id;
    }

    /**
     * Returns the number of sessions requested so far. After it has changed, this controller no longer relies on keys
     * attached to an earlier session.
     */
    int incarnation() {
        return incarnation;
    }

    /** Returns whether the session is valid now by this controller's clock: the store cannot have expired it. */
    boolean isValid() {
        return open && eventLoop.now() < validUntil;
    }

    /**
     * Returns the time until which the session is valid unless renewed; {@link WorkerLeases#NEVER} without a session.
     */
    long validUntil() {
        return open ? validUntil : WorkerLeases.NEVER;
    }

    /**
     * Returns whether a session was granted and has not been abandoned since; the store may have expired it meanwhile.
     */
    boolean isOpen() {
        return open;
    }

    /** Returns the time of the store's last response that granted or renewed a session. */
    long renewedAt() {
        return renewedAt;
    }

    /** Returns whether the key-value store granted or renewed the session recently. */
    boolean reachesStore() {
        return open && eventLoop.now() - renewedAt < ElectionConstants.LEASE_GRANT_REQUEST_AFTER_MS;
    }
}
