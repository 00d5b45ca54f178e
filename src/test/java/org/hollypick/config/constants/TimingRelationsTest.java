package org.hollypick.config.constants;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The relations between timing constants that safety and failover times rest on, whatever their values are. */
class TimingRelationsTest {
    /** Milliseconds after which a user gives a submission up, from the protocol. */
    private static final long USER_PATIENCE_MS = 5_000;

    /** The drift of one steady clock, from the protocol. */
    private static final double ONE_CLOCK_DRIFT = 0.0005;

    private static double atLeast(long millis) {
        return millis * (1 - ClockConstants.CLOCK_DRIFT_RATIO) - ClockConstants.CLOCK_MARGIN_MS;
    }

    private static double atMost(long millis) {
        return millis * (1 + ClockConstants.CLOCK_DRIFT_RATIO) + ClockConstants.CLOCK_MARGIN_MS;
    }

    @Test
    void clockBoundsCoverTheDriftOfBothEnds() {
        assertTrue(ClockConstants.CLOCK_DRIFT_RATIO >= 2 * ONE_CLOCK_DRIFT);
        assertTrue(ClockConstants.CLOCK_MARGIN_MS > 0);
        assertTrue(LeaseConstants.AGENT_LEASE_MARGIN_MS > 0);
    }

    @Test
    void threeRenewalsFitIntoASession() {
        assertTrue(3 * ElectionConstants.SESSION_RENEWAL_INTERVAL_MS < atLeast(ElectionConstants.SESSION_TTL_MS));
    }

    @Test
    void leaseGrantsAreRequestedAfterAMissedRenewalAndBeforeTheSessionExpires() {
        assertTrue(ElectionConstants.LEASE_GRANT_REQUEST_AFTER_MS > ElectionConstants.SESSION_RENEWAL_INTERVAL_MS);
        assertTrue(
                ElectionConstants.LEASE_GRANT_REQUEST_AFTER_MS + 2 * ElectionConstants.LEASE_GRANT_REQUEST_INTERVAL_MS
                        < atLeast(ElectionConstants.SESSION_TTL_MS));
    }

    @Test
    void severalRequestsFitIntoOneLeaseGrant() {
        assertTrue(3 * ElectionConstants.LEASE_GRANT_REQUEST_INTERVAL_MS < atLeast(ElectionConstants.LEASE_GRANT_MS));
    }

    @Test
    void relayedResponsesOutlastTheirBatchButNotASession() {
        assertTrue(RelayConstants.RELAYED_RESPONSE_VALIDITY_MS >= RelayConstants.RELAY_TIMEOUT_MS);
        assertTrue(RelayConstants.RELAYED_RESPONSE_VALIDITY_MS < atLeast(ElectionConstants.SESSION_TTL_MS));
    }

    @Test
    void aResignedLeaderIsNoCandidateWhileItsResponsesMayBeRelayed() {
        assertTrue(ElectionConstants.NO_CANDIDACY_AFTER_RESIGNATION_MS
                > atMost(RelayConstants.RELAYED_RESPONSE_VALIDITY_MS));
    }

    @Test
    void aRelayedHeartbeatIsAnsweredWhileTheWorkerWaits() {
        assertTrue(RelayConstants.RELAY_QUEUE_TIMEOUT_MS + RelayConstants.RELAY_TIMEOUT_MS
                < ReachabilityConstants.HEARTBEAT_RESPONSE_TIMEOUT_MS);
        assertTrue(ReachabilityConstants.HEARTBEAT_RESPONSE_TIMEOUT_MS
                < ReachabilityConstants.MAX_UNANSWERED_HEARTBEAT_GAP_MS);
    }

    @Test
    void aCancellationIsAnsweredWhileTheOtherControllerWaits() {
        assertTrue(JobConstants.CANCELLATION_RESPONSE_TIMEOUT_MS < StoreConstants.STORE_TIMEOUT_MS);
    }

    @Test
    void aCancellationIsRewrittenOnlyAfterItsFirstWriteTimedOut() {
        assertTrue(JobConstants.CANCELLATION_REWRITE_MS > StoreConstants.STORE_TIMEOUT_MS);
    }

    @Test
    void aStoreRequestIsOverBeforeItsUserGivesUp() {
        assertTrue(StoreConstants.STORE_QUEUE_TIMEOUT_MS + StoreConstants.STORE_TIMEOUT_MS < USER_PATIENCE_MS);
        assertTrue(GraphConstants.GRAPH_FORWARD_TIMEOUT_MS < USER_PATIENCE_MS);
    }

    @Test
    void anInnerTimeoutEndsBeforeTheOuterOne() {
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
    void twoGrantRequestsFitInBeforeTheLeaderCountsAsLost() {
        assertTrue(2 * LeaseConstants.RENEWAL_GRANT_INTERVAL_MS < LeaseConstants.LEADER_UNREACHABLE_AFTER_MS);
    }

    @Test
    void aNewFencingTokenIsTakenBeforeAttemptNumbersRunOut() {
        assertTrue(JobConstants.ATTEMPT_NUMBER_RESERVE < 1 << JobConstants.ATTEMPT_COUNTER_BITS);
    }
}
