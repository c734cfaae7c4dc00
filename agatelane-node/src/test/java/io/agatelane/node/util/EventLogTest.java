package io.agatelane.node.util;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against changes in the format of log lines, which operators parse. */
public final class EventLogTest {
    private final Logger logger = Logger.getLogger(EventLogTest.class.getName());
    private final List<String> lines = new ArrayList<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord record) {
            lines.add(record.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeMethod
    public void attach() {
        logger.setUseParentHandlers(false);
        logger.addHandler(handler);
    }

    @AfterMethod
    public void detach() {
        logger.removeHandler(handler);
    }

    // Guards against integers that are written as "12.00", which happens because a long converts to a double.
    @Test
    public void integersHaveNoDecimals() {
        EventLog.of(EventLogTest.class)
                .event("e")
                .with("count", 12)
                .with("long", 1L << 40)
                .with("score", 1.25)
                .info();
        assertEquals(lines.get(lines.size() - 1), "event=e count=12 long=1099511627776 score=1.25");
    }

    @Test
    public void aValueCannotAddPairsOrLines() {
        EventLog.of(EventLogTest.class)
                .event("e")
                .with("detail", "x\nevent=forged \"y\"")
                .with("empty", "")
                .info();
        assertEquals(lines.get(lines.size() - 1), "event=e detail=\"x\\nevent=forged \\\"y\\\"\" empty=\"\"");
    }
}
