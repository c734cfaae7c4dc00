/** Client of the operator gRPC service. */
package io.agatelane.lab.operator;
