/** Commands of the lab program. */
package io.agatelane.lab.cli;
