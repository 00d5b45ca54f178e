package org.hollypick.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.model.StateSearch.Result;
import org.hollypick.model.StateSearch.Successors;
import org.junit.jupiter.api.Test;

/**
 * Explores what three controllers answer users about one job while it is created and ends, and responses of the
 * key-value store are lost.
 *
 * <p>Bounds: three controllers with replicas of the store of any age; three revisions (the job is created, it ends, the
 * leader changes) in any order; any number of requests of users at any controllers, each a poll or a submission, one
 * after the other (of concurrent requests, none has to know what another is answered); up to two writes of the end. Any
 * write may be carried out late, or its response lost. A controller asks the leader or reads the records, and the
 * leader may once lose its place in the watch and load all records again.
 *
 * <p>Invariant: once a user was told that the job is accepted, or that it is over, no request that is sent after that
 * gets an older answer. It is by order of sending, since two answers under way at the same time may arrive in either
 * order: {@link #concurrentAnswersMayArriveOutOfOrder} shows a shortest way to that.
 */
class AnswersModelTest {
    private static final int CONTROLLERS = 3;
    private static final int END_WRITES = 2;
    private static final int NEVER = -1;

    /** What an answer says about the job, older before newer. */
    private static final int UNKNOWN = 0;

    private static final int LIVE = 1;
    private static final int OVER = 2;

    private enum Fault {
        NONE,
        ANSWERS_DURING_UNRESOLVED_WRITE,
        CONFLICT_RESOLVES_LOST_RESPONSE,
        ANSWERS_FROM_STALE_REPLICA,
        JOINS_EARLIER_READ,
        DEPOSED_LEADER_ANSWERS_FROM_MEMORY,
        RELOAD_REVIVES_TERMINAL_JOB
    }

    private enum Phase {
        FREE,
        ARRIVED,
        CREATING,
        CREATED,
        AT_LEADER,
        FROM_RECORD,
        READ,
        LOOKED_UP
    }

    /**
     * A request of a user.
     *
     * @param floor the newest answer that any user had been given when it was sent
     * @param value by phase: the revision that was read, the answer, or the leader that a creation is conditional on
     */
    private record Request(int controller, Phase phase, int floor, int value) {
        private static final Request NONE = new Request(0, Phase.FREE, 0, 0);

        Request successors(Phase next, int newValue) {
            return new Request(controller, next, floor, newValue);
        }
    }

    /** The write of the end that the leader waits for. */
    private enum Write {
        NONE,
        IN_FLIGHT,
        DONE,
        CONFLICT
    }

    private static final class State implements Cloneable {
        /** The store: its revision, and at which one the job was created, ended and the leader replaced; 0 for none. */
        int revision;

        int created;
        int ended;
        int leaderRecord;
        /** The applied revision of each controller's replica. */
        int[] appliedRevisions = new int[CONTROLLERS];
        /** The index of the leader, or NEVER. */
        int leader;
        /** The leader holds the job in memory as live. */
        boolean heldAsLive;
        /** The leader knows that the job is over. */
        boolean knowsOver;
        /** After a lost response the leader doesn't know whether the job is over. */
        boolean endUnresolved;

        Write endWrite = Write.NONE;
        int endWritesSent;
        /** A write of the end whose response was lost may yet be carried out. */
        boolean lateEndInFlight;

        /** The leader that a creation without a response is conditional on; it may yet be carried out. */
        int lateCreationLeader = NEVER;
        /** The revision at which the leader is loading all records again. */
        int loadingRevision = NEVER;

        boolean reloaded;
        Request request = Request.NONE;
        /** The revision that an earlier read of a controller brings. Used by one of the faulty variants. */
        int earlierReadRevision = NEVER;

        int earlierReader;
        /** The newest answer that any user was given. */
        int newestAnswer;

        boolean wentBack;
        boolean overtaken;

        State after(Consumer<State> transition) {
            try {
                State copy = (State) clone();
                copy.appliedRevisions = appliedRevisions.clone();
                transition.accept(copy);
                return copy;
            } catch (CloneNotSupportedException e) {
                throw new AssertionError(e);
            }
        }

        StateKey.Packed key() {
            StateKey key = new StateKey()
                    .number(revision, 2)
                    .number(created, 2)
                    .number(ended, 2)
                    .number(leaderRecord, 2);
            for (int appliedRevision : appliedRevisions) {
                key.number(appliedRevision, 2);
            }
            key.time(leader, 2)
                    .flag(heldAsLive)
                    .flag(knowsOver)
                    .flag(endUnresolved)
                    .number(endWrite.ordinal(), 2)
                    .number(endWritesSent, 2);
            key.flag(lateEndInFlight)
                    .time(lateCreationLeader, 2)
                    .time(loadingRevision, 3)
                    .flag(reloaded)
                    .number(newestAnswer, 2);
            key.number(request.controller, 2).number(request.phase.ordinal(), 3);
            key.number(request.floor, 2).number(request.value, 2);
            key.time(earlierReadRevision, 3).number(earlierReader, 2);
            return key.packed();
        }

        /** What the records said at that revision. */
        int answerAt(int revision) {
            if (ended != 0 && revision >= ended) {
                return OVER;
            }
            return created != 0 && revision >= created ? LIVE : UNKNOWN;
        }

        int leaderRecordLeader() {
            return leaderRecord == 0 ? 0 : 1;
        }

        void createJob() {
            created = ++revision;
        }

        void endJob() {
            ended = ++revision;
        }

        @Override
        public String toString() {
            return "created=" + created + " ended=" + ended + " leaderRecord=" + leaderRecord + " appliedRevisions="
                    + Arrays.toString(appliedRevisions)
                    + " leader=" + leader + " heldAsLive=" + heldAsLive + " endUnresolved=" + endUnresolved + " write="
                    + endWrite + " " + request
                    + " newestAnswer=" + newestAnswer + "\n";
        }
    }

    private static void addSuccessors(State state, Fault fault, Successors<State> successors) {
        addStoreTransitions(state, successors);
        addLeaderTransitions(state, fault, successors);
        for (int i = 0; i < CONTROLLERS; i++) {
            int controller = i;
            if (fault == Fault.JOINS_EARLIER_READ && state.earlierReadRevision == NEVER) {
                successors.add("controller " + controller + " reads the revision for others", state.after(next -> {
                    next.earlierReadRevision = next.revision;
                    next.earlierReader = controller;
                }));
            }
            if (state.appliedRevisions[controller] < state.revision
                    && !(controller == state.leader && state.loadingRevision != NEVER)) {
                successors.add(
                        "controller " + controller + " sees a change",
                        state.after(
                                next -> applyRevision(next, controller, next.appliedRevisions[controller] + 1, fault)));
            }
        }
        addRequestTransitions(state, fault, successors);
    }

    private static void addStoreTransitions(State state, Successors<State> successors) {
        if (state.leaderRecord == 0) {
            successors.add("another leader is written", state.after(next -> {
                next.leaderRecord = ++next.revision;
                next.leader = NEVER;
                next.heldAsLive = false;
                next.knowsOver = false;
                next.endUnresolved = false;
                next.endWrite = Write.NONE;
                next.lateEndInFlight = false; // conditional on the leader record, so it fails from now on
                next.loadingRevision = NEVER;
            }));
        }
        if (state.lateEndInFlight && state.ended == 0) {
            successors.add("the late end is carried out", state.after(next -> {
                next.lateEndInFlight = false;
                next.endJob();
            }));
        }
        if (state.lateCreationLeader == state.leaderRecordLeader() && state.created == 0) {
            successors.add("the late creation is carried out", state.after(next -> {
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
            successors.add("leader writes the end", state.after(next -> {
                next.endWrite = Write.IN_FLIGHT;
                next.endWritesSent++;
            }));
        }
        addEndWriteOutcomes(state, fault, successors);
        addReload(state, fault, successors);
    }

    private static void addEndWriteOutcomes(State state, Fault fault, Successors<State> successors) {
        if (state.endWrite == Write.IN_FLIGHT) {
            successors.add("the end is carried out", state.after(next -> {
                next.endWrite = next.ended == 0 ? Write.DONE : Write.CONFLICT;
                if (next.ended == 0) {
                    next.endJob();
                }
            }));
        }
        if (state.endWrite != Write.NONE) {
            successors.add("the response to the end is lost", state.after(next -> {
                next.lateEndInFlight |= next.endWrite == Write.IN_FLIGHT;
                next.endUnresolved = next.heldAsLive;
                next.endWrite = Write.NONE;
            }));
        }
        if (state.endWrite == Write.DONE) {
            successors.add("the leader learns that the job is over, and answers who cancelled it", state.after(next -> {
                next.endWrite = Write.NONE;
                next.heldAsLive = false;
                next.knowsOver = true;
                next.endUnresolved = false;
                next.newestAnswer = OVER;
            }));
        }
        if (state.endWrite == Write.CONFLICT) {
            successors.add("the leader learns that its write failed", state.after(next -> {
                next.endWrite = Write.NONE;
                next.endUnresolved &= fault != Fault.CONFLICT_RESOLVES_LOST_RESPONSE;
            }));
        }
    }

    private static void addReload(State state, Fault fault, Successors<State> successors) {
        if (state.loadingRevision == NEVER && !state.reloaded) {
            successors.add(
                    "the leader has lost its place in the watch and reads all",
                    state.after(next -> next.loadingRevision = next.revision));
        }
        if (state.loadingRevision != NEVER) {
            successors.add("the leader has read all", state.after(next -> {
                next.reloaded = true;
                int read = next.loadingRevision;
                next.loadingRevision = NEVER;
                applyRevision(next, next.leader, read, fault);
            }));
        }
    }

    /** The replica of a controller applies a revision. */
    private static void applyRevision(State state, int controller, int revision, Fault fault) {
        state.appliedRevisions[controller] = revision;
        if (controller == 1 && state.leaderRecord != 0 && revision >= state.leaderRecord && state.leader == NEVER) {
            state.leader = 1;
        }
        if (controller == state.leader) {
            boolean bringsBack = state.knowsOver && fault != Fault.RELOAD_REVIVES_TERMINAL_JOB;
            state.heldAsLive = state.answerAt(revision) == LIVE && !bringsBack;
            state.endUnresolved &= state.heldAsLive;
        }
    }

    private static void addRequestTransitions(State state, Fault fault, Successors<State> successors) {
        Request request = state.request;
        switch (request.phase) {
            case FREE -> {
                for (int controller = 0; controller < CONTROLLERS; controller++) {
                    successors.add(
                            "a request reaches controller " + controller,
                            with(state, new Request(controller, Phase.ARRIVED, state.newestAnswer, 0)));
                }
            }
            case ARRIVED -> addArrived(state, fault, successors);
            case CREATING -> addCreating(state, successors);
            case CREATED -> {
                successors.add("it is answered as accepted", respond(state, LIVE));
                successors.add("it gets no answer", with(state, Request.NONE));
            }
            case AT_LEADER -> {
                Integer known = answerFromMemory(state, leaderSeenBy(state, request.controller), fault);
                Request then = known == null
                        ? request.successors(Phase.FROM_RECORD, 0)
                        : request.successors(Phase.LOOKED_UP, known);
                successors.add("it is looked up by the leader", with(state, then));
                successors.add("it finds no leader", with(state, request.successors(Phase.FROM_RECORD, 0)));
            }
            case LOOKED_UP ->
                successors.add("it is answered with what the leader found", respond(state, request.value));
            case FROM_RECORD -> addReadsOfRecord(state, fault, successors);
            case READ -> {
                if (state.appliedRevisions[request.controller] >= request.value) {
                    successors.add(
                            "it is answered from a fresh replica",
                            respond(state, state.answerAt(state.appliedRevisions[request.controller])));
                }
                successors.add("it gets no answer", with(state, Request.NONE));
            }
        }
    }

    private static int leaderSeenBy(State state, int controller) {
        return state.leaderRecord != 0 && state.appliedRevisions[controller] >= state.leaderRecord ? 1 : 0;
    }

    private static void addArrived(State state, Fault fault, Successors<State> successors) {
        Request request = state.request;
        if (state.answerAt(state.appliedRevisions[request.controller]) == UNKNOWN) {
            successors.add(
                    "it creates the job",
                    with(state, request.successors(Phase.CREATING, leaderSeenBy(state, request.controller))));
        }
        Integer known = answerFromMemory(state, request.controller, fault);
        if (known != null) {
            successors.add("it is answered from memory", respond(state, known));
        } else {
            successors.add(
                    "it is to be answered from the record", with(state, request.successors(Phase.FROM_RECORD, 0)));
            successors.add("it goes to the leader", with(state, request.successors(Phase.AT_LEADER, 0)));
        }
    }

    private static void addCreating(State state, Successors<State> successors) {
        Request request = state.request;
        if (state.created != 0) {
            successors.add("it finds the job created", with(state, request.successors(Phase.ARRIVED, 0)));
        } else if (request.value == state.leaderRecordLeader()) {
            successors.add("it has created the job", state.after(next -> {
                next.createJob();
                next.request = request.successors(Phase.CREATED, 0);
            }));
        }
        successors.add("it gets no answer to its creation", state.after(next -> {
            next.request = Request.NONE;
            next.lateCreationLeader = request.value;
        }));
    }

    private static void addReadsOfRecord(State state, Fault fault, Successors<State> successors) {
        Request request = state.request;
        if (fault == Fault.ANSWERS_FROM_STALE_REPLICA) {
            successors.add(
                    "it is answered from the replica",
                    respond(state, state.answerAt(state.appliedRevisions[request.controller])));
        }
        if (state.earlierReadRevision != NEVER && state.earlierReader == request.controller) {
            successors.add(
                    "it joins a read under way",
                    with(state, request.successors(Phase.READ, state.earlierReadRevision)));
        }
        successors.add(
                "its controller reads the revision", with(state, request.successors(Phase.READ, state.revision)));
    }

    private static State with(State state, Request request) {
        return state.after(next -> next.request = request);
    }

    /**
     * What a controller answers without a read: an end that its replica shows, or a live job that it leads
     * ({@code LocalJobState.certainResponse}).
     *
     * @return the answer, null if it must read first
     */
    private static Integer answerFromMemory(State state, int controller, Fault fault) {
        if (state.answerAt(state.appliedRevisions[controller]) == OVER) {
            return OVER;
        }
        boolean deposed = fault == Fault.DEPOSED_LEADER_ANSWERS_FROM_MEMORY
                && controller == 0
                && state.leader != 0
                && state.answerAt(state.appliedRevisions[0]) == LIVE;
        boolean unresolved = state.endUnresolved || state.endWrite != Write.NONE;
        boolean mayAnswer = !unresolved || fault == Fault.ANSWERS_DURING_UNRESOLVED_WRITE;
        return deposed || (controller == state.leader && state.heldAsLive && mayAnswer) ? (Integer) LIVE : null;
    }

    private static State respond(State state, int answer) {
        return state.after(next -> {
            next.wentBack = answer < next.request.floor;
            next.overtaken = answer < next.newestAnswer;
            next.newestAnswer = Math.max(next.newestAnswer, answer);
            next.request = Request.NONE;
        });
    }

    private static Result<State> search(Fault fault, boolean byArrivalOrder) {
        Set<StateKey.Packed> visitedKeys = new HashSet<>();
        return StateSearch.run(
                List.of(new State()),
                (state, successors) -> addSuccessors(state, fault, successors),
                state -> state.wentBack || (byArrivalOrder && state.overtaken),
                state -> visitedKeys.add(state.key()));
    }

    @Test
    void noAnswerIsOlderThanOneGivenBeforeItsRequestWasSent() {
        Result<State> result = search(Fault.NONE, false);
        assertFalse(result.broken(), () -> result.actions() + "\n" + result.trace());
        assertTrue(result.states() > 50_000, "states " + result.states());
        System.out.println("answers model: states " + result.states());
    }

    @Test
    void findsEachInjectedFault() {
        for (Fault fault : Fault.values()) {
            if (fault != Fault.NONE) {
                Result<State> result = search(fault, false);
                assertTrue(result.broken(), fault.toString());
                System.out.println("answers model: " + fault + " after " + result.steps() + ": " + result.actions());
            }
        }
    }

    @Test
    void concurrentAnswersMayArriveOutOfOrder() {
        Result<State> result = search(Fault.NONE, true);
        assertTrue(result.broken());
        System.out.println("answers model: overtaken after " + result.steps() + ": " + result.actions());
    }
}
