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
 * This controller's session with the key-value store: requested, renewed at a fixed interval, and replaced by a new one
 * when the store has expired it. Keys that are attached to a session are deleted when it ends. Its validity is counted
 * from when a grant or renewal was sent, so this controller never relies on a session that the store may have expired.
 * Confined to the event loop.
 */
final class StoreSession {
    private static final Logger LOG = LoggerFactory.getLogger(StoreSession.class);

    private final EventLoop eventLoop;
    private final KeyValueStoreClient store;
    private final Runnable granted;
    private final Runnable changed;

    private long id;
    private boolean open;
    private long validUntil;
    private long renewedAt;
    private int incarnation;

    /**
     * Creates a session that is not open yet.
     *
     * @param granted runs after each grant of a new session
     * @param changed runs after each renewal, and after the loss of a session
     */
    StoreSession(EventLoop eventLoop, KeyValueStoreClient store, Runnable granted, Runnable changed) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.granted = granted;
        this.changed = changed;
    }

    /** Abandons the present session, if any, and requests a new one until the store grants it. */
    void reopen() {
        incarnation++;
        int requested = incarnation;
        open = false;
        long sentAt = eventLoop.now();
        store.grantSession(ElectionConstants.SESSION_TTL_MS, result -> {
            if (!result.ok()) {
                eventLoop.after(ElectionConstants.SESSION_RETRY_MS, this::reopen);
                return;
            }
            id = result.value();
            open = true;
            extendValidity(sentAt);
            granted.run();
            eventLoop.after(ElectionConstants.SESSION_RENEWAL_INTERVAL_MS, () -> renew(requested));
        });
    }

    private void renew(int renewed) {
        if (renewed != incarnation) {
            return;
        }
        long sentAt = eventLoop.now();
        store.renewSession(id, status -> {
            if (renewed != incarnation) {
                return;
            }
            if (status == StoreStatus.OK) {
                // A session that could be renewed never ended, so the keys attached to it still exist.
                extendValidity(sentAt);
                eventLoop.after(ElectionConstants.SESSION_RENEWAL_INTERVAL_MS, () -> renew(renewed));
                changed.run();
            } else if (status == StoreStatus.NOT_FOUND) {
                LOG.info("session.expired session={}", Long.toUnsignedString(id));
                reopen();
                changed.run();
            } else {
                eventLoop.after(ElectionConstants.SESSION_RETRY_MS, () -> renew(renewed));
            }
        });
    }

    private void extendValidity(long sentAt) {
        renewedAt = eventLoop.now();
        validUntil = sentAt + ClockBounds.atLeast(ElectionConstants.SESSION_TTL_MS);
    }

    /** The store's number of the session that was granted last. */
    long id() {
        return id;
    }

    /** Counts the sessions requested; a change means that the keys of the earlier session no longer count. */
    int incarnation() {
        return incarnation;
    }

    /** Whether the session is valid now by this controller's clock, so the store cannot have expired it. */
    boolean isValid() {
        return open && eventLoop.now() < validUntil;
    }

    /** Until when the session is valid unless renewed; {@link WorkerLeases#NEVER} while there is none. */
    long validUntil() {
        return open ? validUntil : WorkerLeases.NEVER;
    }

    /** Whether a session was granted and not abandoned since; it may have expired unnoticed. */
    boolean isOpen() {
        return open;
    }

    /** When the store last granted or renewed a session. */
    long renewedAt() {
        return renewedAt;
    }

    /** Whether the key-value store answered lately. */
    boolean reachesStore() {
        return open && eventLoop.now() - renewedAt < ElectionConstants.LEASE_GRANT_AFTER_MS;
    }
}
