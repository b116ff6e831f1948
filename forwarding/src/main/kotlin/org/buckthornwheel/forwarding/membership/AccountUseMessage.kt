/*
 * The part of a heartbeat that tells other hosts how much client accounts, or limits of replicas, were used.
 *
 * It is packed by hand, since it passes between all primary hosts several times a second: the number of the report, and
 * for each limit four bytes of its hash, then units used and demand, as numbers of seven bits a byte.
 */

package org.buckthornwheel.forwarding.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel
import org.buckthornwheel.decision.account.share.QuotaReport
import org.buckthornwheel.decision.account.share.ReportedUse
import java.io.ByteArrayOutputStream
import java.nio.BufferUnderflowException
import java.nio.ByteBuffer

/** A report of the use of shared limits, packed into [bytes]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class AccountUseMessage(@CborLabel(1) @ByteString private val bytes: ByteArray) {
    /** The report; null if the bytes are damaged. */
    fun report(): QuotaReport? = try {
        val buffer = ByteBuffer.wrap(bytes)
        val sequence = number(buffer)
        val uses = ArrayList<ReportedUse>()
        while (buffer.hasRemaining() && uses.size < MAXIMUM_USES) {
            uses += ReportedUse(Integer.toUnsignedLong(buffer.int), number(buffer), number(buffer))
        }
        QuotaReport(sequence, uses)
    } catch (_: BufferUnderflowException) {
        null
    }

    override fun equals(other: Any?): Boolean = other is AccountUseMessage && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    /** Packing. */
    companion object {
        /** Limit on what a damaged message can do. */
        private const val MAXIMUM_USES = 256
        private const val BITS = 7
        private const val MORE = 0x80
        private const val LOW_BITS = 0x7F

        /** Bits of the largest number, which is 2^56 - 1; a number in a damaged message may not be longer. */
        private const val MAXIMUM_BITS = 56

        /** The message with [report]. */
        fun of(report: QuotaReport): AccountUseMessage {
            val output = ByteArrayOutputStream()
            write(output, report.sequence)
            for (use in report.uses) {
                output.write(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(use.key.toInt()).array())
                write(output, use.used)
                write(output, use.demand)
            }
            return AccountUseMessage(output.toByteArray())
        }

        private fun write(output: ByteArrayOutputStream, number: Long) {
            var remaining = number.coerceIn(0, (1L shl MAXIMUM_BITS) - 1)
            while (remaining > LOW_BITS) {
                output.write((remaining and LOW_BITS.toLong()).toInt() or MORE)
                remaining = remaining ushr BITS
            }
            output.write(remaining.toInt())
        }

        private fun number(buffer: ByteBuffer): Long {
            var number = 0L
            for (shift in 0 until MAXIMUM_BITS step BITS) {
                val byte = buffer.get().toInt()
                number = number or ((byte and LOW_BITS).toLong() shl shift)
                if (byte and MORE == 0) break
            }
            return number
        }
    }
}
