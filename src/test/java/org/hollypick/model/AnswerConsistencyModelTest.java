package org.hollypick.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.hollypick.model.StateSearch.Result;
import org.hollypick.model.StateSearch.Successors;
import org.junit.jupiter.api.Test;

/**
 * Explores every interleaving of three controllers that answer users about one job while the job is created and ends,
 * the leader changes and responses of the key-value store are lost.
 *
 * <p>Bounds: three controllers whose replicas of the store may be arbitrarily stale; three revisions (the job is
 * created, it ends, the leader changes) in any order; any number of user requests to any controllers, each a status
 * query or a submission, one after the other (an answer need not reflect the answer to a concurrent request); up to two
 * writes of the job's end. Any write may be applied late, or its response lost. A controller asks the leader or reads
 * the records, and the leader may once find its watch compacted and reload all records.
 *
 * <p>Invariant: once a user was told that the job is accepted, or that it has ended, no request sent after that gets an
 * older answer. The order of sending counts, since two concurrent answers may arrive in either order:
 * {@link #concurrentAnswersMayArriveOutOfOrder} shows a shortest trace to two such answers.
 */
class AnswerConsistencyModelTest {
    private static final int CONTROLLERS = 3;
    private static final int END_WRITES = 2;
    private static final int NEVER = -1;

    /** The answers about the job; a newer answer has a higher number. */
    private static final int UNKNOWN = 0;

    private static final int LIVE = 1;
    private static final int TERMINAL = 2;

    /** Defects that can be built into the model, to prove that the search detects each of them. */
    private enum Fault {
        NONE,
        ANSWERS_DURING_UNRESOLVED_WRITE,
        CONFLICT_RESOLVES_LOST_RESPONSE,
        ANSWERS_FROM_STALE_REPLICA,
        JOINS_EARLIER_READ,
        DEPOSED_LEADER_ANSWERS_FROM_MEMORY,
        RELOAD_REVIVES_TERMINAL_JOB
    }

    /** How far the processing of a request has got. */
    private enum Phase {
        NONE,
        ARRIVED,
        CREATING,
        CREATED,
        AT_LEADER,
        MUST_READ_REVISION,
        AWAITING_REPLICA,
        FOUND_BY_LEADER
    }

    /**
     * A user's request, or {@link #NONE}.
     *
     * @param newestAnswerWhenSent the newest answer that any user had received when the request was sent
     * @param value depends on the phase: the revision that was read, the answer that the leader found, or the leader
     *     that the job's creation is conditional on
     */
    private record Request(int controller, Phase phase, int newestAnswerWhenSent, int value) {
        private static final Request NONE = new Request(0, Phase.NONE, 0, 0);

        Request advanceTo(Phase next, int newValue) {
            return new Request(controller, next, newestAnswerWhenSent, newValue);
        }
    }

    /** The state of the leader's write of the job's end, until its response is received or lost. */
    private enum Write {
        NONE,
        IN_FLIGHT,
        APPLIED,
        CONFLICT
    }

    /** One state of the model; copied for each transition, and not changed once passed to the search. */
    private static final class State extends CopyableState<State> {
        /** The store's revision. */
        int revision;
        /** The revisions at which the job was created and ended and the leader changed; 0 for not yet. */
        int createdRevision;

        int endedRevision;
        int leaderChangeRevision;
        /** The applied revision of each controller's replica. */
        int[] appliedRevisions = new int[CONTROLLERS];
        /** The index of the controller that leads, or {@link #NEVER} if none does. */
        int leader;
        /** The leader holds the job in memory as live. */
        boolean heldAsLive;
        /** The leader has received the response that its write of the end was applied. */
        boolean knownTerminal;
        /**
         * The response to the leader's write of the end was lost, so the leader can't exclude that the job has ended.
         */
        boolean endWriteUnresolved;

        Write endWrite = Write.NONE;
        int endWritesSent;
        /** A write of the end whose response was lost may still be applied. */
        boolean lateEndWriteInFlight;

        /** The leader that a creation without a response is conditional on; the creation may still be applied. */
        int lateCreationLeader = NEVER;
        /** The revision at which the leader reloads all records, or {@link #NEVER}. */
        int loadingRevision = NEVER;

        boolean reloaded;
        Request request = Request.NONE;
        /** The revision returned by an earlier read; used only with {@link Fault#JOINS_EARLIER_READ}. */
        int earlierReadRevision = NEVER;

        /** The controller that sent the earlier read. */
        int earlierReader;
        /** The newest answer that any user has received. */
        int newestAnswer;

        /** An answer was older than one given before its request was sent: the invariant is violated. */
        boolean olderAnswerGiven;
        /** An answer was older than another one given before it, in whatever order their requests were sent. */
        boolean answersOutOfOrder;

        @Override
        void detach() {
            appliedRevisions = appliedRevisions.clone();
        }

        StateKey.Packed key() {
            StateKey key = new StateKey()
                    .number(revision, 2)
                    .number(createdRevision, 2)
                    .number(endedRevision, 2)
                    .number(leaderChangeRevision, 2);
            for (int appliedRevision : appliedRevisions) {
                key.number(appliedRevision, 2);
            }
            key.time(leader, 2)
                    .flag(heldAsLive)
                    .flag(knownTerminal)
                    .flag(endWriteUnresolved)
                    .number(endWrite.ordinal(), 2)
                    .number(endWritesSent, 2);
            key.flag(lateEndWriteInFlight)
                    .time(lateCreationLeader, 2)
                    .time(loadingRevision, 3)
                    .flag(reloaded)
                    .number(newestAnswer, 2);
            key.number(request.controller, 2).number(request.phase.ordinal(), 3);
            key.number(request.newestAnswerWhenSent, 2).number(request.value, 2);
            key.time(earlierReadRevision, 3).number(earlierReader, 2);
            return key.packed();
        }

        /** The answer according to the records at the given revision. */
        int answerAt(int revision) {
            if (endedRevision != 0 && revision >= endedRevision) {
                return TERMINAL;
            }
            return createdRevision != 0 && revision >= createdRevision ? LIVE : UNKNOWN;
        }

        /** The leader that the leader record names. */
        int recordedLeader() {
            return leaderChangeRevision == 0 ? 0 : 1;
        }

        void createJob() {
            createdRevision = ++revision;
        }

        void endJob() {
            endedRevision = ++revision;
        }

        @Override
        public String toString() {
            return "createdRevision=" + createdRevision + " endedRevision=" + endedRevision + " leaderChangeRevision="
                    + leaderChangeRevision
                    + " appliedRevisions="
                    + Arrays.toString(appliedRevisions)
                    + " leader=" + leader + " heldAsLive=" + heldAsLive + " endWriteUnresolved=" + endWriteUnresolved
                    + " endWrite="
                    + endWrite + " " + request
                    + " newestAnswer=" + newestAnswer + "\n";
        }
    }

    /** Adds every state that may follow; the order decides which of several shortest traces is found. */
    private static void addSuccessors(State state, Fault fault, Successors<State> successors) {
        addStoreTransitions(state, successors);
        addLeaderTransitions(state, fault, successors);
        for (int i = 0; i < CONTROLLERS; i++) {
            int controller = i;
            if (fault == Fault.JOINS_EARLIER_READ && state.earlierReadRevision == NEVER) {
                successors.add(
                        "controller " + controller + " reads the revision for an earlier request", state.after(next -> {
                            next.earlierReadRevision = next.revision;
                            next.earlierReader = controller;
                        }));
            }
            if (state.appliedRevisions[controller] < state.revision
                    && !(controller == state.leader && state.loadingRevision != NEVER)) {
                successors.add(
                        "controller " + controller + " applies the next revision",
                        state.after(
                                next -> applyRevision(next, controller, next.appliedRevisions[controller] + 1, fault)));
            }
        }
        addRequestTransitions(state, fault, successors);
    }

    private static void addStoreTransitions(State state, Successors<State> successors) {
        if (state.leaderChangeRevision == 0) {
            successors.add("the leader record names another leader", state.after(next -> {
                next.leaderChangeRevision = ++next.revision;
                next.leader = NEVER;
                next.heldAsLive = false;
                next.knownTerminal = false;
                next.endWriteUnresolved = false;
                next.endWrite = Write.NONE;
                next.lateEndWriteInFlight = false; // conditional on the leader record: the write fails from now on
                next.loadingRevision = NEVER;
            }));
        }
        if (state.lateEndWriteInFlight && state.endedRevision == 0) {
            successors.add("the delayed write of the end is applied", state.after(next -> {
                next.lateEndWriteInFlight = false;
                next.endJob();
            }));
        }
        if (state.lateCreationLeader == state.recordedLeader() && state.createdRevision == 0) {
            successors.add("the delayed creation is applied", state.after(next -> {
                next.lateCreationLeader = NEVER;
                next.createJob();
            }));
        }
    }

    private static void addLeaderTransitions(State state, Fault fault, Successors<State> successors) {
        if (state.leader == NEVER) {
            return;
        }
        if (state.heldAsLive && state.endWrite == Write.NONE && state.endWritesSent < END_WRITES) {
            successors.add("the leader writes the end", state.after(next -> {
                next.endWrite = Write.IN_FLIGHT;
                next.endWritesSent++;
            }));
        }
        addEndWriteOutcomes(state, fault, successors);
        addReload(state, fault, successors);
    }

    private static void addEndWriteOutcomes(State state, Fault fault, Successors<State> successors) {
        if (state.endWrite == Write.IN_FLIGHT) {
            successors.add("the store processes the write of the end", state.after(next -> {
                next.endWrite = next.endedRevision == 0 ? Write.APPLIED : Write.CONFLICT;
                if (next.endedRevision == 0) {
                    next.endJob();
                }
            }));
        }
        if (state.endWrite != Write.NONE) {
            successors.add("the response to the write of the end is lost", state.after(next -> {
                next.lateEndWriteInFlight |= next.endWrite == Write.IN_FLIGHT;
                next.endWriteUnresolved = next.heldAsLive;
                next.endWrite = Write.NONE;
            }));
        }
        if (state.endWrite == Write.APPLIED) {
            successors.add(
                    "the leader receives the response and answers the user who cancelled the job", state.after(next -> {
                        next.endWrite = Write.NONE;
                        next.heldAsLive = false;
                        next.knownTerminal = true;
                        next.endWriteUnresolved = false;
                        next.newestAnswer = TERMINAL;
                    }));
        }
        if (state.endWrite == Write.CONFLICT) {
            successors.add("the leader receives the response that its write conflicted", state.after(next -> {
                next.endWrite = Write.NONE;
                next.endWriteUnresolved &= fault != Fault.CONFLICT_RESOLVES_LOST_RESPONSE;
            }));
        }
    }

    private static void addReload(State state, Fault fault, Successors<State> successors) {
        if (state.loadingRevision == NEVER && !state.reloaded) {
            successors.add(
                    "the leader finds its watch compacted and starts to reload",
                    state.after(next -> next.loadingRevision = next.revision));
        }
        if (state.loadingRevision != NEVER) {
            successors.add("the leader has reloaded all records", state.after(next -> {
                next.reloaded = true;
                int read = next.loadingRevision;
                next.loadingRevision = NEVER;
                applyRevision(next, next.leader, read, fault);
            }));
        }
    }

    /** Applies a revision to a controller's replica and, if the controller leads, to its memory. */
    private static void applyRevision(State state, int controller, int revision, Fault fault) {
        state.appliedRevisions[controller] = revision;
        if (controller == 1
                && state.leaderChangeRevision != 0
                && revision >= state.leaderChangeRevision
                && state.leader == NEVER) {
            state.leader = 1;
        }
        if (controller == state.leader) {
            boolean revivalPrevented = state.knownTerminal && fault != Fault.RELOAD_REVIVES_TERMINAL_JOB;
            state.heldAsLive = state.answerAt(revision) == LIVE && !revivalPrevented;
            state.endWriteUnresolved &= state.heldAsLive;
        }
    }

    private static void addRequestTransitions(State state, Fault fault, Successors<State> successors) {
        Request request = state.request;
        switch (request.phase) {
            case NONE -> {
                for (int controller = 0; controller < CONTROLLERS; controller++) {
                    successors.add(
                            "a request reaches controller " + controller,
                            withRequest(state, new Request(controller, Phase.ARRIVED, state.newestAnswer, 0)));
                }
            }
            case ARRIVED -> addArrived(state, fault, successors);
            case CREATING -> addCreating(state, successors);
            case CREATED -> {
                successors.add("the request is answered as accepted", respond(state, LIVE));
                successors.add("the request gets no answer", withRequest(state, Request.NONE));
            }
            case AT_LEADER -> {
                Integer known = answerFromMemory(state, leaderKnownTo(state, request.controller), fault);
                Request then = known == null
                        ? request.advanceTo(Phase.MUST_READ_REVISION, 0)
                        : request.advanceTo(Phase.FOUND_BY_LEADER, known);
                successors.add("the leader looks the job up", withRequest(state, then));
                successors.add(
                        "the request finds no leader",
                        withRequest(state, request.advanceTo(Phase.MUST_READ_REVISION, 0)));
            }
            case FOUND_BY_LEADER ->
                successors.add(
                        "the request is answered with the state that the leader found", respond(state, request.value));
            case MUST_READ_REVISION -> addRevisionReads(state, fault, successors);
            case AWAITING_REPLICA -> {
                if (state.appliedRevisions[request.controller] >= request.value) {
                    successors.add(
                            "the request is answered from the up-to-date replica",
                            respond(state, state.answerAt(state.appliedRevisions[request.controller])));
                }
                successors.add("the request gets no answer", withRequest(state, Request.NONE));
            }
        }
    }

    /** The leader that the controller's replica shows. */
    private static int leaderKnownTo(State state, int controller) {
        return state.leaderChangeRevision != 0 && state.appliedRevisions[controller] >= state.leaderChangeRevision
                ? 1
                : 0;
    }

    private static void addArrived(State state, Fault fault, Successors<State> successors) {
        Request request = state.request;
        if (state.answerAt(state.appliedRevisions[request.controller]) == UNKNOWN) {
            successors.add(
                    "the request starts to create the job",
                    withRequest(state, request.advanceTo(Phase.CREATING, leaderKnownTo(state, request.controller))));
        }
        Integer known = answerFromMemory(state, request.controller, fault);
        if (known != null) {
            successors.add("the request is answered from memory", respond(state, known));
        } else {
            successors.add(
                    "the request must be answered from the record",
                    withRequest(state, request.advanceTo(Phase.MUST_READ_REVISION, 0)));
            successors.add(
                    "the request is forwarded to the leader",
                    withRequest(state, request.advanceTo(Phase.AT_LEADER, 0)));
        }
    }

    private static void addCreating(State state, Successors<State> successors) {
        Request request = state.request;
        if (state.createdRevision != 0) {
            successors.add(
                    "the request finds that the job exists already",
                    withRequest(state, request.advanceTo(Phase.ARRIVED, 0)));
        } else if (request.value == state.recordedLeader()) {
            successors.add("the request has created the job", state.after(next -> {
                next.createJob();
                next.request = request.advanceTo(Phase.CREATED, 0);
            }));
        }
        successors.add("the response to the creation is lost", state.after(next -> {
            next.request = Request.NONE;
            next.lateCreationLeader = request.value;
        }));
    }

    private static void addRevisionReads(State state, Fault fault, Successors<State> successors) {
        Request request = state.request;
        if (fault == Fault.ANSWERS_FROM_STALE_REPLICA) {
            successors.add(
                    "the request is answered from the replica",
                    respond(state, state.answerAt(state.appliedRevisions[request.controller])));
        }
        if (state.earlierReadRevision != NEVER && state.earlierReader == request.controller) {
            successors.add(
                    "the request joins the earlier read",
                    withRequest(state, request.advanceTo(Phase.AWAITING_REPLICA, state.earlierReadRevision)));
        }
        successors.add(
                "the controller reads the revision",
                withRequest(state, request.advanceTo(Phase.AWAITING_REPLICA, state.revision)));
    }

    private static State withRequest(State state, Request request) {
        return state.after(next -> next.request = request);
    }

    /**
     * The answer that a controller gives without a read ({@code LocalJobState.certainResponse}): that the job has ended
     * if its replica shows so, or that the job is live if the controller leads and holds it as live.
     *
     * @return the answer, null if the controller must read first
     */
    private static Integer answerFromMemory(State state, int controller, Fault fault) {
        if (state.answerAt(state.appliedRevisions[controller]) == TERMINAL) {
            return TERMINAL;
        }
        boolean deposed = fault == Fault.DEPOSED_LEADER_ANSWERS_FROM_MEMORY
                && controller == 0
                && state.leader != 0
                && state.answerAt(state.appliedRevisions[0]) == LIVE;
        boolean unresolved = state.endWriteUnresolved || state.endWrite != Write.NONE;
        boolean mayAnswer = !unresolved || fault == Fault.ANSWERS_DURING_UNRESOLVED_WRITE;
        return deposed || (controller == state.leader && state.heldAsLive && mayAnswer) ? (Integer) LIVE : null;
    }

    private static State respond(State state, int answer) {
        return state.after(next -> {
            next.olderAnswerGiven = answer < next.request.newestAnswerWhenSent;
            next.answersOutOfOrder = answer < next.newestAnswer;
            next.newestAnswer = Math.max(next.newestAnswer, answer);
            next.request = Request.NONE;
        });
    }

    private static Result<State> search(Fault fault, boolean checkArrivalOrder) {
        return StateSearch.runByKey(
                List.of(new State()),
                (state, successors) -> addSuccessors(state, fault, successors),
                state -> state.olderAnswerGiven || (checkArrivalOrder && state.answersOutOfOrder),
                State::key);
    }

    @Test
    void noAnswerIsOlderThanOneGivenBeforeItsRequestWasSent() {
        Result<State> result = search(Fault.NONE, false);
        assertFalse(result.violationFound(), () -> result.actions() + "\n" + result.trace());
        assertTrue(result.stateCount() > 50_000, "states " + result.stateCount());
        System.out.println("answer consistency model: states " + result.stateCount());
    }

    @Test
    void everyInjectedFaultViolatesTheInvariant() {
        for (Fault fault : Fault.values()) {
            if (fault != Fault.NONE) {
                Result<State> result = search(fault, false);
                assertTrue(result.violationFound(), fault.toString());
                System.out.println("answer consistency model: " + fault + " after " + result.actionCount() + ": "
                        + result.actions());
            }
        }
    }

    @Test
    void concurrentAnswersMayArriveOutOfOrder() {
        Result<State> result = search(Fault.NONE, true);
        assertTrue(result.violationFound());
        System.out.println("answer consistency model: answers out of order after " + result.actionCount() + ": "
                + result.actions());
    }
}
