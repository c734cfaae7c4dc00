/** Hash functions that all processes must compute alike: prefix digests of prompts and rendezvous hashing. */
package io.agatelane.core.hash;
