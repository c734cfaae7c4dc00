package io.agatelane.node.util;

import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.Test;

public class BoundedLogHandlerTest {
    private static final int WAIT_SECONDS = 20;

    /** Fails at the first write, as when the heap is exhausted. */
    private static final class FailingOnce extends PrintStream {
        private final CountDownLatch failed = new CountDownLatch(1);
        private final CountDownLatch written = new CountDownLatch(1);
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        private FailingOnce() {
            super(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8);
        }

        @Override
        public void print(Object text) {
            if (failed.getCount() > 0) {
                failed.countDown();
                throw new OutOfMemoryError("of the test");
            }
            bytes.writeBytes(text.toString().getBytes(StandardCharsets.UTF_8));
            written.countDown();
        }
    }

    // Guards against a process that logs nothing any more because the heap was exhausted once.
    @Test
    public void linesAreWrittenAgainAfterAnError() throws Exception {
        FailingOnce out = new FailingOnce();
        BoundedLogHandler handler = new BoundedLogHandler(out, new Formatter() {
            @Override
            public String format(LogRecord record) {
                return record.getMessage() + "\n";
            }
        });
        try {
            handler.publish(new LogRecord(Level.INFO, "event=first"));
            assertTrue(out.failed.await(WAIT_SECONDS, TimeUnit.SECONDS));
            handler.publish(new LogRecord(Level.INFO, "event=second"));
            assertTrue(out.written.await(WAIT_SECONDS, TimeUnit.SECONDS));
            String text = out.bytes.toString(StandardCharsets.UTF_8);
            assertTrue(text.contains("event=second"), text);
            assertTrue(text.contains("event=log_lines_dropped count=1"), text);
        } finally {
            handler.close();
        }
    }
}
