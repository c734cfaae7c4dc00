package io.agatelane.lab.cli;

import com.beust.jcommander.Parameters;
import io.agatelane.lab.capacity.CapacityProbe;

/** Prints the measurements from which docs/CAPACITY.md is calculated. */
@Parameters(
        commandNames = "capacity",
        commandDescription = "Measures how a router's memory and processor time grow with the size of a deployment.")
public final class CapacityCommand implements Command {
    @Override
    public int run() {
        System.out.print(CapacityProbe.run());
        return 0;
    }
}
