package org.hollypick.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.TreeSet;
import org.hollypick.config.Constants;
import org.hollypick.config.Settings;
import org.hollypick.io.Codec;
import org.hollypick.io.Runtime;
import org.hollypick.state.StateClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's hold, its member key and the claim to lead. The roster names the leader and the stamp of its member key:
 * while that key stands, nobody else can claim. The roster's own stamp is the baton.
 */
public final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

    private final Runtime runtime;
    private final StateClient state;
    private final Settings settings;
    private final View view;
    private final Runnable changed;
    private final int rank;

    private long tenancy;
    private boolean held;
    private long holdUntil;
    /** The stamp of this incarnation's member key; 0 while there is none. */
    private long memberStamp;
    private boolean claiming;
    private int incarnation;

    public Membership(Runtime runtime, StateClient state, Settings settings, View view, Runnable changed) {
        this.runtime = runtime;
        this.state = state;
        this.settings = settings;
        this.view = view;
        this.changed = changed;
        TreeSet<String> names = new TreeSet<>(List.of(settings.node()));
        settings.siblings().forEach(s -> names.add(s.node()));
        this.rank = names.headSet(settings.node()).size();
    }

    /** One process runs under a node's name at a time, so a member key found at the start is a dead self's: its hold is ended. */
    public void start() {
        state.get(Keys.member(settings.node()), r -> {
            if (r.ok() && r.body().path("tenancy").isNumber()) {
                long old = Codec.u64(r.body().path("tenancy"));
                state.end(old, e -> {
                    LOG.info("ended the hold of the earlier self tenancy={} status={}", Long.toUnsignedString(old), e.status());
                    if (e.status() == 200 || e.status() == 204 || e.status() == 404) {
                        join();
                    } else {
                        runtime.after(300, this::start);
                    }
                });
            } else if (r.ok() || r.status() == 404) {
                join();
            } else {
                runtime.after(300, this::start);
            }
        });
    }

    private void join() {
        int self = ++incarnation;
        held = false;
        memberStamp = 0;
        long sent = runtime.now();
        state.grant(Constants.HOLD_MS, r -> {
            if (!r.ok()) {
                runtime.after(Constants.RENEW_RETRY_MS, this::join);
                return;
            }
            tenancy = Codec.u64(r.body().path("tenancy"));
            held = true;
            heldFrom(sent);
            enter(self);
            runtime.after(Constants.RENEW_MS, () -> renew(self));
        });
    }

    private void heldFrom(long sent) {
        holdUntil = sent + (long) (Constants.HOLD_MS * (1 - Constants.DRIFT)) - Constants.CLOCK_MARGIN_MS;
    }

    private void enter(int self) {
        if (self != incarnation) {
            return;
        }
        ObjectNode data = Codec.object().put("location", settings.zone()).put("mesh", settings.meshAddr());
        // Conditional on the key's absence: a copy that is applied late must not give the key a new stamp, which the others
        // would take for a new incarnation while this one still acts.
        String key = Keys.member(settings.node());
        state.commitNow(new StateClient.Txn().when(key, 0).putLeased(key, data, tenancy), r -> {
            if (self != incarnation) {
                return;
            }
            if (r.ok()) {
                entered(Codec.u64(r.body().path("epoch")));
            } else if (r.status() == 409) {
                state.get(key, g -> {
                    if (self != incarnation) {
                        return;
                    }
                    if (g.ok() && Codec.u64(g.body().path("tenancy")) == tenancy) {
                        entered(Codec.u64(g.body().path("stamp"))); // an earlier try was applied after all
                    } else {
                        runtime.after(Constants.RENEW_RETRY_MS, () -> enter(self));
                    }
                });
            } else if (r.status() == 400) {
                join();
            } else {
                runtime.after(Constants.RENEW_RETRY_MS, () -> enter(self));
            }
        });
    }

    private void entered(long stamp) {
        memberStamp = stamp;
        LOG.info("joined tenancy={} member={}", Long.toUnsignedString(tenancy), Long.toUnsignedString(stamp));
        changed.run();
    }

    private void renew(int self) {
        if (self != incarnation) {
            return;
        }
        long sent = runtime.now();
        state.extend(tenancy, r -> {
            if (self != incarnation) {
                return;
            }
            if (r.ok()) {
                // A hold that could be renewed never ended, so whatever rests on it still stands.
                heldFrom(sent);
                runtime.after(Constants.RENEW_MS, () -> renew(self));
                changed.run();
            } else if (r.status() == 404) {
                LOG.info("hold lost tenancy={}", Long.toUnsignedString(tenancy));
                join();
                changed.run();
            } else {
                runtime.after(Constants.RENEW_RETRY_MS, () -> renew(self));
            }
        });
    }

    /** Whether this node's own hold is certainly valid now. */
    public boolean valid() {
        return held && runtime.now() < holdUntil;
    }

    /** Whether this node may act as leader under this baton right now. */
    public boolean entitled(long baton) {
        return valid() && baton != 0 && baton == baton();
    }

    /** The roster's stamp if the roster names this very incarnation, else 0. */
    public long baton() {
        View.Entry roster = view.get(Keys.ROSTER);
        return roster != null && memberStamp != 0 && roster.data().path("leader").asText().equals(settings.node())
                && Codec.u64(roster.data().path("member")) == memberStamp ? roster.stamp() : 0;
    }

    /** The leader that the roster names, which may be dead; null without a roster. */
    public String leader() {
        View.Entry roster = view.get(Keys.ROSTER);
        return roster == null ? null : roster.data().path("leader").asText();
    }

    public long rosterStamp() {
        return view.stamp(Keys.ROSTER);
    }

    /** Claims the lead when nobody can hold it: the named leader's member key is gone or another incarnation's. */
    public void claimIfFree() {
        if (claiming || !view.loaded() || memberStamp == 0 || !valid() || !free()) {
            return;
        }
        claiming = true;
        runtime.after(rank * Constants.CLAIM_STEP_MS, () -> {
            if (memberStamp == 0 || !valid() || !free()) {
                claiming = false;
                return;
            }
            String leader = leader();
            StateClient.Txn txn = new StateClient.Txn().when(Keys.ROSTER, rosterStamp()).when(Keys.member(settings.node()), memberStamp);
            if (leader != null && !leader.equals(settings.node())) {
                txn.when(Keys.member(leader), view.stamp(Keys.member(leader)));
            }
            write(txn, leader == null ? "first" : "after " + leader);
        });
    }

    /** Writes the roster again, as it is: its new stamp is a new baton, under which no older order is executed any more. */
    public void fence(long baton) {
        if (!claiming && entitled(baton)) {
            claiming = true;
            write(new StateClient.Txn().when(Keys.ROSTER, baton).when(Keys.member(settings.node()), memberStamp), "a fence");
        }
    }

    private void write(StateClient.Txn txn, String why) {
        ObjectNode roster = Codec.object().put("leader", settings.node()).put("member", memberStamp);
        state.commitNow(txn.put(Keys.ROSTER, roster), r -> {
            LOG.info("roster written status={} why={}", r.status(), why);
            // The watch brings the outcome, whatever the answer was.
            runtime.after(r.ok() || r.status() == 409 ? 200 : Constants.RENEW_RETRY_MS, () -> {
                claiming = false;
                claimIfFree();
            });
        });
    }

    private boolean free() {
        View.Entry roster = view.get(Keys.ROSTER);
        return roster == null
                || view.stamp(Keys.member(roster.data().path("leader").asText())) != Codec.u64(roster.data().path("member"));
    }
}
