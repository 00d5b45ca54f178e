package org.hollypick.io;

/**
 * A token bucket for rate limits. Its capacity is the tokens of one second unless set otherwise. Confined to the event
 * loop.
 */
public final class TokenBucket {
    private double tokensPerSecond;
    /** The most tokens that can accumulate; at least 1 in effect. */
    private double capacity;

    private double tokens;
    /** When tokens were last added, by the event loop's monotonic clock. */
    private long refilledAtMillis;

    /** Creates a full bucket with a capacity of one second's tokens. */
    public TokenBucket(double tokensPerSecond, long nowMillis) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = tokensPerSecond;
        this.tokens = tokensPerSecond;
        this.refilledAtMillis = nowMillis;
    }

    /** Sets the rate, and the capacity to the tokens of one second. */
    public void setRate(double tokensPerSecond) {
        setRate(tokensPerSecond, tokensPerSecond);
    }

    /** Sets the rate and the capacity. */
    public void setRate(double tokensPerSecond, double capacity) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = capacity;
    }

    /** The rate at which tokens are added. */
    public double tokensPerSecond() {
        return tokensPerSecond;
    }

    /** The tokens that can be taken at once from a full bucket. */
    public double capacity() {
        return capacity;
    }

    private void refill(long nowMillis) {
        tokens = Math.min(Math.max(1, capacity), tokens + tokensPerSecond * (nowMillis - refilledAtMillis) / 1000.0);
        refilledAtMillis = nowMillis;
    }

    /** Whether {@code cost} tokens are available now; for a cost above the capacity, whether the bucket is full. */
    public boolean canTake(double cost, long nowMillis) {
        refill(nowMillis);
        return tokens >= Math.min(cost, Math.max(1, capacity));
    }

    /**
     * Takes the tokens, going below zero if necessary: urgent requests, such as session renewals, are sent without
     * waiting for tokens.
     */
    public void take(double cost, long nowMillis) {
        refill(nowMillis);
        tokens -= cost;
    }
}
