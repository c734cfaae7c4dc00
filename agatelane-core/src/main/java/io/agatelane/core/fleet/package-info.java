/**
 * Routes, services, client accounts and discovered upstreams of a deployment that is configured through the platform's
 * key-value store.
 */
package io.agatelane.core.fleet;
