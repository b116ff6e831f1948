/*
 * The names and identifiers that every part of the gateway shares.
 *
 * Each one is a type of its own, so that the compiler tells a zone from a region and a target from a host.
 */

package org.buckthornwheel.api

import kotlinx.serialization.Serializable

/** Name of a region: a group of availability zones that residency rules speak of. */
@JvmInline
@Serializable
public value class RegionName(public val value: String) {
    override fun toString(): String = value
}

/** Name of an availability zone, unique in the estate. */
@JvmInline
@Serializable
public value class ZoneName(public val value: String) {
    override fun toString(): String = value
}

/** Name of an entry host, stable over restarts of its process. */
@JvmInline
@Serializable
public value class HostName(public val value: String) {
    override fun toString(): String = value
}

/** One run of a host's process: a larger number is a later run. Unit: milliseconds since the epoch at the start. */
@JvmInline
@Serializable
public value class Incarnation(public val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Name of a caller's account in the client directory. */
@JvmInline
@Serializable
public value class AccountName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a model as callers write it. */
@JvmInline
@Serializable
public value class ModelName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a target: one model engine or one replica of a plain service. */
@JvmInline
@Serializable
public value class TargetName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a plain service as callers write it. */
@JvmInline
@Serializable
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}

/** Name of one operation of a plain service. */
@JvmInline
@Serializable
public value class OperationName(public val value: String) {
    override fun toString(): String = value
}

/** Identifier of one request, made by the first host that saw it and carried to the target and back. */
@JvmInline
@Serializable
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Identifier of a release note, chosen by the operator's tool, by which a repeated note is recognised. */
@JvmInline
@Serializable
public value class NoteId(public val value: String) {
    override fun toString(): String = value
}

/** Position of a release note in the estate's log; the empty estate has revision 0. */
@JvmInline
@Serializable
public value class Revision(public val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    /** The revision that the next accepted note gets. */
    public fun next(): Revision = Revision(value + 1)

    override fun toString(): String = value.toString()

    /** Constants of the log. */
    public companion object {
        /** The revision of an estate to which no note has been applied. */
        public val NONE: Revision = Revision(0)
    }
}
