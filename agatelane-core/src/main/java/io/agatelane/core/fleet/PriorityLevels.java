package io.agatelane.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.TreeSet;

/**
 * Order of the requests of a deployment by urgency: the priority of the account first, where it has one, and among
 * accounts of the same priority that of the route. Immutable.
 */
public final class PriorityLevels {
    /** The levels of a deployment without routes. */
    public static final PriorityLevels NONE = of(List.of(), List.of());

    private static final Comparator<Level> MOST_URGENT_FIRST =
            Comparator.comparingInt(Level::first).thenComparingInt(Level::second);

    private final List<Level> levels;

    private record Level(int first, int second) {
        private static Level of(OptionalInt account, int route) {
            return new Level(account.orElse(route), route);
        }
    }

    private PriorityLevels(List<Level> levels) {
        this.levels = levels;
    }

    /** Creates the levels for all combinations of the priorities in use. */
    public static PriorityLevels of(Collection<OptionalInt> accountPriorities, Collection<Integer> routePriorities) {
        TreeSet<Level> levels = new TreeSet<>(MOST_URGENT_FIRST);
        for (int route : routePriorities) {
            levels.add(Level.of(OptionalInt.empty(), route));
            accountPriorities.forEach(account -> levels.add(Level.of(account, route)));
        }
        return new PriorityLevels(new ArrayList<>(levels));
    }

    /** Number of levels. */
    public int count() {
        return levels.size();
    }

    /** Returns the level of a request, 0 for the most urgent ones; a combination that is not in use counts as the next. */
    public int level(OptionalInt accountPriority, int routePriority) {
        Level wanted = Level.of(accountPriority, routePriority);
        int level = 0;
        while (level < levels.size() && MOST_URGENT_FIRST.compare(levels.get(level), wanted) < 0) {
            level++;
        }
        return level;
    }
}
