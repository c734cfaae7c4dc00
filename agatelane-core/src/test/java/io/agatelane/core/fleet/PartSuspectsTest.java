package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.command.PartSuspects;
import io.agatelane.core.fleet.query.PartQuarantine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PartSuspectsTest {
    private static final long FIRST = 1;
    private static final long DEADLY = 2;
    private static final long SOUND = 3;
    private static final long STEP_MILLIS = 1_000;
    private static final long GOSSIP_MILLIS = 200;

    private static void endEngines(PartSuspects suspects, int count, Long... parts) {
        for (int i = 0; i < count; i++) {
            suspects.recordEnd(Set.of(parts), 100 + i, i * STEP_MILLIS);
        }
    }

    private static boolean isQuarantined(PartSuspects suspects, long part, long nowMillis) {
        return suspects.quarantineMillis(List.of(part), nowMillis).isPresent();
    }

    // Guards against sound prompts that are refused because they share other parts with those that end engines.
    @Test
    public void answeredPartsAreNotBlamed() {
        PartSuspects suspects = new PartSuspects();
        for (int i = 0; i < 5; i++) {
            suspects.recordEnd(Set.of(FIRST, DEADLY), 100 + i, i * STEP_MILLIS);
            suspects.recordAnswer(Set.of(FIRST, SOUND), i * STEP_MILLIS + 1);
        }
        assertTrue(isQuarantined(suspects, DEADLY, 5 * STEP_MILLIS));
        assertFalse(isQuarantined(suspects, FIRST, 5 * STEP_MILLIS));
    }

    // Guards against a rarely answered part that is refused because it was in some of the prompts that ended engines.
    @Test
    public void partWhoseEndsAnotherPartExplainsIsNotBlamed() {
        PartSuspects suspects = new PartSuspects();
        endEngines(suspects, 3, SOUND, DEADLY);
        suspects.recordEnd(Set.of(DEADLY), 200, 3 * STEP_MILLIS);
        assertTrue(isQuarantined(suspects, DEADLY, 4 * STEP_MILLIS));
        assertFalse(isQuarantined(suspects, SOUND, 4 * STEP_MILLIS));
    }

    // Guards against the refusal of all prompts after the engines of a rack have ended together.
    @Test
    public void enginesThatEndTogetherCountOnce() {
        PartSuspects suspects = new PartSuspects();
        for (int engine = 0; engine < 20; engine++) {
            suspects.recordEnd(Set.of(FIRST), engine, engine);
        }
        assertFalse(isQuarantined(suspects, FIRST, 20));
    }

    // Guards against the refusal of all prompts with a part that many prompts share after engines have failed one soon
    // after the other: a refused part is never answered, so nothing would clear it.
    @Test
    public void partOfManyPromptsIsNotBlamedForEnginesThatFailTogether() {
        PartSuspects suspects = new PartSuspects();
        suspects.recordAnswer(Set.of(FIRST), 0);
        for (int engine = 0; engine < 4; engine++) {
            suspects.recordEnd(Set.of(FIRST, DEADLY), 100 + engine, 2_000 + engine * STEP_MILLIS);
        }
        assertFalse(isQuarantined(suspects, FIRST, 6_000));
        assertTrue(isQuarantined(suspects, DEADLY, 6_000));
    }

    // Guards against prompts that are refused because connections were reset while the engines went on.
    @Test
    public void engineThatRespondsAgainHasNotEnded() {
        PartSuspects suspects = new PartSuspects();
        endEngines(suspects, 3, SOUND);
        assertTrue(isQuarantined(suspects, SOUND, 2 * STEP_MILLIS));
        suspects.recordResponse(101, STEP_MILLIS);
        assertTrue(isQuarantined(suspects, SOUND, 2 * STEP_MILLIS), "a request sent before the end shows nothing");
        suspects.recordResponse(101, STEP_MILLIS + 1);
        assertFalse(isQuarantined(suspects, SOUND, 2 * STEP_MILLIS));
    }

    // Guards against a quarantine that ends while the prompts still come, and against one that never ends.
    @Test
    public void quarantineEndsTenMinutesAfterTheLastEnd() {
        PartSuspects suspects = new PartSuspects();
        endEngines(suspects, 3, DEADLY);
        long lastMillis = 2 * STEP_MILLIS;
        suspects.takeReports(lastMillis + PartSuspects.RETENTION_MILLIS);
        assertEquals(
                suspects.quarantineMillis(List.of(DEADLY), lastMillis + PartSuspects.RETENTION_MILLIS),
                OptionalLong.of(PartSuspects.QUARANTINE_MILLIS - PartSuspects.RETENTION_MILLIS));
        assertFalse(isQuarantined(suspects, DEADLY, lastMillis + PartSuspects.QUARANTINE_MILLIS));
    }

    // Guards against a router that has started again, or has missed a datagram, and sends what the others refuse.
    @Test
    public void quarantineReachesARouterThatHeardNothingOfIt() {
        PartSuspects known = new PartSuspects();
        endEngines(known, 3, DEADLY);
        known.takeReports(2 * STEP_MILLIS);
        PartSuspects started = new PartSuspects();
        long nowMillis = 10 * STEP_MILLIS;
        known.takeReports(nowMillis).forEach(report -> started.merge(report, nowMillis));
        assertTrue(isQuarantined(started, DEADLY, nowMillis));
    }

    // Guards against a part that stays refused at a router that has missed its clearance.
    @Test
    public void clearanceIsRepeatedToARouterThatMissedIt() {
        PartSuspects cleared = new PartSuspects();
        PartSuspects unaware = new PartSuspects();
        endEngines(cleared, 3, SOUND);
        endEngines(unaware, 3, SOUND);
        cleared.recordAnswer(Set.of(SOUND), 3 * STEP_MILLIS);
        cleared.takeReports(3 * STEP_MILLIS);
        long nowMillis = 5 * STEP_MILLIS;
        unaware.takeReports(nowMillis).forEach(report -> cleared.merge(report, nowMillis));
        cleared.takeReports(nowMillis).forEach(report -> unaware.merge(report, nowMillis));
        assertFalse(isQuarantined(unaware, SOUND, nowMillis));
        assertFalse(isQuarantined(cleared, SOUND, nowMillis));
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}, {5}, {6}, {7}, {8}};
    }

    // Plays a fleet of seven routers and eight engines: one prompt of 25 has the deadly part, engines also end for
    // other reasons, one datagram of 20 is lost. Counting the ends under each part alone would refuse the first part
    // of all.
    @Test(dataProvider = "seeds")
    public void deadlyPartIsFoundAmongSoundTraffic(int seed) {
        Fleet fleet = new Fleet(seed);
        for (long millis = 0; millis < 60_000; millis += 10) {
            fleet.step(millis);
        }
        assertTrue(fleet.deadlyEnds <= 5, fleet.deadlyEnds + " engines ended");
        assertTrue(fleet.soundRefused <= fleet.soundSent / 50, fleet.soundRefused + " of " + fleet.soundSent);
        assertTrue(fleet.naiveEndsOfFirst() >= PartQuarantine.MIN_ENDS, "the load tells this from a plain count");
    }

    /** Prompts run for 100 ms, of which the first half passes before an engine begins to answer. */
    private static final class Fleet {
        private static final int ROUTERS = 7;
        private static final int ENGINES = 8;
        private static final int SUBJECTS = 60;
        private static final long BEGIN_MILLIS = 50;
        private static final long ANSWER_MILLIS = 100;

        private final UniformRandomProvider random;
        private final List<PartSuspects> routers = new ArrayList<>();
        private final List<Prompt> running = new ArrayList<>();
        private final long[] incarnations = new long[ENGINES];
        private final Map<Long, Integer> endsOfFirst = new HashMap<>();
        private int deadlyEnds;
        private int soundSent;
        private int soundRefused;

        private record Prompt(int router, int engine, Set<Long> parts, long sentMillis) {}

        Fleet(int seed) {
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            for (int i = 0; i < ROUTERS; i++) {
                routers.add(new PartSuspects());
            }
            for (int i = 0; i < ENGINES; i++) {
                incarnations[i] = i;
            }
        }

        void step(long nowMillis) {
            send(nowMillis);
            List<Prompt> begun = running.stream()
                    .filter(prompt -> nowMillis - prompt.sentMillis() == BEGIN_MILLIS)
                    .filter(prompt -> prompt.parts().contains(DEADLY))
                    .toList();
            for (Prompt prompt : begun) {
                deadlyEnds++;
                end(prompt.engine(), nowMillis);
            }
            if (random.nextInt(500) == 0) {
                end(random.nextInt(ENGINES), nowMillis);
            }
            List<Prompt> answered = running.stream()
                    .filter(prompt -> nowMillis - prompt.sentMillis() >= ANSWER_MILLIS)
                    .toList();
            for (Prompt prompt : answered) {
                routers.get(prompt.router()).recordResponse(incarnations[prompt.engine()], prompt.sentMillis());
                routers.get(prompt.router()).recordAnswer(prompt.parts(), nowMillis);
            }
            running.removeAll(answered);
            if (nowMillis % GOSSIP_MILLIS == 0) {
                gossip(nowMillis);
            }
        }

        private void send(long nowMillis) {
            boolean isDeadly = random.nextInt(25) == 0;
            long second = isDeadly ? DEADLY : 10 + random.nextInt(SUBJECTS);
            Set<Long> parts = Set.of(FIRST, second, 1_000 + random.nextLong(1_000_000));
            int router = random.nextInt(ROUTERS);
            boolean isRefused =
                    routers.get(router).quarantineMillis(parts, nowMillis).isPresent();
            if (!isDeadly) {
                soundSent++;
                soundRefused += isRefused ? 1 : 0;
            }
            if (!isRefused) {
                running.add(new Prompt(router, random.nextInt(ENGINES), parts, nowMillis));
            }
        }

        private void end(int engine, long nowMillis) {
            List<Prompt> lost =
                    running.stream().filter(prompt -> prompt.engine() == engine).toList();
            lost.stream()
                    .filter(prompt -> nowMillis - prompt.sentMillis() <= BEGIN_MILLIS)
                    .forEach(prompt -> {
                        routers.get(prompt.router()).recordEnd(prompt.parts(), incarnations[engine], nowMillis);
                        endsOfFirst.merge(incarnations[engine], 1, Integer::sum);
                    });
            running.removeAll(lost);
            incarnations[engine] += ENGINES;
        }

        int naiveEndsOfFirst() {
            return endsOfFirst.size();
        }

        private void gossip(long nowMillis) {
            for (PartSuspects from : routers) {
                List<PartReport> reports = from.takeReports(nowMillis);
                for (PartSuspects to : routers) {
                    if (to != from && random.nextInt(20) > 0) {
                        reports.forEach(report -> to.merge(report, nowMillis));
                    }
                }
            }
        }
    }
}
