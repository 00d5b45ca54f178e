package org.hollypick.io;

/** A token bucket for rate limits. It holds one second's worth unless its size is set. Confined to the event loop. */
public final class TokenBucket {
    /** Tokens that are added a second. */
    private double tokensPerSecond;
    /** Tokens that the bucket holds at most. */
    private double capacity;

    private double tokens;
    /** When tokens were added last, on the event loop's clock. */
    private long refilledAtMillis;

    /** A full bucket; {@code tokensPerSecond}: the refill rate. */
    public TokenBucket(double tokensPerSecond, long nowMillis) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = tokensPerSecond;
        this.tokens = tokensPerSecond;
        this.refilledAtMillis = nowMillis;
    }

    /** Sets the tokens a second, and a size of one second's worth. */
    public void setRate(double tokensPerSecond) {
        setRate(tokensPerSecond, tokensPerSecond);
    }

    /** Sets the tokens a second, and how many may be taken at once after a pause. */
    public void setRate(double tokensPerSecond, double capacity) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = capacity;
    }

    /** Tokens a second. */
    public double tokensPerSecond() {
        return tokensPerSecond;
    }

    /** Tokens that may be taken at once after a pause. */
    public double capacity() {
        return capacity;
    }

    private void refill(long nowMillis) {
        tokens = Math.min(Math.max(1, capacity), tokens + tokensPerSecond * (nowMillis - refilledAtMillis) / 1000.0);
        refilledAtMillis = nowMillis;
    }

    /** Whether that many tokens could be taken now. A cost above the bucket's size needs a full bucket. */
    public boolean canTake(double cost, long nowMillis) {
        refill(nowMillis);
        return tokens >= Math.min(cost, Math.max(1, capacity));
    }

    /** Takes the tokens, going below zero if need be: renewals of leases don't wait. */
    public void take(double cost, long nowMillis) {
        refill(nowMillis);
        tokens -= cost;
    }
}
