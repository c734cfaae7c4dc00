/** Measures how memory, bytes and processor time of a router grow with the size of a deployment. */
package io.agatelane.lab.capacity;
