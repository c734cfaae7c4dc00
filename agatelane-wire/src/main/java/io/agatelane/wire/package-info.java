/** Schema files and the committed code generated from them. */
package io.agatelane.wire;
