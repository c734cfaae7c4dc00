/** Detection of requests that crash engines, by the fingerprints of the requests that ran when engines crashed. */
package io.agatelane.core.poison;
