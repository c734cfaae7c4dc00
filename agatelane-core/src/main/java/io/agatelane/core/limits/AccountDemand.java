package io.agatelane.core.limits;

/**
 * Demand of a client account with a rate limit, at one router or summed over several. Rates are in thousandths of a
 * unit per second: of a limit of a few requests per second, each of many routers has a small fraction.
 *
 * @param account hash of the account's name, or {@link #ROUTERS}
 * @param demandPerSecond what callers have requested, refused requests included
 * @param admittedPerSecond what was admitted
 */
public record AccountDemand(long account, long demandPerSecond, long admittedPerSecond) {
    /** Key of the entry whose demand is the number of routers that report. Not the hash of any usual name. */
    public static final long ROUTERS = 0;

    private static final double SCALE = 1_000;

    /** The entry that counts one router. */
    public static AccountDemand ofRouter() {
        return new AccountDemand(ROUTERS, 1, 0);
    }

    /** Creates an entry from rates in units per second; negative rates count as 0. */
    public static AccountDemand ofUnits(long account, double demand, double admitted) {
        return new AccountDemand(
                account, Math.round(Math.max(0, demand) * SCALE), Math.round(Math.max(0, admitted) * SCALE));
    }

    /** Requested units per second. */
    public double demandUnits() {
        return demandPerSecond / SCALE;
    }

    /** Admitted units per second. */
    public double admittedUnits() {
        return admittedPerSecond / SCALE;
    }

    /** Returns the sum of two demands of the same account. */
    public AccountDemand plus(AccountDemand other) {
        return new AccountDemand(
                account, demandPerSecond + other.demandPerSecond, admittedPerSecond + other.admittedPerSecond);
    }

    /** Returns the demand with both rates multiplied by a factor. */
    public AccountDemand times(double factor) {
        return new AccountDemand(account, Math.round(demandPerSecond * factor), Math.round(admittedPerSecond * factor));
    }

    /** Returns the difference of two demands of the same account, with no rate below 0. */
    public AccountDemand minus(AccountDemand subtracted) {
        return new AccountDemand(
                account,
                Math.max(0, demandPerSecond - subtracted.demandPerSecond),
                Math.max(0, admittedPerSecond - subtracted.admittedPerSecond));
    }
}
