/** Stand-in for a model engine (model server). */
package io.agatelane.lab.engine;
