package org.hollypick.core;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ClockConstants;
import org.hollypick.config.constants.LeaseConstants;
import org.hollypick.config.constants.ReachabilityConstants;

/**
 * When workers' leases have certainly ended, although other controllers may keep them alive while they reach neither
 * the state service nor the leader (docs/safety.md, "Kept leases"). Pure; one for each term. Every other controller
 * asks again and again; the answer, if it grants anything, lets it renew leases, under this token, for a while counted
 * from when it sent the question.
 */
public final class WorkerLeases {
    /** Before any time that a clock tells, and far enough from the end of the numbers to be reckoned with. */
    public static final long NEVER = -(1L << 61);

    /** What a controller names that has seen no answer of this leader since it began. */
    public static final long NO_ECHO = 0;

    /** What one other controller has told, and what it may do. Times are this leader's. */
    private static final class Custodian {
        /** Under older tokens it kept nothing after this. */
        private long olderUntil;

        private boolean asked;
        /** The last answers to it, by number. */
        private final Map<Long, Long> answers = new LinkedHashMap<>();
        /** All that it kept before this is accounted for: it asked later than that, and told so. */
        private long clear = NEVER;
        /** The last time it may have kept anything, as far as it told. */
        private long kept = NEVER;
        /** The last time a grant still holds. */
        private long granted = NEVER;
    }

    private final long leaseMs;
    private final long windowMs;
    private final long termStart;
    private final Map<String, Custodian> custodians = new HashMap<>();
    /** This node's own keeping, while it wasn't entitled. */
    private long ownKept = NEVER;

    private long numbers;

    /** {@code nobodyBefore}: no older leader can have granted anything. */
    public WorkerLeases(Settings settings, Collection<String> others, long termStart, boolean nobodyBefore) {
        this.windowMs = windowMs(settings);
        this.leaseMs = (long) (settings.leaseS() * 1000 * (1 + ClockConstants.CLOCK_DRIFT_RATIO))
                + ClockConstants.CLOCK_MARGIN_MS
                + LeaseConstants.LEASE_MARGIN_MS;
        this.termStart = termStart;
        for (String other : others) {
            Custodian k = new Custodian();
            k.olderUntil = nobodyBefore ? NEVER : termStart + possibly(windowMs);
            custodians.put(other, k);
        }
    }

    /** When this term began. */
    long termStart() {
        return termStart;
    }

    /**
     * For how long leases may be kept, in milliseconds; 0 if not at all. A cancellation that the custodian doesn't know
     * of was told after the grant, so whatever it keeps has to be gone, its lease included, within the time that a
     * cancelled task has.
     */
    public static long windowMs(Settings settings) {
        long window = (long) ((settings.cancelS() - settings.leaseS()) * 1000) - LeaseConstants.RENEWAL_GRANT_MARGIN_MS;
        return window < LeaseConstants.RENEWAL_GRANT_MIN_MS ? 0 : window;
    }

    private static long possibly(long ms) {
        return (long) (ms * (1 + ClockConstants.CLOCK_DRIFT_RATIO)) + ClockConstants.CLOCK_MARGIN_MS;
    }

    /**
     * Another controller asks under this term's token. {@code echo}: the newest answer that it has seen; {@code kept}:
     * it kept leases since it last told.
     */
    public void asked(String node, long echo, boolean kept, long now) {
        Custodian k = custodians.get(node);
        if (k == null) {
            return;
        }
        if (!k.asked) {
            k.asked = true;
            k.olderUntil = Math.min(k.olderUntil, now); // it knows this token, so it keeps nothing under an older one
        }
        // One that has seen no answer of this leader may have begun again: it doesn't know what its earlier process
        // kept, which had ended by now.
        if (kept || echo == NO_ECHO) {
            k.kept = Math.max(k.kept, now);
        }
        Long answered = k.answers.get(echo);
        if (answered != null) {
            k.clear = Math.max(k.clear, answered);
        }
    }

    /** The number of the answer that goes out now. */
    public long answer(String node, boolean granted, long now) {
        long number = ++numbers;
        Custodian k = custodians.get(node);
        if (k != null) {
            k.answers.put(number, now);
            while (k.answers.size() > LeaseConstants.REMEMBERED_GRANTS) {
                k.answers.remove(k.answers.keySet().iterator().next());
            }
            if (granted) {
                k.granted = Math.max(k.granted, now + possibly(windowMs));
            }
        }
        return number;
    }

    /** All others have asked in this term: none of them is of a version that doesn't know of kept leases. */
    public boolean allAsked() {
        return custodians.values().stream().allMatch(k -> k.asked);
    }

    /** This node itself renewed leases while it wasn't entitled to act. */
    public void keptByItself(long now) {
        ownKept = Math.max(ownKept, now);
    }

    /**
     * Whether a lease renewed then still holds, even if the report that renewed it was sent a while before: a session
     * that ends now wasn't renewed by it.
     */
    public boolean fresh(long renewed, long now) {
        return now - renewed < leaseMs - ReachabilityConstants.UNANSWERED_HEARTBEAT_GAP_MS;
    }

    /** Whether a lease is certainly over that this leader last renewed, or first heard of, at {@code renewed}. */
    public boolean over(long renewed, long now) {
        if (now - renewed <= leaseMs) {
            return false; // by far the most common
        }
        long last = Math.max(Math.max(renewed, termStart), ownKept);
        long clear = now;
        long mayBe = last;
        for (Custodian k : custodians.values()) {
            last = Math.max(last, Math.max(k.olderUntil, k.kept));
            clear = Math.min(clear, k.clear);
            mayBe = Math.max(mayBe, k.granted);
        }
        // Either it was over before anything could have been kept that isn't accounted for, or after all that may ever
        // be.
        return clear - last > leaseMs || now - Math.max(last, mayBe) > leaseMs;
    }
}
