package io.agatelane.node.api;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;

/**
 * Qualifies numbers, revisions of the store and numbers of leases, with the era of the store.
 *
 * <p>A store that goes back to an older copy starts a new era and gives numbers out again. A qualified number holds the
 * era in its upper bits: the same number of two eras differs, and every number of a later era is larger. In era 0, which
 * is that of a store without eras, a qualified number is the number itself. Qualified numbers stay below 2^53, because
 * a fencing token has to be an integer that JSON readers represent exactly. 0 means "none" and belongs to no era.
 */
public final class StoreEra {
    /** The largest era that a number can be qualified with. */
    public static final long MAX_ERA = (1L << 11) - 1;

    // Enough for a counter that starts at the time in milliseconds since 1970.
    private static final int NUMBER_BITS = 42;
    private static final long MAX_NUMBER = (1L << NUMBER_BITS) - 1;

    private StoreEra() {}

    /**
     * Returns a number as qualified with an era.
     *
     * @throws AgatelaneException with {@code PLATFORM_UNAVAILABLE} when the number is out of range
     */
    public static long qualify(long era, long number) {
        if (number < 0 || number > MAX_NUMBER || era < 0 || era > MAX_ERA) {
            throw new AgatelaneException(
                    FailureType.PLATFORM_UNAVAILABLE, "the store gave out the number " + number + " in era " + era);
        }
        return number == 0 ? 0 : (era << NUMBER_BITS) | number;
    }

    /** Returns the era of a qualified number. */
    public static long of(long qualified) {
        return qualified >>> NUMBER_BITS;
    }

    /** Returns the number that the store gave out. */
    public static long number(long qualified) {
        return qualified & MAX_NUMBER;
    }

    /** Returns whether a qualified number is none or was given out in an era, so that it identifies something there. */
    public static boolean isValidIn(long qualified, long era) {
        return qualified == 0 || of(qualified) == era;
    }
}
