/** Stand-in for the platform's key-value store. */
package io.agatelane.lab.platform;
