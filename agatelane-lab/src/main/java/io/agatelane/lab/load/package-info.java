/** Load generator: open-loop arrivals from a seeded plan, response checks and latency histograms. */
package io.agatelane.lab.load;
