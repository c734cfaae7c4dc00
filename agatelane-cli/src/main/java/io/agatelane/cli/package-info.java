/** The command line of agatelane: starts routers and sends operators' commands to running ones. */
package io.agatelane.cli;
