/** The router process: its HTTP, peer and operator servers, the platform client, and the assembly of a router. */
package io.agatelane.node;
