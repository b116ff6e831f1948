package org.buckthornwheel.forwarding.membership

/**
 * A point in the history of the estate's store.
 *
 * @property era rises each time the store returns from a copy, and then gives out numbers again; 0 if it names none.
 * @property number rises with each change of the store within an era.
 */
public data class EstateRevision(public val era: Long, public val number: Long) : Comparable<EstateRevision> {
    override fun compareTo(other: EstateRevision): Int =
        if (era != other.era) era.compareTo(other.era) else number.compareTo(other.number)

    /** Special values. */
    public companion object {
        /** Before every change. */
        public val NONE: EstateRevision = EstateRevision(0, 0)
    }
}
