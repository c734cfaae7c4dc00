/** HTTP server of the stand-ins, with connection faults. */
package io.agatelane.lab.http;
