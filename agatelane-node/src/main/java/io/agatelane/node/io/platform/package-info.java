/** Client of the platform's key-value service: calls, leases and watches over the JSON gateway of etcd v3. */
package io.agatelane.node.io.platform;
