package org.hollypick.config.constants;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks the relations between timing constants on which safety and failover times depend. */
class TimingRelationsTest {
    /** Milliseconds until a user's submission times out, as the protocol specifies. */
    private static final long USER_TIMEOUT_MS = 5_000;

    /** Maximum drift of one steady clock, as the protocol specifies. */
    private static final double SINGLE_CLOCK_DRIFT_RATIO = 0.0005;

    /** The shortest time on this process's clock that may pass while another clock measures {@code millis}. */
    private static double lowerBoundMs(long millis) {
        return millis * (1 - ClockConstants.CLOCK_DRIFT_RATIO) - ClockConstants.CLOCK_MARGIN_MS;
    }

    /** The longest time on this process's clock that may pass while another clock measures {@code millis}. */
    private static double upperBoundMs(long millis) {
        return millis * (1 + ClockConstants.CLOCK_DRIFT_RATIO) + ClockConstants.CLOCK_MARGIN_MS;
    }

    @Test
    void clockBoundsCoverTheDriftOfBothClocks() {
        assertTrue(ClockConstants.CLOCK_DRIFT_RATIO >= 2 * SINGLE_CLOCK_DRIFT_RATIO);
        assertTrue(ClockConstants.CLOCK_MARGIN_MS > 0);
        assertTrue(LeaseConstants.AGENT_LEASE_MARGIN_MS > 0);
    }

    @Test
    void threeRenewalsFitIntoASession() {
        assertTrue(3 * ElectionConstants.SESSION_RENEWAL_INTERVAL_MS < lowerBoundMs(ElectionConstants.SESSION_TTL_MS));
    }

    @Test
    void leaseGrantsAreRequestedAfterAMissedRenewalAndBeforeTheSessionExpires() {
        assertTrue(ElectionConstants.LEASE_GRANT_REQUEST_AFTER_MS > ElectionConstants.SESSION_RENEWAL_INTERVAL_MS);
        assertTrue(
                ElectionConstants.LEASE_GRANT_REQUEST_AFTER_MS + 2 * ElectionConstants.LEASE_GRANT_REQUEST_INTERVAL_MS
                        < lowerBoundMs(ElectionConstants.SESSION_TTL_MS));
    }

    @Test
    void threeRequestRoundsFitIntoOneLeaseGrant() {
        assertTrue(
                3 * ElectionConstants.LEASE_GRANT_REQUEST_INTERVAL_MS < lowerBoundMs(ElectionConstants.LEASE_GRANT_MS));
    }

    @Test
    void relayedResponsesAreValidForABatchTimeoutButShorterThanASession() {
        assertTrue(RelayConstants.RELAYED_RESPONSE_VALIDITY_MS >= RelayConstants.RELAY_TIMEOUT_MS);
        assertTrue(RelayConstants.RELAYED_RESPONSE_VALIDITY_MS < lowerBoundMs(ElectionConstants.SESSION_TTL_MS));
    }

    @Test
    void aResignedLeaderIsNoCandidateWhileItsResponsesMayBeRelayed() {
        assertTrue(ElectionConstants.NO_CANDIDACY_AFTER_RESIGNATION_MS
                > upperBoundMs(RelayConstants.RELAYED_RESPONSE_VALIDITY_MS));
    }

    @Test
    void aRelayedHeartbeatIsAnsweredBeforeTheAgentTimesOut() {
        assertTrue(RelayConstants.RELAY_QUEUE_TIMEOUT_MS + RelayConstants.RELAY_TIMEOUT_MS
                < ReachabilityConstants.HEARTBEAT_RESPONSE_TIMEOUT_MS);
        assertTrue(ReachabilityConstants.HEARTBEAT_RESPONSE_TIMEOUT_MS
                < ReachabilityConstants.MAX_UNANSWERED_HEARTBEAT_GAP_MS);
    }

    @Test
    void aCancellationIsAnsweredBeforeTheForwardingControllerTimesOut() {
        assertTrue(JobConstants.CANCELLATION_RESPONSE_TIMEOUT_MS < StoreConstants.STORE_TIMEOUT_MS);
    }

    @Test
    void aCancellationIsRewrittenOnlyAfterItsFirstWriteTimedOut() {
        assertTrue(JobConstants.CANCELLATION_REWRITE_MS > StoreConstants.STORE_TIMEOUT_MS);
    }

    @Test
    void queuedStoreRequestsAndForwardedGraphRequestsTimeOutBeforeTheUser() {
        assertTrue(StoreConstants.STORE_QUEUE_TIMEOUT_MS + StoreConstants.STORE_TIMEOUT_MS < USER_TIMEOUT_MS);
        assertTrue(GraphConstants.GRAPH_FORWARD_TIMEOUT_MS < USER_TIMEOUT_MS);
    }

    @Test
    void innerTimeoutsAreShorterThanTheTimeoutsAroundThem() {
        assertTrue(GraphConstants.GRAPH_RESPONSE_TIMEOUT_MS < GraphConstants.GRAPH_FORWARD_TIMEOUT_MS);
        assertTrue(StoreConstants.WATCH_WAIT_MS < ReachabilityConstants.FORWARDED_REQUEST_TIMEOUT_MS);
        assertTrue(ReachabilityConstants.PEER_CHECK_PROBE_TIMEOUT_MS < ReachabilityConstants.PEER_CHECK_TIMEOUT_MS);
        assertTrue(ElectionConstants.CANDIDACY_ASK_PEERS_AFTER_MS < ElectionConstants.CANDIDACY_PROBE_TIMEOUT_MS);
    }

    @Test
    void twoProbesFitInBeforeAMachineCountsAsUnresponsive() {
        long twoProbes = 2 * NetworkConstants.COMMAND_TIMEOUT_MS + FailureDetectionConstants.DIRECT_CALL_RETRY_MS;
        assertTrue(twoProbes < FailureDetectionConstants.UNRESPONSIVE_AFTER_MS);
        assertTrue(twoProbes < FailureDetectionConstants.FAILOVER_GRACE_MS);
    }

    @Test
    void twoGrantRequestsFitInBeforeTheLeaderCountsAsUnreachable() {
        assertTrue(2 * LeaseConstants.RENEWAL_GRANT_INTERVAL_MS < LeaseConstants.LEADER_UNREACHABLE_AFTER_MS);
    }

    @Test
    void aNewFencingTokenIsTakenBeforeAttemptNumbersRunOut() {
        assertTrue(JobConstants.ATTEMPT_NUMBER_RESERVE < 1 << JobConstants.ATTEMPT_COUNTER_BITS);
    }
}
