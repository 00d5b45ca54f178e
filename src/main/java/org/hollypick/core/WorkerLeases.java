package org.hollypick.core;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.LeaseConstants;
import org.hollypick.config.constants.ReachabilityConstants;

/**
 * Decides when an agent's lease has expired for certain, although peers of the leader may renew leases while a network
 * partition separates them from the leader and the key-value store (docs/safety.md). Each peer repeatedly requests a
 * grant from the leader; a granted response lets the peer renew leases under this term's fencing token, for a time that
 * is counted from when the peer sent the request.
 *
 * <p>One instance serves one term. All times are milliseconds of this leader's clock. Confined to the event loop.
 */
public final class WorkerLeases {
    /** Earlier than any clock's time, and far enough from {@link Long#MIN_VALUE} that subtractions don't overflow. */
    public static final long NEVER = -(1L << 61);

    /** The number that a peer sends if it has received no response from this leader since the peer started. */
    public static final long NO_GRANT_NUMBER = 0;

    /** When one peer may have renewed leases, according to its requests and the responses to them. */
    private static final class PeerRenewals {
        /** The peer renews no lease under an older fencing token after this time. */
        private long olderTokensUntil;

        /** Whether the peer requested a grant in this term. */
        private boolean requested;

        /** When the newest responses to the peer were sent, by response number, oldest first. */
        private final Map<Long, Long> responseTimes = new LinkedHashMap<>();
        /**
         * All renewals by the peer before this time are known: the peer received a response that was sent at this time,
         * and sent a request with a report of its renewals afterwards.
         */
        private long accountedUntil = NEVER;
        /** The last time at which the peer may have renewed leases, according to its reports. */
        private long lastRenewalAt = NEVER;
        /** The last time at which a grant to the peer may be valid. */
        private long grantedUntil = NEVER;

        private PeerRenewals(long olderTokensUntil) {
            this.olderTokensUntil = olderTokensUntil;
        }

        private void requestReceived(long lastGrantNumber, boolean renewedLeases, long now) {
            if (!requested) {
                requested = true;
                // The peer has received this term's fencing token: from now on it renews no lease under an older one.
                olderTokensUntil = Math.min(olderTokensUntil, now);
            }
            // A peer that has received no response from this leader may have restarted. Its report then lacks the
            // renewals of its earlier process, but that process has ended by now.
            if (renewedLeases || lastGrantNumber == NO_GRANT_NUMBER) {
                lastRenewalAt = Math.max(lastRenewalAt, now);
            }
            Long responseTime = responseTimes.get(lastGrantNumber);
            if (responseTime != null) {
                accountedUntil = Math.max(accountedUntil, responseTime);
            }
        }

        private void responseSent(long number, long now) {
            responseTimes.put(number, now);
            while (responseTimes.size() > LeaseConstants.MAX_TRACKED_GRANTS_PER_CONTROLLER) {
                responseTimes.remove(responseTimes.keySet().iterator().next());
            }
        }
    }

    /** The longest time that an agent's lease may last on this leader's clock. */
    private final long leaseMs;

    /** How long a grant lasts on the peer's clock. */
    private final long grantMs;

    private final long termStartedAt;
    private final Map<String, PeerRenewals> peers = new HashMap<>();
    /** When this controller itself last renewed leases without a valid leader lease. */
    private long ownRenewalAt = NEVER;

    /** The number of responses sent, which is the number of the newest one. */
    private long responses;

    /** @param firstTerm whether there was no earlier leader that could have granted renewals */
    public WorkerLeases(Settings settings, Collection<String> peerNames, long termStartedAt, boolean firstTerm) {
        this.grantMs = renewalGrantMs(settings);
        this.leaseMs = ClockBounds.atMost(settings.leaseS() * 1000) + LeaseConstants.AGENT_LEASE_MARGIN_MS;
        this.termStartedAt = termStartedAt;
        long olderTokensUntil = firstTerm ? NEVER : termStartedAt + ClockBounds.atMost(grantMs);
        for (String peer : peerNames) {
            peers.put(peer, new PeerRenewals(olderTokensUntil));
        }
    }

    /** When this term began. */
    long termStartedAt() {
        return termStartedAt;
    }

    /**
     * How long a grant lets a peer renew leases, in milliseconds; 0 if the settings leave no time for it. A
     * cancellation that is missing from the peer's replica was acknowledged after the grant, so every lease that the
     * peer renews must expire within the time that a cancelled task has to end.
     */
    public static long renewalGrantMs(Settings settings) {
        long availableMs = (long) ((settings.cancelS() - settings.leaseS()) * 1000);
        long grantMs = availableMs - LeaseConstants.RENEWAL_GRANT_MARGIN_MS;
        return grantMs < LeaseConstants.MIN_RENEWAL_GRANT_MS ? 0 : grantMs;
    }

    /**
     * Records a peer's request for a grant under this term's fencing token.
     *
     * @param lastGrantNumber the number of the newest response that the peer received
     * @param renewedLeases whether the peer renewed leases since its last request that was answered
     */
    public void grantRequested(String peer, long lastGrantNumber, boolean renewedLeases, long now) {
        PeerRenewals renewals = peers.get(peer);
        if (renewals != null) {
            renewals.requestReceived(lastGrantNumber, renewedLeases, now);
        }
    }

    /** Records the response that is sent to a peer now, and returns its number. */
    public long responseSent(String peer, boolean granted, long now) {
        responses++;
        PeerRenewals renewals = peers.get(peer);
        if (renewals != null) {
            renewals.responseSent(responses, now);
            if (granted) {
                renewals.grantedUntil = Math.max(renewals.grantedUntil, now + ClockBounds.atMost(grantMs));
            }
        }
        return responses;
    }

    /** Whether all peers requested grants in this term, so that none of them runs a version without such requests. */
    public boolean allPeersRequestedGrants() {
        return peers.values().stream().allMatch(renewals -> renewals.requested);
    }

    /** Records that this controller itself renewed leases without a valid leader lease. */
    public void renewedWithoutLeaderLease(long now) {
        ownRenewalAt = Math.max(ownRenewalAt, now);
    }

    /**
     * Whether a lease renewed at {@code renewedAt} is certainly still valid, even if the agent sent the heartbeat that
     * renewed it {@link ReachabilityConstants#MAX_UNANSWERED_HEARTBEAT_GAP_MS} before.
     */
    public boolean isValid(long renewedAt, long now) {
        return now - renewedAt < leaseMs - ReachabilityConstants.MAX_UNANSWERED_HEARTBEAT_GAP_MS;
    }

    /** Whether a lease that this leader last renewed, or first saw, at {@code renewedAt} has certainly expired. */
    public boolean isExpired(long renewedAt, long now) {
        if (now - renewedAt <= leaseMs) {
            return false; // by far the most common case
        }
        long lastRenewalAt = Math.max(Math.max(renewedAt, termStartedAt), ownRenewalAt);
        long accountedUntil = now;
        long grantedUntil = lastRenewalAt;
        for (PeerRenewals peer : peers.values()) {
            lastRenewalAt = Math.max(lastRenewalAt, Math.max(peer.olderTokensUntil, peer.lastRenewalAt));
            accountedUntil = Math.min(accountedUntil, peer.accountedUntil);
            grantedUntil = Math.max(grantedUntil, peer.grantedUntil);
        }
        // The lease expired while all renewals were known, or after the last renewal that any grant allowed.
        boolean expiredWhileAccounted = accountedUntil - lastRenewalAt > leaseMs;
        boolean expiredAfterAllGrants = now - Math.max(lastRenewalAt, grantedUntil) > leaseMs;
        return expiredWhileAccounted || expiredAfterAllGrants;
    }
}
