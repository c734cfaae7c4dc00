/** Stand-ins for external systems, load generator and experiments. Not part of the shipped program. */
package io.agatelane.lab;
