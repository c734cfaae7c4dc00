/** Connections to callers, upstreams, the platform, operators and other routers. */
package io.agatelane.node.io;
