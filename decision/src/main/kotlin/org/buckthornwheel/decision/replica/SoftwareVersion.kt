package org.buckthornwheel.decision.replica

/**
 * The version of the software that a replica runs. Versions have no order, and an earlier one may return.
 *
 * What two versions write does not fit together, so that a stream goes on only at the version that began it.
 */
@JvmInline
public value class SoftwareVersion(public val value: String) {
    override fun toString(): String = value

    /** Predefined values. */
    public companion object {
        /** The version of replicas whose registrations name none. */
        public val UNNAMED: SoftwareVersion = SoftwareVersion("")
    }
}
