package io.agatelane.node.util;

import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.Test;

public class BoundedLogHandlerTest {
    private static final int WAIT_SECONDS = 20;

    /** Fails at the first writes, as when the heap is exhausted. */
    private static final class FailingAtFirst extends PrintStream {
        private final AtomicInteger failuresLeft;
        private final Semaphore failures = new Semaphore(0);
        private final CountDownLatch written = new CountDownLatch(1);
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        private FailingAtFirst(int failures) {
            super(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8);
            failuresLeft = new AtomicInteger(failures);
        }

        @Override
        public void print(Object text) {
            if (failuresLeft.getAndDecrement() > 0) {
                failures.release();
                throw new OutOfMemoryError("of the test");
            }
            bytes.writeBytes(text.toString().getBytes(StandardCharsets.UTF_8));
            written.countDown();
        }
    }

    // Guards against a process that logs nothing any more because the heap was exhausted once.
    @Test
    public void linesAreWrittenAgainAfterAnError() throws Exception {
        String text = writtenAfterErrors(1);
        assertTrue(text.contains("event=last"), text);
        assertTrue(text.contains("event=log_lines_dropped count=1"), text);
    }

    // Guards against lines that are lost without a count when the report of earlier ones fails as well.
    @Test
    public void droppedLinesAreCountedOverSeveralErrors() throws Exception {
        String text = writtenAfterErrors(2);
        assertTrue(text.contains("event=last"), text);
        assertTrue(text.contains("event=log_lines_dropped count=2"), text);
    }

    // Logs one line for each error, and another one; returns what was written.
    private static String writtenAfterErrors(int errors) throws InterruptedException {
        FailingAtFirst out = new FailingAtFirst(errors);
        BoundedLogHandler handler = new BoundedLogHandler(out, new Formatter() {
            @Override
            public String format(LogRecord record) {
                return record.getMessage() + "\n";
            }
        });
        try {
            for (int i = 0; i < errors; i++) {
                handler.publish(new LogRecord(Level.INFO, "event=lost"));
                assertTrue(out.failures.tryAcquire(WAIT_SECONDS, TimeUnit.SECONDS));
            }
            handler.publish(new LogRecord(Level.INFO, "event=last"));
            assertTrue(out.written.await(WAIT_SECONDS, TimeUnit.SECONDS));
            return out.bytes.toString(StandardCharsets.UTF_8);
        } finally {
            handler.close();
        }
    }
}
