package io.agatelane.lab.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class LoadPlanTest {
    @DataProvider
    public Object[][] workloads() {
        return new Object[][] {{"aargau.json"}, {"dakar-pikine.json"}};
    }

    /** Guards against runs that cannot be repeated, and against workload files that no longer parse. */
    @Test(dataProvider = "workloads")
    public void planDependsOnTheSeedOnly(String file) {
        Workload workload = Workload.read(Path.of("src/main/workloads", file)).withDuration(2_000);
        List<Arrival> plan = ArrivalPlan.of(workload, 3);
        assertEquals(ArrivalPlan.of(workload, 3), plan);
        assertNotEquals(ArrivalPlan.of(workload.withSeed(workload.seed() + 1), 3), plan);
    }

    /** Guards against rate steps that do not change the arrival rate. */
    @Test
    public void rateStepMultipliesTheArrivals() {
        WorkloadClass chats = new WorkloadClass("letter", "chat", "m", 1, List.of(), 1, 1);
        RateStep step = new RateStep(10_000, 20_000, 3);
        Workload workload = new Workload("w", 7, 20_000, 100, 0, List.of(step), List.of(chats));
        List<Arrival> plan = ArrivalPlan.of(workload, 1);
        long duringStep = plan.stream()
                .filter(arrival -> arrival.intendedMillis() >= 10_000)
                .count();
        long beforeStep = plan.size() - duringStep;
        assertTrue(duringStep > 2.5 * beforeStep && duringStep < 3.5 * beforeStep, beforeStep + " and " + duringStep);
    }

    /** Guards against a reader that accepts repeated, missing or truncated tokens. */
    @Test
    public void readerReportsTokensOutOfOrder() {
        assertEquals(read("0", "1", "2").problem(), "");
        assertEquals(read("0", "2").problem(), "out-of-order");
        assertEquals(read("0", "0").problem(), "out-of-order");
        assertEquals(read("0", "1").isDone(), true);
    }

    /** Guards against a parser that fails when an event is split over several reads. */
    @Test
    public void readerAcceptsAStreamSplitAnywhere() {
        ChatReader reader = new ChatReader(() -> {});
        for (byte next : stream("0", "1", "2").getBytes(StandardCharsets.UTF_8)) {
            reader.feed(ByteBuffer.wrap(new byte[] {next}));
        }
        assertEquals(reader.text(), "t0t1t2");
        assertEquals(reader.lastEventId(), "e~1~r~2");
    }

    private static ChatReader read(String... offsets) {
        ChatReader reader = new ChatReader(() -> {});
        reader.feed(ByteBuffer.wrap(stream(offsets).getBytes(StandardCharsets.UTF_8)));
        return reader;
    }

    private static String stream(String... offsets) {
        StringBuilder text = new StringBuilder();
        for (String offset : offsets) {
            text.append("id: e~1~r~").append(offset).append("\r\n");
            text.append("data: {\"choices\":[{\"delta\":{\"content\":\"t" + offset + "\"}}]}\n\n");
        }
        return text + "data: [DONE]\n\n";
    }
}
