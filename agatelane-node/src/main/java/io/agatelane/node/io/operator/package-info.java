/** Serves the calls of operators by gRPC on Jetty. */
package io.agatelane.node.io.operator;
