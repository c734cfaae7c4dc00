/** Routes, services, client accounts and discovered upstreams of a deployment whose operator writes them to a store. */
package io.agatelane.core.fleet;
