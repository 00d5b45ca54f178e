package org.hollypick.io;

/** A token bucket that holds one second's worth, or less where that is said. */
public final class TokenBucket {
    private double rate;
    private double size;
    private double tokens;
    private long at;

    public TokenBucket(double rate, long now) {
        this.rate = rate;
        this.size = rate;
        this.tokens = rate;
        this.at = now;
    }

    public void setRate(double rate) {
        setRate(rate, rate);
    }

    /** {@code size}: what may be taken at once after a pause. */
    public void setRate(double rate, double size) {
        this.rate = rate;
        this.size = size;
    }

    public double rate() {
        return rate;
    }

    public double size() {
        return size;
    }

    private void refill(long now) {
        tokens = Math.min(Math.max(1, size), tokens + rate * (now - at) / 1000.0);
        at = now;
    }

    /** Whether that many could be taken now. A cost above the bucket's size needs a full bucket. */
    public boolean has(double cost, long now) {
        refill(now);
        return tokens >= Math.min(cost, Math.max(1, size));
    }

    /** Takes them, going below zero if need be (leases do not wait). */
    public void take(double cost, long now) {
        refill(now);
        tokens -= cost;
    }
}
