/**
 * The stored configuration. Its objects are divided into shards; a head names the version of each shard, and the head
 * with its shards is the state of the configuration at one revision.
 */
package io.agatelane.core.config;
