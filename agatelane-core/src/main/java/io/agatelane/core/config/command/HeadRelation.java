package io.agatelane.core.config.command;

/** Relation of a head that was read to the configuration state that the reader already has. */
public enum HeadRelation {
    /** The head is that of the reader's state. */
    CURRENT,
    /** The head continues the history of the reader's state. */
    NEWER,
    /** The head is an earlier one of the same history, to which the platform was restored. */
    REGRESSED,
    /** The head lacks a change that the reader has: after a restore, other changes were made to the older state. */
    DIVERGED
}
