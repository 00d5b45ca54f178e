package org.hollypick.model;

/** Packs a model's state into 128 bits without loss, which makes visited states cheap to store and to compare. */
final class StateKey {
    /** The packed state. */
    record Packed(long high, long low) {
        /**
         * Mixes all bits. States differ in few bits, and a record's default hash would map many of them to the same few
         * values.
         */
        @Override
        public int hashCode() {
            long mixed = (high * HASH_MULTIPLIER ^ low) * HASH_MULTIPLIER;
            return (int) (mixed ^ mixed >>> Integer.SIZE);
        }
    }

    private static final int MAX_BITS = 128;
    /** 2^64 divided by the golden ratio; multiplying by this odd number spreads each bit over the higher ones. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private long high;
    private long low;
    private int usedBits;

    /** Appends a value that isn't negative. */
    StateKey number(int value, int bits) {
        if (value >>> bits != 0) {
            throw new IllegalArgumentException("value " + value + " is negative or needs more than " + bits + " bits");
        }
        return append(value, bits);
    }

    /** Appends a time or an index; -1 stands for none. */
    StateKey time(int value, int bits) {
        return number(value + 1, bits);
    }

    /** Appends a flag in one bit. */
    StateKey flag(boolean value) {
        return append(value ? 1 : 0, 1);
    }

    private StateKey append(int value, int bits) {
        usedBits += bits;
        if (usedBits > MAX_BITS) {
            throw new IllegalStateException("state needs more than " + MAX_BITS + " bits");
        }
        high = high << bits | low >>> (Long.SIZE - bits);
        low = low << bits | value;
        return this;
    }

    /** The values appended until now. */
    Packed packed() {
        return new Packed(high, low);
    }
}
