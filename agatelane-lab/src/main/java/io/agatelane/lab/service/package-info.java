/** Stand-in for a plain service. */
package io.agatelane.lab.service;
