package io.agatelane.node.api;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.node.cfg.Settings;
import java.util.concurrent.Executor;

/**
 * Objects that all components of a router share.
 *
 * @param incarnation larger at each start of the process on this VM: the start time in milliseconds since 1970
 * @param control executor that runs tasks on the control thread
 */
public record NodeContext(
        Settings settings, long incarnation, Executor control, TimerService timers, MetricRegistry metrics) {}
