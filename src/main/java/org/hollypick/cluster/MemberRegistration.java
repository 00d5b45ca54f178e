package org.hollypick.cluster;

import org.hollypick.config.Settings;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.config.constants.RelayConstants;
import org.hollypick.core.ClockBounds;
import org.hollypick.io.EventLoop;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;
import org.hollypick.store.StoreStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registers this controller in the cluster by its member key, which is created under each new session with the
 * key-value store. The key's revision identifies the incarnation; while the key exists at that revision, no other
 * controller can replace this incarnation as leader. Confined to the event loop.
 */
final class MemberRegistration {
    private static final Logger LOG = LoggerFactory.getLogger(MemberRegistration.class);

    private final EventLoop eventLoop;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final ResignationBackoff resignations;
    private final Runnable onChange;
    private final StoreSession session;
    private final RelayRevocation relayRevocation;
    /** The time from which peers no longer relay responses of an earlier process of this controller. */
    private final long earlierRelaysExpireAt;

    private long registeredRevision;
    private int registeredIncarnation;

    /**
     * Creates an unregistered member.
     *
     * @param onChange runs whenever this controller's permission to act as leader may have changed
     */
    MemberRegistration(
            EventLoop eventLoop,
            KeyValueStoreClient store,
            Settings settings,
            ResignationBackoff resignations,
            Runnable onChange) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.settings = settings;
        this.resignations = resignations;
        this.onChange = onChange;
        this.session = new StoreSession(eventLoop, store, this::register, onChange);
        this.relayRevocation = new RelayRevocation(eventLoop, settings);
        this.earlierRelaysExpireAt = eventLoop.now() + ClockBounds.atMost(RelayConstants.RELAYED_RESPONSE_VALIDITY_MS);
    }

    /** Returns the session to which the member key is attached. */
    StoreSession session() {
        return session;
    }

    /** Returns the revision of this incarnation's member key, which is unique to the incarnation; 0 without a key. */
    long memberRevision() {
        return registeredIncarnation == session.incarnation() ? registeredRevision : 0;
    }

    /** Returns whether this incarnation has a member key and its session is valid now. */
    boolean isRegistered() {
        return memberRevision() != 0 && session.isValid();
    }

    /**
     * Joins the cluster. Only one process runs under a controller's name at a time, so an existing member key belongs
     * to an earlier process that has ended; its session is ended first.
     */
    void start() {
        store.get(StoreKeys.member(settings.node()), result -> {
            if (result.ok() && result.value().sessionId().isPresent()) {
                long earlierSession = result.value().sessionId().getAsLong();
                endEarlierSession(earlierSession, result.value().revision());
            } else if (result.ok() || result.status() == StoreStatus.NOT_FOUND) {
                session.reopen();
            } else {
                eventLoop.after(ElectionConstants.JOIN_RETRY_MS, this::start);
            }
        });
    }

    /**
     * Ends the session of an earlier process. Peers must have stopped relaying its responses before, since a successor
     * may start as soon as the session ends.
     */
    private void endEarlierSession(long earlierSession, long memberRevision) {
        long expiresInMs = earlierRelaysExpireAt - eventLoop.now();
        relayRevocation.await(
                memberRevision,
                expiresInMs,
                () -> store.endSession(earlierSession, status -> {
                    LOG.info(
                            "session.ended session={} status={} cause=restart",
                            Long.toUnsignedString(earlierSession),
                            status);
                    if (status == StoreStatus.OK || status == StoreStatus.NOT_FOUND) {
                        session.reopen();
                    } else {
                        eventLoop.after(ElectionConstants.JOIN_RETRY_MS, this::start);
                    }
                }));
    }

    /** Ends this incarnation, and its leadership if it leads, and joins the cluster as a new incarnation. */
    void rejoin() {
        long endedSession = session.id();
        long endedMemberRevision = memberRevision();
        session.reopen();
        relayRevocation.await(
                endedMemberRevision,
                ClockBounds.atMost(RelayConstants.RELAYED_RESPONSE_VALIDITY_MS),
                () -> store.endSession(
                        endedSession,
                        status -> LOG.info(
                                "session.ended session={} status={} cause=resignation",
                                Long.toUnsignedString(endedSession),
                                status)));
    }

    private void register() {
        createMemberKey(session.incarnation());
    }

    private void createMemberKey(int incarnation) {
        if (incarnation != session.incarnation()) {
            return;
        }
        MemberRecord member =
                new MemberRecord(settings.zone(), settings.meshAddr(), resignations.ownResignationTimes());
        String key = StoreKeys.member(settings.node());
        // Conditional on the key's absence: a delayed write must not give the key a new revision, which peers would
        // consider a new incarnation while this one is still active.
        CompareAndSwap transaction = new CompareAndSwap()
                .expectAbsent(key)
                .putWithSession(key, ClusterRecordCodec.write(member), session.id());
        store.commitUrgently(transaction, result -> {
            if (incarnation != session.incarnation()) {
                return;
            }
            if (result.committed()) {
                registered(result.revision());
            } else if (result.conflicted()) {
                adoptMemberKey(incarnation);
            } else if (result.invalid()) {
                session.reopen();
            } else {
                retryCreateMemberKey(incarnation);
            }
        });
    }

    /**
     * Adopts an existing member key if it is attached to the current session: an earlier attempt to create it may have
     * been applied although its response reported a failure or was lost.
     */
    private void adoptMemberKey(int incarnation) {
        store.get(StoreKeys.member(settings.node()), result -> {
            if (incarnation != session.incarnation()) {
                return;
            }
            if (result.ok() && result.value().sessionId().orElse(0) == session.id()) {
                registered(result.value().revision());
            } else {
                retryCreateMemberKey(incarnation);
            }
        });
    }

    private void retryCreateMemberKey(int incarnation) {
        eventLoop.after(ElectionConstants.STORE_RETRY_MS, () -> createMemberKey(incarnation));
    }

    private void registered(long memberRevision) {
        registeredRevision = memberRevision;
        registeredIncarnation = session.incarnation();
        LOG.info(
                "member.registered session={} member_revision={}",
                Long.toUnsignedString(session.id()),
                Long.toUnsignedString(memberRevision));
        onChange.run();
    }
}
