package io.agatelane.node.util;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/** Writes log lines on a thread of its own. A line that finds the queue full is dropped and counted; none ever waits. */
public final class BoundedLogHandler extends Handler {
    // Two seconds of lines at a thousand requests a second.
    private static final int CAPACITY = 2_000;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
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
            dropped.incrementAndGet();
        }
    }

    /** Writes what is queued. */
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
                StringBuilder batch = new StringBuilder(lines.take());
                for (String line = lines.poll(); line != null; line = lines.poll()) {
                    batch.append(line);
                }
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    batch.append("event=log_lines_dropped count=").append(lost).append('\n');
                }
                out.print(batch);
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
