package io.agatelane.core.limits;

/**
 * Demand of a client account with a rate limit, at one router or summed over several.
 *
 * @param account hash of the account's name
 * @param demandPerSecond units per second that callers have requested, refused ones included
 * @param admittedPerSecond units per second that were admitted
 */
public record AccountDemand(long account, long demandPerSecond, long admittedPerSecond) {
    /** Returns the sum of two demands of the same account. */
    public AccountDemand plus(AccountDemand other) {
        return new AccountDemand(
                account, demandPerSecond + other.demandPerSecond, admittedPerSecond + other.admittedPerSecond);
    }

    /** Returns the difference of two demands of the same account, with no rate below 0. */
    public AccountDemand minus(AccountDemand subtracted) {
        return new AccountDemand(
                account,
                Math.max(0, demandPerSecond - subtracted.demandPerSecond),
                Math.max(0, admittedPerSecond - subtracted.admittedPerSecond));
    }
}
