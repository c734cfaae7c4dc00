/** Assembles a router from its components. */
package io.agatelane.node.impl;
