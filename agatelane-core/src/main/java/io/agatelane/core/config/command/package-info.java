/**
 * Operations that change the configuration or a router's copy of it: planning a change, collecting the shards of a
 * newer head, waiting until all routers apply a revision, and deleting shard versions that are no longer used.
 */
package io.agatelane.core.config.command;
