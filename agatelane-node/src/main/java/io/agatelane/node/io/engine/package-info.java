/** Model traffic: callers' chat completions and the engines that serve them. */
package io.agatelane.node.io.engine;
