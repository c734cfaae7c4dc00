/** Experiments on loopback that compare the router with naive baselines and an oracle. */
package io.agatelane.lab.experiment;
