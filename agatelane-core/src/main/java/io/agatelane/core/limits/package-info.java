/** Admission state: account limits, fair shares and budgets. */
package io.agatelane.core.limits;
