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
 * The member key of this controller: it is created under each new session with the key-value store, and its revision
 * identifies this incarnation. While the key exists at that revision, no other controller can become leader in place of
 * this incarnation. Confined to the event loop.
 */
final class MemberRegistration {
    private static final Logger LOG = LoggerFactory.getLogger(MemberRegistration.class);

    private final EventLoop eventLoop;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final ResignationBackoff resignations;
    private final Runnable changed;
    private final StoreSession session;
    private final RelayRevocation relayRevocation;
    /** When peers no longer relay any response that an earlier process of this controller gave. */
    private final long earlierRelaysExpireAt;

    private long registeredRevision;
    private int registeredIncarnation;

    /** {@code changed} runs whenever this controller's right to act may have changed. */
    MemberRegistration(
            EventLoop eventLoop,
            KeyValueStoreClient store,
            Settings settings,
            ResignationBackoff resignations,
            Runnable changed) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.settings = settings;
        this.resignations = resignations;
        this.changed = changed;
        this.session = new StoreSession(eventLoop, store, this::register, changed);
        this.relayRevocation = new RelayRevocation(eventLoop, settings);
        this.earlierRelaysExpireAt = eventLoop.now() + ClockBounds.atMost(RelayConstants.RELAY_VALIDITY_MS);
    }

    /** The session that the member key is attached to. */
    StoreSession session() {
        return session;
    }

    /** The revision of this incarnation's member key, which no other incarnation ever has; 0 while there is none. */
    long memberRevision() {
        return registeredIncarnation == session.incarnation() ? registeredRevision : 0;
    }

    /** Whether this incarnation has its member key, and its session is valid now. */
    boolean isRegistered() {
        return memberRevision() != 0 && session.isValid();
    }

    /**
     * Joins the group. Only one process runs under a controller's name at a time, so a member key found now belongs to
     * an earlier process that is dead: its session is ended first.
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

    /** A successor may start when the session ends, so peers must have stopped relaying before. */
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

    /** Ends this incarnation, and with it any leadership, and joins again as a new one. */
    void rejoin() {
        long endedSession = session.id();
        long endedMemberRevision = memberRevision();
        session.reopen();
        relayRevocation.await(
                endedMemberRevision,
                ClockBounds.atMost(RelayConstants.RELAY_VALIDITY_MS),
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
        // Conditional on the key's absence: a write that is applied late must not give the key a new revision, which
        // the others would take for a new incarnation while this one still acts.
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
     * The key exists already: it is this incarnation's own if an earlier try was applied although it seemed to fail.
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
        eventLoop.after(ElectionConstants.SESSION_RETRY_MS, () -> createMemberKey(incarnation));
    }

    private void registered(long memberRevision) {
        registeredRevision = memberRevision;
        registeredIncarnation = session.incarnation();
        LOG.info(
                "member.registered session={} member_revision={}",
                Long.toUnsignedString(session.id()),
                Long.toUnsignedString(memberRevision));
        changed.run();
    }
}
