/** The callers' side: HTTP front end, authentication and problem documents. */
package io.agatelane.node.io.http;
