package org.hollypick.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.longs.LongArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ClockConstants;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.config.constants.RelayConstants;
import org.hollypick.core.WorkerLeases;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.WireNames;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's state session, its member key and the claim to lead. The leader record names the leader and the stamp of
 * its member key: while that key stands, nobody else can claim. The leader record's own stamp is the token.
 */
public final class Membership {
    private static final String LIMITS = "limits";
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

    private final EventLoop eventLoop;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final StoreReplica replica;
    private final CandidacyEvaluation evaluation;
    private final Runnable changed;
    private final int candidacyOrder;
    private final String limits;

    private long stateSession;
    private boolean held;
    private long stateSessionUntil;
    /** The stamp of this incarnation's member key; 0 while there is none. */
    private long memberRevision;

    private long renewedAt;
    /** Until when, and for which token, all other controllers have promised not to claim. */
    private long leaseGrantedUntil;

    private long leaseGrantedToken;
    /** Until when this node has promised not to claim. */
    private long noCandidacyUntil;

    private long isolatedUntil;
    /** When another controller last answered a question. */
    private long lastPeerResponseAt;

    private boolean claiming;
    private long claimNotBefore;
    /** What an earlier self let others answer for it is over. */
    private final long earlierGrantsExpireAt;

    private int incarnation;
    /** The newest leader record that another controller told of. */
    private Leader leaderToldByPeer;
    /** When this node gave up its lead, by the time of day; told with its member key, so that all know. */
    private final LongArrayList resigned = new LongArrayList();

    public Membership(
            EventLoop eventLoop, KeyValueStoreClient store, Settings settings, StoreReplica replica, Runnable changed) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.settings = settings;
        this.replica = replica;
        this.limits = settings.limitsMark();
        this.evaluation = new CandidacyEvaluation(eventLoop, settings, replica);
        this.changed = changed;
        TreeSet<String> names = new TreeSet<>(List.of(settings.node()));
        settings.siblings().forEach(s -> names.add(s.node()));
        this.candidacyOrder = names.headSet(settings.node()).size();
        // An earlier self may have promised just before it ended.
        this.noCandidacyUntil = eventLoop.now() + atMost(ElectionConstants.LEASE_GRANT_MS);
        this.earlierGrantsExpireAt = eventLoop.now() + atMost(RelayConstants.RELAY_VALIDITY_MS);
        askOthers();
    }

    /**
     * One process runs under a node's name at a time, so a member key found at the start is a dead self's: its state
     * session is ended.
     */
    public void start() {
        store.get(StoreKeys.member(settings.node()), r -> {
            if (r.ok() && r.body().path(WireNames.STORE_SESSION).isNumber()) {
                endEarlier(
                        Codec.u64(r.body().path(WireNames.STORE_SESSION)),
                        Codec.u64(r.body().path(WireNames.REVISION)));
            } else if (r.ok() || r.status() == 404) {
                join();
            } else {
                eventLoop.after(300, this::start);
            }
        });
    }

    /** Not before others have certainly stopped passing on what the earlier self answered. */
    private void endEarlier(long old, long member) {
        released(
                member,
                earlierGrantsExpireAt - eventLoop.now(),
                () -> store.endSession(old, e -> {
                    LOG.info(
                            "ended the state session of the earlier self state_session={} status={}",
                            Long.toUnsignedString(old),
                            e.status());
                    if (e.status() == 200 || e.status() == 204 || e.status() == 404) {
                        join();
                    } else {
                        eventLoop.after(300, this::start);
                    }
                }));
    }

    /**
     * Goes on once no other controller passes on anything more that this node answered under that member key: when all
     * of them have said so, or when the time for which they may is certainly over.
     */
    private void released(long member, long withinMs, Runnable then) {
        boolean[] gone = {false};
        Runnable once = () -> {
            if (!gone[0]) {
                gone[0] = true;
                then.run();
            }
        };
        eventLoop.after(Math.max(0, withinMs), once);
        int[] missing = {settings.siblings().size()};
        for (Settings.Sibling s : settings.siblings()) {
            eventLoop.send(
                    new Request(
                            s.addr(),
                            "POST",
                            "/release",
                            Codec.object().put("member", member),
                            NetworkConstants.PEER_TIMEOUT_MS,
                            true),
                    r -> {
                        if (r.ok() && r.body().path("released").asBoolean() && --missing[0] == 0) {
                            once.run();
                        }
                    });
        }
    }

    private void join() {
        int self = ++incarnation;
        held = false;
        memberRevision = 0;
        long sent = eventLoop.now();
        store.grantSession(ElectionConstants.SESSION_TTL_MS, r -> {
            if (!r.ok()) {
                eventLoop.after(ElectionConstants.SESSION_RETRY_MS, this::join);
                return;
            }
            stateSession = Codec.u64(r.body().path(WireNames.STORE_SESSION));
            held = true;
            heldFrom(sent);
            enter(self);
            eventLoop.after(ElectionConstants.SESSION_RENEWAL_INTERVAL_MS, () -> renew(self));
        });
    }

    /** How long a time that runs on another clock certainly lasts here. */
    public static long atLeast(long ms) {
        return (long) (ms * (1 - ClockConstants.CLOCK_DRIFT_RATIO)) - ClockConstants.CLOCK_MARGIN_MS;
    }

    /** How long a time on another clock may last here. */
    private static long atMost(long ms) {
        return (long) (ms * (1 + ClockConstants.CLOCK_DRIFT_RATIO)) + ClockConstants.CLOCK_MARGIN_MS;
    }

    private void heldFrom(long sent) {
        renewedAt = eventLoop.now();
        stateSessionUntil = sent + atLeast(ElectionConstants.SESSION_TTL_MS);
    }

    private void enter(int self) {
        if (self != incarnation) {
            return;
        }
        ObjectNode data = Codec.object().put("location", settings.zone()).put("mesh", settings.meshAddr());
        ArrayNode times = data.putArray("resigned");
        resigned.forEach(times::add);
        // Conditional on the key's absence: a copy that is applied late must not give the key a new stamp, which the
        // others would take for a new incarnation while this one still acts.
        String key = StoreKeys.member(settings.node());
        store.commitUrgently(new CompareAndSwap().expectAbsent(key).putWithLease(key, data, stateSession), r -> {
            if (self != incarnation) {
                return;
            }
            if (r.ok()) {
                entered(Codec.u64(r.body().path("epoch")));
            } else if (r.status() == 409) {
                store.get(key, g -> {
                    if (self != incarnation) {
                        return;
                    }
                    if (g.ok() && Codec.u64(g.body().path(WireNames.STORE_SESSION)) == stateSession) {
                        entered(Codec.u64(g.body().path(WireNames.REVISION))); // an earlier try was applied after all
                    } else {
                        eventLoop.after(ElectionConstants.SESSION_RETRY_MS, () -> enter(self));
                    }
                });
            } else if (r.status() == 400) {
                join();
            } else {
                eventLoop.after(ElectionConstants.SESSION_RETRY_MS, () -> enter(self));
            }
        });
    }

    private void entered(long stamp) {
        memberRevision = stamp;
        LOG.info(
                "joined state_session={} member={}", Long.toUnsignedString(stateSession), Long.toUnsignedString(stamp));
        changed.run();
    }

    private void renew(int self) {
        if (self != incarnation) {
            return;
        }
        long sent = eventLoop.now();
        store.renewSession(stateSession, r -> {
            if (self != incarnation) {
                return;
            }
            if (r.ok()) {
                // A state session that could be renewed never ended, so whatever rests on it still stands.
                heldFrom(sent);
                eventLoop.after(ElectionConstants.SESSION_RENEWAL_INTERVAL_MS, () -> renew(self));
                changed.run();
            } else if (r.status() == 404) {
                LOG.info("state session lost state_session={}", Long.toUnsignedString(stateSession));
                join();
                changed.run();
            } else {
                eventLoop.after(ElectionConstants.SESSION_RETRY_MS, () -> renew(self));
            }
        });
    }

    /** Whether this node's own state session is certainly valid now. */
    public boolean valid() {
        return held && eventLoop.now() < stateSessionUntil;
    }

    // ---- promises: how a leader goes on while the state service is away ----

    /**
     * While renewals fail, asks every other controller whether it reaches the state service, and a leader asks them not
     * to claim for a while: only if all of them promise does it count.
     */
    private void askOthers() {
        if (!settings.siblings().isEmpty() && eventLoop.now() - renewedAt > ElectionConstants.LEASE_GRANT_AFTER_MS) {
            long token = token();
            long sent = eventLoop.now();
            int[] missing = {settings.siblings().size()};
            for (Settings.Sibling s : settings.siblings()) {
                eventLoop.send(
                        new Request(
                                s.addr(),
                                "POST",
                                "/promise",
                                Codec.object().put(WireNames.FENCING_TOKEN, token),
                                NetworkConstants.PEER_TIMEOUT_MS,
                                true),
                        r -> {
                            if (r.ok()) {
                                lastPeerResponseAt = eventLoop.now();
                                learnLeader(r.body().path(WireNames.LEADER_RECORD));
                            }
                            if (r.ok() && r.body().path("reaches_state").asBoolean()) {
                                isolatedUntil = eventLoop.now() + ElectionConstants.ISOLATION_MS;
                            }
                            if (r.ok()
                                    && r.body().path("promised").asBoolean()
                                    && --missing[0] == 0
                                    && token == token()) {
                                leaseGrantedToken = token;
                                leaseGrantedUntil = sent + atLeast(ElectionConstants.LEASE_GRANT_MS);
                            }
                        });
            }
        }
        eventLoop.after(ElectionConstants.LEASE_GRANT_INTERVAL_MS, this::askOthers);
    }

    /**
     * This node can't reach the state service though another can, or reaches neither it nor any other controller: users
     * are better served elsewhere.
     */
    public boolean isolated() {
        long now = eventLoop.now();
        boolean cutOff = !settings.siblings().isEmpty()
                && now - Math.max(lastPeerResponseAt, renewedAt) > ElectionConstants.SESSION_TTL_MS;
        return !reachesState() && (now < isolatedUntil || cutOff);
    }

    /** Whether the state service answered lately. */
    public boolean reachesState() {
        return held && eventLoop.now() - renewedAt < ElectionConstants.LEASE_GRANT_AFTER_MS;
    }

    /**
     * Another controller asks this one not to claim. Granted only while this node's view shows the asker's member key
     * in place: then this node can't have a claim under way against that leader record.
     */
    private boolean promise(long token) {
        if (!replica.loaded() || token == 0 || leaderRecordRevision() != token || leaderRecordVacant()) {
            return false;
        }
        if (reachesState()) {
            // the state service is there: the asker alone is cut off from it, and its work is better taken over
            return false;
        }
        noCandidacyUntil = Math.max(noCandidacyUntil, eventLoop.now() + atMost(ElectionConstants.LEASE_GRANT_MS));
        return true;
    }

    /**
     * Whether an own or an earlier self's promise forbids a claim now. A leader record that names this node itself
     * binds nobody.
     */
    private boolean promised() {
        return eventLoop.now() < noCandidacyUntil && !settings.node().equals(leader()) && leader() != null;
    }

    /** Whether this node may act as leader under this token right now. */
    public boolean holdsLeaderLease(long token) {
        boolean holdsLeaderLease =
                valid() || (held && leaseGrantedToken == token && eventLoop.now() < leaseGrantedUntil);
        return holdsLeaderLease && token != 0 && token == token();
    }

    /** By what this node may act, and renew leases, under this token right now, for the log. */
    public String right(long token) {
        return !holdsLeaderLease(token) ? "none" : valid() ? "session" : "promises";
    }

    /** The state session that this node's keys are attached to; null while there is none that is certainly valid. */
    public Long stateSession() {
        return valid() ? stateSession : null;
    }

    /** Until when this node may, or might, act as leader under this token. */
    public long leaderLeaseUntil(long token) {
        return Math.max(
                held ? stateSessionUntil : WorkerLeases.NEVER,
                leaseGrantedToken == token ? leaseGrantedUntil : WorkerLeases.NEVER);
    }

    /** The leader record's revision if the leader record names this very incarnation, else 0. */
    public long token() {
        StoreReplica.Entry leaderRecord = replica.get(StoreKeys.LEADER_RECORD);
        return leaderRecord != null
                        && memberRevision != 0
                        && leaderRecord.data().path("leader").asText().equals(settings.node())
                        && Codec.u64(leaderRecord.data().path("member")) == memberRevision
                ? leaderRecord.revision()
                : 0;
    }

    /** The leader that the leader record names, which may be dead; null without a leader record. */
    public String leader() {
        StoreReplica.Entry leaderRecord = replica.get(StoreKeys.LEADER_RECORD);
        return leaderRecord == null ? null : leaderRecord.data().path("leader").asText();
    }

    /** The stamp of this incarnation's member key, which no other ever has; 0 while there is none. */
    public long member() {
        return memberRevision;
    }

    /** How many terms there have been, the present one included. */
    public long terms() {
        StoreReplica.Entry leaderRecord = replica.get(StoreKeys.LEADER_RECORD);
        return leaderRecord == null ? 0 : leaderRecord.data().path("terms").asLong();
    }

    /** The leader that the leader record names still has its member key. */
    public boolean leaderRegistered() {
        return !leaderRecordVacant();
    }

    /** Who leads by a leader record: the node, the stamp of its member key, and the token. */
    public record Leader(String node, long member, long token) {}

    /**
     * Who leads, as far as this node knows: by its view, or by the word of another that knows a newer leader record
     * while this one's view stands still. Null if nobody does.
     */
    public Leader currentLeader() {
        if (peerKnowsNewerLeader()) {
            return leaderToldByPeer;
        }
        return leaderRecordVacant()
                ? null
                : new Leader(
                        leader(),
                        Codec.u64(replica.get(StoreKeys.LEADER_RECORD).data().path("member")),
                        leaderRecordRevision());
    }

    /**
     * Another controller told of a newer leader record than this node's view shows. Reports go there; everything else
     * waits for the view.
     */
    public boolean peerKnowsNewerLeader() {
        return leaderToldByPeer != null && Long.compareUnsigned(leaderToldByPeer.token, leaderRecordRevision()) > 0;
    }

    private void learnLeader(JsonNode leaderRecord) {
        long token = Codec.u64(leaderRecord.path(WireNames.FENCING_TOKEN));
        if (token != 0 && (leaderToldByPeer == null || Long.compareUnsigned(token, leaderToldByPeer.token) > 0)) {
            leaderToldByPeer =
                    new Leader(leaderRecord.path("leader").asText(), Codec.u64(leaderRecord.path("member")), token);
        }
    }

    /**
     * This node's answer to another that asks for a promise; it asks since it has no way to the state service, so it is
     * told of the leader record.
     */
    public ObjectNode promised(long token) {
        ObjectNode answer = Codec.object().put("promised", promise(token)).put("reaches_state", reachesState());
        Leader currentLeader = currentLeader();
        if (currentLeader != null) {
            answer.putObject(WireNames.LEADER_RECORD)
                    .put("leader", currentLeader.node)
                    .put("member", currentLeader.member)
                    .put(WireNames.FENCING_TOKEN, currentLeader.token);
        }
        return answer;
    }

    public long leaderRecordRevision() {
        return replica.revision(StoreKeys.LEADER_RECORD);
    }

    /**
     * Whether the last time that any controller gave up its lead is long enough ago, the longer the more of them did
     * lately: if that didn't help, it hardly will now, and each takeover is work for those that remain.
     */
    public boolean resignationAllowed() {
        long now = eventLoop.timeOfDay();
        LongArrayList lately = new LongArrayList(resigned);
        for (Settings.Sibling s : settings.siblings()) {
            StoreReplica.Entry member = replica.get(StoreKeys.member(s.node()));
            if (member != null) {
                member.data().path("resigned").forEach(t -> lately.add(t.asLong()));
            }
        }
        lately.removeIf(
                t -> t > now + ClockConstants.CLOCK_MARGIN_MS || now - t > ElectionConstants.RESIGNATION_MEMORY_MS);
        long last = 0;
        for (long t : lately) {
            last = Math.max(last, t);
        }
        int count = Math.min(lately.size(), ElectionConstants.RESIGNATION_BACKOFF_DOUBLINGS);
        return lately.isEmpty() || now - last >= ElectionConstants.RESIGNATION_PAUSE_MS << count;
    }

    /** Gives up the lead, and this incarnation with it, so that another controller takes over. */
    public void resign() {
        long old = stateSession;
        long member = memberRevision;
        resigned.add(eventLoop.timeOfDay());
        if (resigned.size() > ElectionConstants.RESIGNATION_BACKOFF_DOUBLINGS) {
            resigned.removeLong(0);
        }
        claimNotBefore = eventLoop.now() + ElectionConstants.NO_CANDIDACY_AFTER_RESIGNATION_MS;
        join();
        // Others may still pass answers of this leader on, for as long as it told them.
        released(
                member,
                atMost(RelayConstants.RELAY_VALIDITY_MS),
                () -> store.endSession(
                        old,
                        r -> LOG.info("resigned state_session={} status={}", Long.toUnsignedString(old), r.status())));
        changed.run();
    }

    /** Claims the lead when nobody can hold it: the named leader's member key is gone or another incarnation's. */
    public void campaignIfVacant() {
        if (claiming || !replica.loaded() || memberRevision == 0 || !valid() || !leaderRecordVacant()) {
            return;
        }
        claiming = true;
        if (promised() || eventLoop.now() < claimNotBefore) {
            eventLoop.after(ElectionConstants.CANDIDACY_STEP_MS, () -> {
                claiming = false;
                campaignIfVacant();
            });
            return;
        }
        eventLoop.after(
                candidacyOrder * ElectionConstants.CANDIDACY_STEP_MS,
                () -> evaluation.measure(false, m -> {
                    long ms = m.waitMs();
                    if (ms > 0) {
                        LOG.info("few machines answer, leaving the lead to others for ms={} measured={}", ms, m);
                    }
                    eventLoop.after(ms, this::claim);
                }));
    }

    /** Asks some machines, and the others about them: who would lead best? */
    public void measure(Consumer<CandidacyEvaluation.Measured> then) {
        evaluation.measure(true, then);
    }

    private void claim() {
        if (memberRevision == 0 || !valid() || !leaderRecordVacant() || promised()) {
            claiming = false;
        } else {
            String leader = leader();
            CompareAndSwap transaction = new CompareAndSwap()
                    .expectRevision(StoreKeys.LEADER_RECORD, leaderRecordRevision())
                    .expectRevision(StoreKeys.member(settings.node()), memberRevision);
            if (leader != null && !leader.equals(settings.node())) {
                transaction.expectRevision(StoreKeys.member(leader), replica.revision(StoreKeys.member(leader)));
            }
            write(transaction, limitsKept(), leader == null ? "first" : "after " + leader);
        }
    }

    /**
     * Whether all leaders so far have kept the limits of teams that this one keeps: a leader says which it keeps only
     * if that holds for those before it.
     */
    public boolean limitsKept() {
        StoreReplica.Entry leaderRecord = replica.get(StoreKeys.LEADER_RECORD);
        return leaderRecord == null || leaderRecord.data().path(LIMITS).asText().equals(limits);
    }

    /**
     * Writes the leader record again, as it is: its new stamp is a new token, under which no older order is executed
     * any more.
     */
    public void fence(long token) {
        fence(token, limitsKept());
    }

    /** The same, and tells that from now on the limits are kept that this leader keeps, whatever was before. */
    public void recordLimitsKept(long token) {
        fence(token, true);
    }

    private void fence(long token, boolean limitsKept) {
        if (!claiming && valid() && holdsLeaderLease(token)) {
            claiming = true;
            write(
                    new CompareAndSwap()
                            .expectRevision(StoreKeys.LEADER_RECORD, token)
                            .expectRevision(StoreKeys.member(settings.node()), memberRevision),
                    limitsKept,
                    "a fence");
        }
    }

    private void write(CompareAndSwap transaction, boolean limitsKept, String why) {
        ObjectNode leaderRecord = Codec.object()
                .put("leader", settings.node())
                .put("member", memberRevision)
                .put("terms", terms() + 1);
        if (limitsKept) {
            leaderRecord.put(LIMITS, limits);
        }
        store.commitUrgently(transaction.put(StoreKeys.LEADER_RECORD, leaderRecord), r -> {
            LOG.info("leader record written status={} why={}", r.status(), why);
            // The watch brings the outcome, whatever the answer was.
            eventLoop.after(r.ok() || r.status() == 409 ? 200 : ElectionConstants.SESSION_RETRY_MS, () -> {
                claiming = false;
                campaignIfVacant();
            });
        });
    }

    private boolean leaderRecordVacant() {
        StoreReplica.Entry leaderRecord = replica.get(StoreKeys.LEADER_RECORD);
        return leaderRecord == null
                || replica.revision(StoreKeys.member(
                                leaderRecord.data().path("leader").asText()))
                        != Codec.u64(leaderRecord.data().path("member"));
    }
}
