/** What a fleet router knows of its deployment, and the roll-out of weights. */
package io.agatelane.node.fleet;
