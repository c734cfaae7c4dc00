package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;

import io.agatelane.core.fleet.query.EventFramer;
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
            {"id: 1\rdata: a\r\r", false},
            {"id: 1\rdata: a\r", true},
            {"id: 1\r\ndata: a\r\n\r", false},
            {"id: 1\ndata: a\n\rid: 2", true},
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

    // Guards against a stream whose lines end with carriage returns, of which no event is passed on before its end.
    @Test
    public void eventsEndWithAnyLineEnd() {
        for (String lineEnd : new String[] {"\n", "\r\n", "\r"}) {
            String event = "id: 7" + lineEnd + "data: a" + lineEnd + lineEnd;
            EventFramer framer = new EventFramer();
            byte[] ready = framer.append((event + "id: 8").getBytes(StandardCharsets.UTF_8));
            assertEquals(new String(ready, StandardCharsets.UTF_8), event);
            assertEquals(framer.lastEventId().orElseThrow(), "7");
        }
    }
}
