package io.agatelane.lab.cli;

/** A command of the lab program. */
public interface Command {
    /** Runs the command and returns the exit code. */
    int run() throws Exception;
}
