package org.hollypick.model;

/** Packs the parts of a model's state into 128 bits, without loss, so that states can be compared and remembered cheaply. */
final class StateKey {
    /** The packed parts. */
    record Packed(long high, long low) {}

    private static final int BITS = 128;

    private long high;
    private long low;
    private int used;

    /** {@code value} must be at least -1 and fit into that many bits once 1 is added. */
    StateKey number(int value, int bits) {
        if (value + 1 >>> bits != 0) {
            throw new IllegalArgumentException("value " + value + " in " + bits + " bits");
        }
        return append(value + 1, bits);
    }

    StateKey flag(boolean value) {
        return append(value ? 1 : 0, 1);
    }

    private StateKey append(int value, int bits) {
        used += bits;
        if (used > BITS) {
            throw new IllegalStateException("state needs more than " + BITS + " bits");
        }
        high = high << bits | low >>> Long.SIZE - bits;
        low = low << bits | value;
        return this;
    }

    Packed packed() {
        return new Packed(high, low);
    }
}
