/**
 * Decisions about single requests and about roll-outs, without side effects: which upstream to use, whether to refuse.
 */
package io.agatelane.core.fleet.query;
