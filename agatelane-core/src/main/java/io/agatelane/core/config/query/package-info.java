/**
 * Side-effect-free functions on the configuration: validation of objects, detection of unused shard versions, and the
 * choice of the routers that perform a task.
 */
package io.agatelane.core.config.query;
