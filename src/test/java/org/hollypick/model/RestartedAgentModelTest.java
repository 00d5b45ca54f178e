package org.hollypick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.hollypick.model.StateSearch.Result;
import org.hollypick.model.StateSearch.Successors;
import org.junit.jupiter.api.Test;

/**
 * Explores every interleaving around an agent that restarts with its first incarnation, its sequence numbers and tokens
 * from the start, while heartbeats and direct calls from before a restart arrive late and repeatedly.
 *
 * <p>Bounds: two restarts, so three processes; four sequence numbers of each; four tokens; two heartbeats that may
 * arrive at any time and any number of times; one direct call at a time, the last of which may be executed once more at
 * any time.
 *
 * <p>Invariants: once the leader has told a restarted process apart, it applies no heartbeat of an earlier one
 * ({@code APPLIED_HEARTBEAT_OF_EARLIER_PROCESS}); the process refuses every launch that was sent in a direct call
 * before ({@code EARLIER_LAUNCH_ACCEPTED}).
 */
class RestartedAgentModelTest {
    private static final int MAX_RESTARTS = 2;
    private static final int MAX_SEQUENCE = 4;
    private static final int NO_TOKEN = 0;
    private static final int FIRST_TOKEN = 1;
    private static final int MAX_TOKEN = 3;
    /** The newest sequence number that the leader knows at first, from the first process. */
    private static final int KNOWN_SEQUENCE = 2;

    /** Defects that can be built into the model, to prove that the search detects each of them. */
    private enum Fault {
        NONE,
        TRUSTS_A_TOKEN_THAT_OTHER_MESSAGES_CARRIED,
        IGNORES_TOKENS_OF_HEARTBEATS,
        TRUSTS_A_REFUSED_CALL
    }

    private enum Violation {
        APPLIED_HEARTBEAT_OF_EARLIER_PROCESS,
        EARLIER_LAUNCH_ACCEPTED
    }

    private record Message(int process, int sequence, int token) {
        private static final int BITS = 8;

        static int packed(Message message) {
            return message == null ? 0 : 1 + (message.process << 5 | message.sequence << 2 | message.token);
        }
    }

    private record Call(int token, int knownSequence) {}

    /** One state of the model; copied for each transition, and not changed once passed to the search. */
    private static final class State extends CopyableState<State> {
        // The agent.
        int process;
        int sequence = KNOWN_SEQUENCE;
        int agentToken = FIRST_TOKEN;

        // Messages.
        Message heartbeat;
        Message lateHeartbeat;
        Message otherLateHeartbeat;
        int replyToken = NO_TOKEN;
        Call call;
        Message callResponse;
        int repeatedCallToken = NO_TOKEN;

        // The leader.
        int known = KNOWN_SEQUENCE;
        int seenToken = FIRST_TOKEN;
        int sentToken = FIRST_TOKEN;
        boolean carriedByOthers = true;
        int usableToken = FIRST_TOKEN;
        boolean checkPending;
        boolean expired;
        /** The process that the leader has told apart from earlier ones. */
        int fencedProcess;

        Violation violation;

        StateKey.Packed key() {
            StateKey key = new StateKey().number(process, 2).number(sequence, 3).number(agentToken, 2);
            key.number(Message.packed(heartbeat), Message.BITS);
            key.number(Message.packed(lateHeartbeat), Message.BITS);
            key.number(Message.packed(otherLateHeartbeat), Message.BITS);
            key.number(replyToken, 2);
            key.number(call == null ? 0 : 1 + call.token, 3).number(call == null ? 0 : call.knownSequence, 3);
            key.number(Message.packed(callResponse), Message.BITS).number(repeatedCallToken, 2);
            key.number(known, 3).number(seenToken, 2).number(sentToken, 2).flag(carriedByOthers);
            key.number(usableToken, 2).flag(checkPending).flag(expired).number(fencedProcess, 2);
            return key.packed();
        }

        @Override
        public String toString() {
            return "process=" + process + " sequence=" + sequence + " token=" + agentToken + " call=" + call
                    + " known=" + known + "@" + seenToken + " sent=" + sentToken + " fenced=" + fencedProcess
                    + " expired=" + expired + " violation=" + violation + "\n";
        }

        // ---- the agent ----

        void restart() {
            process++;
            sequence = 0;
            agentToken = NO_TOKEN;
            heartbeat = null;
            replyToken = NO_TOKEN;
        }

        void sendHeartbeat() {
            sequence++;
            heartbeat = new Message(process, sequence, agentToken);
            replyToken = NO_TOKEN;
        }

        void receiveReply() {
            agentToken = Math.max(agentToken, replyToken);
            replyToken = NO_TOKEN;
        }

        /** Executes or refuses the call in flight. */
        void receiveCall() {
            sequence++;
            agentToken = Math.max(agentToken, call.token);
            callResponse = new Message(process, sequence, agentToken);
            repeatedCallToken = call.token;
        }

        /** The call names another incarnation than the agent's: it changes nothing. */
        void refuseCall() {
            sequence++;
            callResponse = new Message(process, sequence, agentToken);
        }

        // ---- the leader ----

        /** Applies a heartbeat if it is the newest; returns whether it is answered with the token. */
        boolean receiveHeartbeat(Message message, Fault fault) {
            if (message.token == NO_TOKEN && seenToken != NO_TOKEN) {
                checkPending = true;
            }
            boolean precedesRestart = message.token < seenToken && fault != Fault.IGNORES_TOKENS_OF_HEARTBEATS;
            if (message.sequence <= known || precedesRestart || expired) {
                return false;
            }
            applyState(message);
            carriedByOthers = true;
            return true;
        }

        private void applyState(Message message) {
            known = message.sequence;
            seenToken = message.token;
            if (message.process < fencedProcess) {
                violation = Violation.APPLIED_HEARTBEAT_OF_EARLIER_PROCESS;
            }
        }

        void sendCheck() {
            carriedByOthers = usableToken == sentToken;
            sentToken = usableToken;
            call = new Call(sentToken, known);
        }

        void sendOrdinaryCall() {
            carriedByOthers = true;
            call = new Call(sentToken, known);
        }

        void receiveCallResponse(Fault fault) {
            Message response = callResponse;
            boolean restarted = response.sequence <= call.knownSequence;
            boolean executedOnlyHere = response.token == call.token && call.token == sentToken && !carriedByOthers;
            if (!restarted) {
                checkPending = false;
                receiveAsHeartbeat(response, fault);
            } else if (executedOnlyHere || trusts(fault)) {
                fence(response);
            } else {
                expired = true;
                checkPending = true;
            }
            endCall();
        }

        private boolean trusts(Fault fault) {
            return switch (fault) {
                case TRUSTS_A_TOKEN_THAT_OTHER_MESSAGES_CARRIED -> callResponse.token == call.token;
                case TRUSTS_A_REFUSED_CALL -> call.token == sentToken && !carriedByOthers;
                default -> false;
            };
        }

        private void receiveAsHeartbeat(Message response, Fault fault) {
            boolean precedesRestart = response.token < seenToken && fault != Fault.IGNORES_TOKENS_OF_HEARTBEATS;
            if (response.sequence > known && !precedesRestart && !expired) {
                applyState(response);
            }
        }

        private void fence(Message response) {
            applyState(response);
            fencedProcess = response.process;
            expired = false;
            checkPending = false;
            boolean launchAccepted = process == response.process && agentToken < sentToken;
            violation = launchAccepted ? Violation.EARLIER_LAUNCH_ACCEPTED : violation;
        }

        void endCall() {
            call = null;
            callResponse = null;
        }
    }

    private static void addSuccessors(State state, Fault fault, Successors<State> successors) {
        addAgentTransitions(state, successors);
        addLateMessages(state, fault, successors);
        addLeaderTransitions(state, fault, successors);
    }

    private static void addAgentTransitions(State state, Successors<State> successors) {
        if (state.process < MAX_RESTARTS) {
            successors.add("the agent restarts", state.after(State::restart));
        }
        if (state.sequence < MAX_SEQUENCE) {
            successors.add("the agent sends a heartbeat", state.after(State::sendHeartbeat));
        }
        if (state.replyToken != NO_TOKEN) {
            successors.add("the response reaches the agent", state.after(State::receiveReply));
        }
        if (state.call != null && state.callResponse == null && state.sequence < MAX_SEQUENCE) {
            successors.add("the call reaches the agent", state.after(State::receiveCall));
            successors.add("the agent refuses the call", state.after(State::refuseCall));
        }
        if (state.repeatedCallToken > state.agentToken) {
            successors.add(
                    "a copy of a call reaches the agent",
                    state.after(next -> next.agentToken = next.repeatedCallToken));
        }
    }

    private static void addLateMessages(State state, Fault fault, Successors<State> successors) {
        if (state.heartbeat != null && state.lateHeartbeat == null) {
            successors.add("a heartbeat is delayed", state.after(next -> next.lateHeartbeat = next.heartbeat));
        }
        if (state.heartbeat != null && state.lateHeartbeat != null && state.otherLateHeartbeat == null) {
            successors.add(
                    "another heartbeat is delayed", state.after(next -> next.otherLateHeartbeat = next.heartbeat));
        }
        if (state.lateHeartbeat != null) {
            successors.add(
                    "the delayed heartbeat reaches the leader",
                    state.after(next -> next.receiveHeartbeat(next.lateHeartbeat, fault)));
        }
        if (state.otherLateHeartbeat != null) {
            successors.add(
                    "the other delayed heartbeat reaches the leader",
                    state.after(next -> next.receiveHeartbeat(next.otherLateHeartbeat, fault)));
        }
    }

    private static void addLeaderTransitions(State state, Fault fault, Successors<State> successors) {
        if (state.heartbeat != null) {
            successors.add("the heartbeat reaches the leader", state.after(next -> {
                next.replyToken = next.receiveHeartbeat(next.heartbeat, fault) ? next.sentToken : NO_TOKEN;
                next.heartbeat = null;
            }));
        }
        if (state.usableToken < MAX_TOKEN) {
            successors.add("a newer token may be used", state.after(next -> next.usableToken++));
        }
        if (state.call == null) {
            successors.add(
                    "the leader calls the agent",
                    state.after(state.checkPending ? State::sendCheck : State::sendOrdinaryCall));
        } else {
            successors.add("the call times out", state.after(State::endCall));
        }
        if (state.callResponse != null) {
            successors.add("the response to the call arrives", state.after(next -> next.receiveCallResponse(fault)));
        }
    }

    private static Result<State> search(Fault fault) {
        return StateSearch.runByKey(
                List.of(new State()),
                (state, successors) -> addSuccessors(state, fault, successors),
                state -> state.violation != null,
                State::key);
    }

    @Test
    void heartbeatsFromBeforeAFencedRestartAreIgnoredInAnyInterleaving() {
        Result<State> result = search(Fault.NONE);
        assertFalse(result.violationFound(), () -> result.actions() + "\n" + result.trace());
        assertTrue(result.stateCount() > 10_000, "states " + result.stateCount());
        System.out.println("restarted agent model: states " + result.stateCount());
    }

    @Test
    void everyInjectedFaultViolatesAnInvariant() {
        Map<Fault, Violation> violations = new EnumMap<>(Fault.class);
        for (Fault fault : Fault.values()) {
            if (fault != Fault.NONE) {
                Result<State> result = search(fault);
                assertTrue(result.violationFound(), fault.toString());
                violations.put(fault, result.violatingState().violation);
                System.out.println("restarted agent model: " + fault + ": " + result.actions());
            }
        }
        assertEquals(
                Violation.APPLIED_HEARTBEAT_OF_EARLIER_PROCESS,
                violations.get(Fault.TRUSTS_A_TOKEN_THAT_OTHER_MESSAGES_CARRIED));
        assertEquals(Violation.EARLIER_LAUNCH_ACCEPTED, violations.get(Fault.TRUSTS_A_REFUSED_CALL));
    }
}
