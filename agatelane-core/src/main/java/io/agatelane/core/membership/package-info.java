/** Membership of the routers by the SWIM protocol: messages, member records and settings. */
package io.agatelane.core.membership;
