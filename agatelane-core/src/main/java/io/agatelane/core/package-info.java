/**
 * Decision logic of the router without I/O and without a clock, so that it can be embedded and its decisions repeated
 * in tests.
 */
package io.agatelane.core;
