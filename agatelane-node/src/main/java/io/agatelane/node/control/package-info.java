/** The control thread and the timer service. */
package io.agatelane.node.control;
