/** Demonstration of prefix caching and of bookings that run once. */
package io.agatelane.lab.demo;
