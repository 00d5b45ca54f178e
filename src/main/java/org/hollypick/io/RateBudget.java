package org.hollypick.io;

/** A token bucket that holds one second's worth. */
public final class RateBudget {
    private double rate;
    private double tokens;
    private long at;

    public RateBudget(double rate, long now) {
        this.rate = rate;
        this.tokens = rate;
        this.at = now;
    }

    public void setRate(double rate) {
        this.rate = rate;
    }

    public double rate() {
        return rate;
    }

    private void refill(long now) {
        tokens = Math.min(Math.max(1, rate), tokens + rate * (now - at) / 1000.0);
        at = now;
    }

    /** Whether that many could be taken now. A cost above the bucket's size needs a full bucket. */
    public boolean has(double cost, long now) {
        refill(now);
        return tokens >= Math.min(cost, Math.max(1, rate));
    }

    /** Takes them, going below zero if need be (leases do not wait). */
    public void take(double cost, long now) {
        refill(now);
        tokens -= cost;
    }
}
