package io.agatelane.node.util;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/** Writes log lines on a separate thread. Logging never blocks: a full queue drops and counts further lines. */
public final class BoundedLogHandler extends Handler {
    // Holds the lines of two seconds at a thousand requests a second.
    private static final int QUEUE_CAPACITY_LINES = 2_000;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final PrintStream out;
    private final Thread writer;

    public BoundedLogHandler(PrintStream out, Formatter formatter) {
        this.out = out;
        setFormatter(formatter);
        writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record) && !lines.offer(getFormatter().format(record))) {
            droppedLines.incrementAndGet();
        }
    }

    /** Writes the queued lines on the calling thread. */
    @Override
    public void flush() {
        StringBuilder batch = new StringBuilder();
        for (String line = lines.poll(); line != null; line = lines.poll()) {
            batch.append(line);
        }
        out.print(batch);
        out.flush();
    }

    @Override
    public void close() {
        writer.interrupt();
        flush();
    }

    private void write() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                writeBatch(lines.take());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // The thread has to outlast an exhausted heap: without it the process logs nothing any more.
    private void writeBatch(String first) {
        long taken = 1;
        long dropped = 0;
        try {
            StringBuilder batch = new StringBuilder(first);
            for (String line = lines.poll(); line != null; line = lines.poll()) {
                taken++;
                batch.append(line);
            }
            dropped = droppedLines.getAndSet(0);
            if (dropped > 0) {
                batch.append("event=log_lines_dropped count=").append(dropped).append('\n');
            }
            out.print(batch);
            out.flush();
        } catch (RuntimeException | Error e) {
            // Logging this failure would need memory as well; the lines are reported as dropped with the next batch.
            droppedLines.addAndGet(taken + dropped);
        }
    }
}
