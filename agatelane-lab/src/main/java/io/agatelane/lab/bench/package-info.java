/** JMH microbenchmarks. */
package io.agatelane.lab.bench;
