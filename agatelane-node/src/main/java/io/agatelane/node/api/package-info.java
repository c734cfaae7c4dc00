/** Interfaces between the areas of a router; tests replace them by hand-written fakes. */
package io.agatelane.node.api;
