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
 * What three nodes tell users about one job while it is created and ended, and answers of the key-value store are lost.
 *
 * <p>Bounds: three nodes with views of any age; three changes of the records (the job is created, it ends, the leader
 * changes) in any order; any number of requests of users at any nodes, each a poll or a submission, one after the other
 * (of those that are open at the same time, none has to know what another is told); up to two writes of the end. Any
 * write may be carried out late, or its answer lost. A controller asks the leader or reads the records, and the leader
 * may once lose its place in the watch and load all records again.
 *
 * <p>Predicate, from the rules: once a user was told that the job is accepted, or that it is over, no request that is
 * sent after that gets an older answer. It is by order of sending, since two answers under way at the same time may
 * arrive in either order: {@link #byOrderOfArrivalAnswersMayOvertakeEachOther} shows a shortest way to that.
 */
class AnswersModelTest {
    private static final int NODES = 3;
    private static final int END_WRITES = 2;
    private static final int NEVER = -1;

    /** What an answer says, older before newer. */
    private static final int UNKNOWN = 0;

    private static final int LIVE = 1;
    private static final int OVER = 2;

    private enum Fault {
        NONE,
        MEMORY_ANSWERS_WHILE_AN_END_IS_IN_DOUBT,
        THE_NEXT_ANSWER_ENDS_THE_DOUBT,
        VIEW_ANSWERS_WITHOUT_A_FRESH_READ,
        JOINS_A_READ_UNDER_WAY,
        A_DEPOSED_LEADER_ANSWERS_FROM_MEMORY,
        A_RELOAD_BRINGS_BACK_WHAT_IS_OVER
    }

    private enum Phase {
        FREE,
        ARRIVED,
        CREATING,
        CREATED,
        AT_LEADER,
        FROM_RECORD,
        READ,
        TOLD
    }

    /**
     * A request of a user.
     *
     * @param floor the newest that any user had been told when it was sent
     * @param value the epoch that was read, or what is to be told, or the token that a creation is conditional on
     */
    private record Request(int node, Phase phase, int floor, int value) {
        private static final Request NONE = new Request(0, Phase.FREE, 0, 0);

        Request to(Phase next, int newValue) {
            return new Request(node, next, floor, newValue);
        }
    }

    /** The write of the end that the leader waits for. */
    private enum Write {
        NONE,
        UNDER_WAY,
        DONE,
        CONFLICT
    }

    private static final class State implements Cloneable {
        /** The records: how many changes there were, and which one was what; 0 for none. */
        int epoch;

        int created;
        int ended;
        int leaderRecord;
        /** Up to which change each controller's view is. */
        int[] views = new int[NODES];
        /** The acting leader, or -1. */
        int leader;
        /**
         * The leader's memory: it has the job as live, knows its end, and since a lost answer doesn't know whether it
         * is over.
         */
        boolean owns;

        boolean knowsOver;
        boolean doubt;
        Write write = Write.NONE;
        int writes;
        /** A write without an answer may yet be carried out; so may a creation, which is conditional on that leader. */
        boolean lateEnd;

        int lateCreation = NEVER;
        /** The leader loads all records again, as they were at that epoch; it has done so. */
        int loading = NEVER;

        boolean loaded;
        Request request = Request.NONE;
        /**
         * A read that a controller began before: the epoch that it brings, and the controller. Used by one of the
         * faulty variants.
         */
        int earlierRead = NEVER;

        int earlierReader;
        /** The newest that any user was told. */
        int told;

        boolean wentBack;
        boolean overtaken;

        State next(Consumer<State> change) {
            try {
                State s = (State) clone();
                s.views = views.clone();
                change.accept(s);
                return s;
            } catch (CloneNotSupportedException e) {
                throw new AssertionError(e);
            }
        }

        StateKey.Packed key() {
            StateKey key = new StateKey()
                    .number(epoch, 2)
                    .number(created, 2)
                    .number(ended, 2)
                    .number(leaderRecord, 2);
            for (int view : views) {
                key.number(view, 2);
            }
            key.time(leader, 2)
                    .flag(owns)
                    .flag(knowsOver)
                    .flag(doubt)
                    .number(write.ordinal(), 2)
                    .number(writes, 2);
            key.flag(lateEnd)
                    .time(lateCreation, 2)
                    .time(loading, 3)
                    .flag(loaded)
                    .number(told, 2);
            key.number(request.node, 2).number(request.phase.ordinal(), 3);
            key.number(request.floor, 2).number(request.value, 2);
            key.time(earlierRead, 3).number(earlierReader, 2);
            return key.packed();
        }

        /** What the records said after that many changes. */
        int at(int changes) {
            return ended != 0 && changes >= ended ? OVER : created != 0 && changes >= created ? LIVE : UNKNOWN;
        }

        int leaderRecordLeader() {
            return leaderRecord == 0 ? 0 : 1;
        }

        void create() {
            created = ++epoch;
        }

        void end() {
            ended = ++epoch;
        }

        @Override
        public String toString() {
            return "created=" + created + " ended=" + ended + " roster=" + leaderRecord + " views="
                    + Arrays.toString(views)
                    + " leader=" + leader + " owns=" + owns + " doubt=" + doubt + " write=" + write + " " + request
                    + " told=" + told + "\n";
        }
    }

    private static void next(State s, Fault fault, Successors<State> to) {
        service(s, to);
        leader(s, fault, to);
        for (int n = 0; n < NODES; n++) {
            int node = n;
            if (fault == Fault.JOINS_A_READ_UNDER_WAY && s.earlierRead == NEVER) {
                to.add("node " + n + " reads the epoch for others", s.next(t -> {
                    t.earlierRead = t.epoch;
                    t.earlierReader = node;
                }));
            }
            if (s.views[n] < s.epoch && !(n == s.leader && s.loading != NEVER)) {
                to.add("node " + n + " sees a change", s.next(t -> see(t, node, t.views[node] + 1, fault)));
            }
        }
        request(s, fault, to);
    }

    // ---- the key-value store ----

    private static void service(State s, Successors<State> to) {
        if (s.leaderRecord == 0) {
            to.add("another leader is written", s.next(t -> {
                t.leaderRecord = ++t.epoch;
                t.leader = NEVER;
                t.owns = false;
                t.knowsOver = false;
                t.doubt = false;
                t.write = Write.NONE;
                t.lateEnd = false; // conditional on the leader record, so it fails from here on
                t.loading = NEVER;
            }));
        }
        if (s.lateEnd && s.ended == 0) {
            to.add("the late end is carried out", s.next(t -> {
                t.lateEnd = false;
                t.end();
            }));
        }
        if (s.lateCreation == s.leaderRecordLeader() && s.created == 0) {
            to.add("the late creation is carried out", s.next(t -> {
                t.lateCreation = NEVER;
                t.create();
            }));
        }
    }

    // ---- the leader: control.JobTermination, control.LeaderTerm ----

    private static void leader(State s, Fault fault, Successors<State> to) {
        if (s.leader == NEVER) {
            return;
        }
        if (s.owns && s.write == Write.NONE && s.writes < END_WRITES) {
            to.add("leader writes the end", s.next(t -> {
                t.write = Write.UNDER_WAY;
                t.writes++;
            }));
        }
        if (s.write == Write.UNDER_WAY) {
            to.add("the end is carried out", s.next(t -> {
                t.write = t.ended == 0 ? Write.DONE : Write.CONFLICT;
                if (t.ended == 0) {
                    t.end();
                }
            }));
        }
        if (s.write != Write.NONE) {
            to.add("the answer to the end is lost", s.next(t -> {
                t.lateEnd |= t.write == Write.UNDER_WAY;
                t.doubt = t.owns;
                t.write = Write.NONE;
            }));
        }
        if (s.write == Write.DONE) {
            to.add("the leader learns that the job is over, and tells who cancelled it", s.next(t -> {
                t.write = Write.NONE;
                t.owns = false;
                t.knowsOver = true;
                t.doubt = false;
                t.told = OVER;
            }));
        }
        if (s.write == Write.CONFLICT) {
            to.add("the leader learns that its write failed", s.next(t -> {
                t.write = Write.NONE;
                t.doubt &= fault != Fault.THE_NEXT_ANSWER_ENDS_THE_DOUBT;
            }));
        }
        if (s.loading == NEVER && !s.loaded) {
            to.add("the leader has lost its place in the watch and reads all", s.next(t -> t.loading = t.epoch));
        }
        if (s.loading != NEVER) {
            to.add("the leader has read all", s.next(t -> {
                t.loaded = true;
                int read = t.loading;
                t.loading = NEVER;
                see(t, t.leader, read, fault);
            }));
        }
    }

    /** The view of a controller is now as the records were after so many changes. */
    private static void see(State s, int node, int changes, Fault fault) {
        s.views[node] = changes;
        if (node == 1 && s.leaderRecord != 0 && changes >= s.leaderRecord && s.leader == NEVER) {
            s.leader = 1;
        }
        if (node == s.leader) {
            boolean back = s.knowsOver && fault != Fault.A_RELOAD_BRINGS_BACK_WHAT_IS_OVER;
            s.owns = s.at(changes) == LIVE && !back;
            s.doubt &= s.owns;
        }
    }

    // ---- requests of users: api.JobSubmission, control.jobs.JobStore.create ----

    private static void request(State s, Fault fault, Successors<State> to) {
        Request r = s.request;
        switch (r.phase) {
            case FREE -> {
                for (int n = 0; n < NODES; n++) {
                    to.add("a request reaches node " + n, with(s, new Request(n, Phase.ARRIVED, s.told, 0)));
                }
            }
            case ARRIVED -> arrived(s, fault, to);
            case CREATING -> creating(s, to);
            case CREATED -> {
                to.add("it is answered as accepted", answered(s, LIVE));
                to.add("it gets no answer", with(s, Request.NONE));
            }
            case AT_LEADER -> {
                Integer known = certain(s, leaderSeenBy(s, r.node), fault);
                Request then = known == null ? r.to(Phase.FROM_RECORD, 0) : r.to(Phase.TOLD, known);
                to.add("it is looked up by the leader", with(s, then));
                to.add("it finds no leader", with(s, r.to(Phase.FROM_RECORD, 0)));
            }
            case TOLD -> to.add("it is answered with what the leader told", answered(s, r.value));
            case FROM_RECORD -> fromRecord(s, fault, to);
            case READ -> {
                if (s.views[r.node] >= r.value) {
                    to.add("it is answered from a fresh view", answered(s, s.at(s.views[r.node])));
                }
                to.add("it gets no answer", with(s, Request.NONE));
            }
        }
    }

    private static int leaderSeenBy(State s, int node) {
        return s.leaderRecord != 0 && s.views[node] >= s.leaderRecord ? 1 : 0;
    }

    private static void arrived(State s, Fault fault, Successors<State> to) {
        Request r = s.request;
        if (s.at(s.views[r.node]) == UNKNOWN) {
            to.add("it creates the job", with(s, r.to(Phase.CREATING, leaderSeenBy(s, r.node))));
        }
        Integer known = certain(s, r.node, fault);
        if (known != null) {
            to.add("it is answered from memory", answered(s, known));
        } else {
            to.add("it is to be answered from the record", with(s, r.to(Phase.FROM_RECORD, 0)));
            to.add("it goes to the leader", with(s, r.to(Phase.AT_LEADER, 0)));
        }
    }

    private static void creating(State s, Successors<State> to) {
        Request r = s.request;
        if (s.created != 0) {
            to.add("it finds the job created", with(s, r.to(Phase.ARRIVED, 0)));
        } else if (r.value == s.leaderRecordLeader()) {
            to.add("it has created the job", s.next(t -> {
                t.create();
                t.request = r.to(Phase.CREATED, 0);
            }));
        }
        to.add("it gets no answer to its creation", s.next(t -> {
            t.request = Request.NONE;
            t.lateCreation = r.value;
        }));
    }

    private static void fromRecord(State s, Fault fault, Successors<State> to) {
        Request r = s.request;
        if (fault == Fault.VIEW_ANSWERS_WITHOUT_A_FRESH_READ) {
            to.add("it is answered from the view", answered(s, s.at(s.views[r.node])));
        }
        if (s.earlierRead != NEVER && s.earlierReader == r.node) {
            to.add("it joins a read under way", with(s, r.to(Phase.READ, s.earlierRead)));
        }
        to.add("its node reads the epoch", with(s, r.to(Phase.READ, s.epoch)));
    }

    private static State with(State s, Request r) {
        return s.next(t -> t.request = r);
    }

    /**
     * What a controller tells without a read: an end that its view shows, or a live job that it leads
     * ({@code LocalJobState.certainResponse}).
     */
    private static Integer certain(State s, int node, Fault fault) {
        if (s.at(s.views[node]) == OVER) {
            return OVER;
        }
        boolean deposed = fault == Fault.A_DEPOSED_LEADER_ANSWERS_FROM_MEMORY
                && node == 0
                && s.leader != 0
                && s.at(s.views[0]) == LIVE;
        boolean inDoubt = s.doubt || s.write != Write.NONE;
        boolean mayTell = !inDoubt || fault == Fault.MEMORY_ANSWERS_WHILE_AN_END_IS_IN_DOUBT;
        return deposed || (node == s.leader && s.owns && mayTell) ? (Integer) LIVE : null;
    }

    private static State answered(State s, int what) {
        return s.next(t -> {
            t.wentBack = what < t.request.floor;
            t.overtaken = what < t.told;
            t.told = Math.max(t.told, what);
            t.request = Request.NONE;
        });
    }

    private static Result<State> search(Fault fault, boolean byArrival) {
        Set<StateKey.Packed> seen = new HashSet<>();
        return StateSearch.run(
                List.of(new State()),
                (s, to) -> next(s, fault, to),
                s -> s.wentBack || (byArrival && s.overtaken),
                s -> seen.add(s.key()));
    }

    @Test
    void noAnswerIsOlderThanOneGivenBeforeItsRequestWasSent() {
        Result<State> result = search(Fault.NONE, false);
        assertFalse(result.broken(), () -> result.actions() + "\n" + result.trace());
        assertTrue(result.states() > 50_000, "states " + result.states());
        System.out.println("answers model: states " + result.states());
    }

    @Test
    void eachFaultIsFound() {
        for (Fault fault : Fault.values()) {
            if (fault != Fault.NONE) {
                Result<State> result = search(fault, false);
                assertTrue(result.broken(), fault.toString());
                System.out.println("answers model: " + fault + " after " + result.steps() + ": " + result.actions());
            }
        }
    }

    @Test
    void byOrderOfArrivalAnswersMayOvertakeEachOther() {
        Result<State> result = search(Fault.NONE, true);
        assertTrue(result.broken());
        System.out.println("answers model: overtaken after " + result.steps() + ": " + result.actions());
    }
}
