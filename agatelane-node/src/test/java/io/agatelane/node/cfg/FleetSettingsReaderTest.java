package io.agatelane.node.cfg;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.ToDoubleFunction;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class FleetSettingsReaderTest {
    private static final String ADDRESSES =
            "\"vm\": {\"name\": \"r\", \"availabilityZone\": \"z\"}, \"listen\": {\"callerAddress\": \"127.0.0.1:1\","
                    + " \"readinessAddress\": \"127.0.0.1:2\", \"metricsAddress\": \"127.0.0.1:3\","
                    + " \"peerAddress\": \"127.0.0.1:4\"}, \"store\": {\"address\": \"127.0.0.1:5\"}, ";

    private record Bound(String field, String written, double expected, ToDoubleFunction<FleetSettings> read) {}

    @DataProvider
    public Object[][] fractions() {
        return new Object[][] {
            {new Bound("revocationSeconds", "4.75", 4_250, FleetSettings::maxConfigAgeMillis)},
            {new Bound("graceSeconds", "7.5", 7_500, FleetSettings::graceMillis)},
            {new Bound("leaseSeconds", "3000.5e-3", 3_001, FleetSettings::leaseMillis)},
            {new Bound("weightsSeconds", "15.25", 15_250, FleetSettings::weightsMillis)},
            {new Bound("retryRatio", "0.225", 0.225, FleetSettings::retryRatio)},
            {new Bound("retrySlack", "37.096774193548384", 37.096774193548384, FleetSettings::retrySlack)},
            {new Bound("retryWindowSeconds", "9.5", 9_500, FleetSettings::retryWindowMillis)},
        };
    }

    // Guards against a router that does not start because the platform divides a bound by the size of the deployment.
    @Test(dataProvider = "fractions")
    public void boundsMayBeFractions(Bound bound) throws IOException {
        FleetSettings settings = read("\"bounds\": {\"" + bound.field() + "\": " + bound.written() + "}");
        assertEquals(bound.read().applyAsDouble(settings), bound.expected(), bound.field());
    }

    @Test(dataProvider = "fractions")
    public void boundsMustBeNumbers(Bound bound) {
        assertThrows(SettingsException.class, () -> read("\"bounds\": {\"" + bound.field() + "\": \"many\"}"));
    }

    // Guards against limits of memory that are not applied, and against a router without them where a file states none.
    @Test
    public void limitsOfMemoryAreReadOrFollowTheHeap() throws IOException {
        FleetSettings stated = read("\"memory\": {\"requestBytes\": 2000000, \"responseBytes\": 3000000,"
                + " \"upstreamBytes\": 4000000, \"unreadMillis\": 700}");
        assertEquals(stated.heldBytes(), new HeldBytes(2_000_000, 3_000_000, 4_000_000, 700));
        assertEquals(read("\"memory\": {}").heldBytes(), HeldBytes.ofHeap());
        assertThrows(SettingsException.class, () -> read("\"memory\": {\"requestBytes\": 0}"));
    }

    private static FleetSettings read(String bounds) throws IOException {
        Path file = Files.createTempFile("settings", ".json");
        try {
            Files.writeString(file, "{" + ADDRESSES + bounds + "}");
            return FleetSettingsReader.read(file);
        } finally {
            Files.delete(file);
        }
    }
}
