package io.agatelane.cli;

/** Entry point. */
public final class Main {
    private Main() {}

    /** Runs the program and exits with the code of the command. */
    public static void main(String[] args) {
        RouterProcess.selectLogManager();
        CommandLine commandLine = new CommandLine(System.out, System.err, new RouterProcess());
        System.exit(commandLine.run(args).code());
    }
}
