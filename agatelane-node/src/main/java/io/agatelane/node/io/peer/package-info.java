/** Requests between routers: protobuf frames over TCP. */
package io.agatelane.node.io.peer;
