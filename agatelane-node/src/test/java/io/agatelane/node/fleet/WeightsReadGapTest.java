package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.StaleWeightsFilter;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import io.agatelane.node.fakes.FakeRouterControl;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class WeightsReadGapTest {
    private static final long POLL_MILLIS = 700;
    private static final long ALLOWED_MILLIS = 15_000;
    private static final long GAP_MILLIS = 8_000;

    private FakeControl control;
    private FakeRouterControl router;
    private FakeFleet fleet;
    private FleetState state;

    private enum Gap {
        SUSPENSION {
            @Override
            void begin(WeightsReadGapTest test) {
                test.router.pause();
            }

            @Override
            void end(WeightsReadGapTest test) {
                test.router.resume();
            }
        },
        // The first read after the suspension fails, as one that was in flight when it began does.
        SUSPENSION_AND_FAILED_READ {
            @Override
            void begin(WeightsReadGapTest test) {
                test.router.pause();
            }

            @Override
            void end(WeightsReadGapTest test) {
                test.fleet.setStoreDown(true);
                test.router.resume();
                test.control.advance(POLL_MILLIS);
                test.fleet.setStoreDown(false);
            }
        };

        abstract void begin(WeightsReadGapTest test);

        abstract void end(WeightsReadGapTest test);
    }

    @BeforeMethod
    public void start() {
        control = new FakeControl();
        router = new FakeRouterControl(control);
        fleet = new FakeFleet(control, new FakeKeyValueStore(control), 2);
        state = new FleetState();
        new StorePoller(fleet, state, router, router, new Random(1), POLL_MILLIS, new MetricRegistry()).start();
        control.advance(2_000);
    }

    @DataProvider
    public Object[][] gaps() {
        return new Object[][] {{Gap.SUSPENSION}, {Gap.SUSPENSION_AND_FAILED_READ}};
    }

    // Guards against replaced weights that are used for the whole allowed time from the first read after a gap.
    @Test(dataProvider = "gaps")
    public void weightsNamedDuringAGapCountFromItsBeginning(Gap gap) {
        gap.begin(this);
        fleet.requestVersion(2);
        control.advance(GAP_MILLIS);
        gap.end(this);
        control.advance(POLL_MILLIS);
        assertFalse(allowed().isEmpty(), "the newer weights are recent");
        control.advance(ALLOWED_MILLIS - GAP_MILLIS - POLL_MILLIS);
        assertEquals(allowed(), List.of());
    }

    // Guards against replaced weights that a router in contact gives up long before it must.
    @Test
    public void weightsReadInTimeAreUsedForMostOfTheAllowedTime() {
        fleet.requestVersion(2);
        control.advance(ALLOWED_MILLIS - 2 * POLL_MILLIS - 2_500);
        assertFalse(allowed().isEmpty());
    }

    private List<Candidate> allowed() {
        FleetSnapshot snapshot = state.snapshot();
        List<Candidate> candidates =
                state.candidates(snapshot, "s", Optional.of(FakeFleet.MODEL), Set.of(), router.monotonicMillis());
        return StaleWeightsFilter.allowedCandidates(
                candidates, snapshot.requestedWeights(FakeFleet.MODEL).orElseThrow(), router.now(), ALLOWED_MILLIS);
    }
}
