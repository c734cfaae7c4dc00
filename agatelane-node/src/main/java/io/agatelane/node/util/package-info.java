/** Event log, log handler, metrics format and helpers for futures. */
package io.agatelane.node.util;
