package org.hollypick.io;

/** A token bucket for rate limits. It holds one second's worth unless its size is set. Confined to the event loop. */
public final class TokenBucket {
    /** Tokens that are added a second. */
    private double rate;
    /** Tokens that the bucket holds at most. */
    private double size;

    private double tokens;
    /** When tokens were added last, on the event loop's clock. */
    private long refilledAtMillis;

    /** A full bucket; {@code rate}: tokens a second. */
    public TokenBucket(double rate, long nowMillis) {
        this.rate = rate;
        this.size = rate;
        this.tokens = rate;
        this.refilledAtMillis = nowMillis;
    }

    /** Sets the tokens a second, and a size of one second's worth. */
    public void setRate(double rate) {
        setRate(rate, rate);
    }

    /** Sets the tokens a second, and how many may be taken at once after a pause. */
    public void setRate(double rate, double size) {
        this.rate = rate;
        this.size = size;
    }

    /** Tokens a second. */
    public double rate() {
        return rate;
    }

    /** Tokens that may be taken at once after a pause. */
    public double size() {
        return size;
    }

    private void refill(long nowMillis) {
        tokens = Math.min(Math.max(1, size), tokens + rate * (nowMillis - refilledAtMillis) / 1000.0);
        refilledAtMillis = nowMillis;
    }

    /** Whether that many tokens could be taken now. A cost above the bucket's size needs a full bucket. */
    public boolean has(double cost, long nowMillis) {
        refill(nowMillis);
        return tokens >= Math.min(cost, Math.max(1, size));
    }

    /** Takes the tokens, going below zero if need be: renewals of leases don't wait. */
    public void take(double cost, long nowMillis) {
        refill(nowMillis);
        tokens -= cost;
    }
}
