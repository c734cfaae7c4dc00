package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;

import io.agatelane.core.fleet.query.EventScanner;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EventScannerTest {
    @DataProvider
    public Object[][] streams() {
        return new Object[][] {
            {"", false},
            {"id: 1\ndata: a\n\n", false},
            {"id: 1\r\ndata: a\r\n\r\n", false},
            {"id: 1\ndata: a\n\n\n", false},
            {"id: 1\ndata: a\n\n: comment\n", false},
            {": comment\n", false},
            {"id: 1\ndata: a\n", true},
            {"id: 1\ndata: a\n\nid", true},
            {"id: 1\ndata: a\n\n: comm", true},
            {"id: 1\ndata: a\n: comment\n", true},
            {"data: a\n\ndata: b\r\n", true},
        };
    }

    // Guards against a break inside an event that is missed, and against a whole stream that is taken for a broken one.
    @Test(dataProvider = "streams")
    public void breakInsideAnEventIsFoundHoweverTheStreamIsSplit(String stream, boolean isInside) {
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        EventScanner whole = new EventScanner();
        whole.scan(bytes);
        assertEquals(whole.isInsideEvent(), isInside);
        EventScanner split = new EventScanner();
        for (byte next : bytes) {
            split.scan(new byte[] {next});
        }
        assertEquals(split.isInsideEvent(), isInside);
    }
}
