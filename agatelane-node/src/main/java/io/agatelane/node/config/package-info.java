/** The configuration of this router: reading, changing, propagating it, and deleting replaced versions. */
package io.agatelane.node.config;
