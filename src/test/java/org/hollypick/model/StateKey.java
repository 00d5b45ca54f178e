package org.hollypick.model;

/**
 * Packs the parts of a model's state into 128 bits, without loss, so that states can be compared and remembered
 * cheaply.
 */
final class StateKey {
    /** The packed parts. */
    record Packed(long high, long low) {
        /** States differ in few bits, which the usual hash would map to the same few values. */
        @Override
        public int hashCode() {
            long mixed = (high * MIX ^ low) * MIX;
            return (int) (mixed ^ mixed >>> Integer.SIZE);
        }
    }

    private static final int BITS = 128;
    /** An odd number with bits all over. */
    private static final long MIX = 0x9E3779B97F4A7C15L;

    private long high;
    private long low;
    private int used;

    /** A value from 0. */
    StateKey number(int value, int bits) {
        if (value >>> bits != 0) {
            throw new IllegalArgumentException("value " + value + " in " + bits + " bits");
        }
        return append(value, bits);
    }

    /** A time, or -1 for none. */
    StateKey time(int value, int bits) {
        return number(value + 1, bits);
    }

    StateKey flag(boolean value) {
        return append(value ? 1 : 0, 1);
    }

    private StateKey append(int value, int bits) {
        used += bits;
        if (used > BITS) {
            throw new IllegalStateException("state needs more than " + BITS + " bits");
        }
        high = high << bits | low >>> (Long.SIZE - bits);
        low = low << bits | value;
        return this;
    }

    Packed packed() {
        return new Packed(high, low);
    }
}
