/** Routing decisions and estimates, without changes to shared state. */
package io.agatelane.core.routing.query;
