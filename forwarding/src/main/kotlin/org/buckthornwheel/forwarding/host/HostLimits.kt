package org.buckthornwheel.forwarding.host

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import org.buckthornwheel.forwarding.exchange.HostShutdown
import org.buckthornwheel.forwarding.front.InboundConnections
import org.buckthornwheel.forwarding.front.InboundLimits
import org.buckthornwheel.forwarding.front.InboundResources
import org.buckthornwheel.forwarding.front.MemoryShortage
import org.buckthornwheel.forwarding.limits.ConnectionGroup
import org.buckthornwheel.forwarding.limits.ConnectionLimits
import org.buckthornwheel.forwarding.limits.HostMemory
import org.buckthornwheel.forwarding.limits.Limit
import org.buckthornwheel.forwarding.limits.LimitLog
import org.buckthornwheel.forwarding.limits.MachineLimits
import org.buckthornwheel.forwarding.listener.EndpointConnection
import org.buckthornwheel.forwarding.listener.EndpointListener
import org.buckthornwheel.forwarding.listener.HttpEndpoint
import org.buckthornwheel.forwarding.observability.DecisionLog
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** The limits of a host's memory and connections on a [machine], and what they report. */
internal class HostLimits(machine: MachineLimits, log: DecisionLog, shutdown: HostShutdown) {
    private val maxima = ConnectionLimits(machine)
    private val limitLog = LimitLog(log)
    private val endpointGroups = HashMap<String, ConnectionGroup<EndpointConnection>>()

    val memory: HostMemory = HostMemory(machine)
    val callers: InboundConnections = InboundConnections(shutdown, maxima.callers, limitLog)
    val peers: InboundConnections = InboundConnections(shutdown, maxima.peers, limitLog)

    /** What [connections] share, whose requests have [limits] and at most [headerBytes] of head. */
    fun inbound(
        connections: InboundConnections,
        limits: () -> InboundLimits,
        headerBytes: () -> Int,
    ): InboundResources = InboundResources(connections, memory, limitLog, limits, headerBytes)

    /** What the connections to the [endpoint] with [name] share. */
    fun endpoint(name: String, endpoint: HttpEndpoint): EndpointListener {
        // An endpoint has no long requests, so that a new connection is always among the last that are closed.
        val group = ConnectionGroup<EndpointConnection>(maxima.endpoint, limitLog, arrivalTime = Duration.ZERO)
        endpointGroups[name] = group
        return EndpointListener(endpoint, group, memory)
    }

    /** Closes connections, once a second, that keep memory without progress. */
    fun startRelieving(loops: EventLoopGroup) {
        val loop = loops.next()
        loop.scheduleWithFixedDelay({ relieve(loops) }, 1, 1, TimeUnit.SECONDS)
        val groups = listOf(callers.group, peers.group) + endpointGroups.values
        val interval = ROOM_INTERVAL_MILLISECONDS
        loop.scheduleWithFixedDelay({ groups.forEach { it.relieve() } }, interval, interval, TimeUnit.MILLISECONDS)
    }

    private fun relieve(loops: EventLoopGroup) {
        val isShortOfBodies = memory.bodies.takeShortage()
        val isShortOfHeads = memory.heads.takeShortage()
        val shortage = MemoryShortage(isShortOfBodies || isShortOfHeads, memory.responses.takeShortage())
        for (loop in loops) {
            loop.execute {
                callers.relieve(loop as EventLoop, shortage)
                peers.relieve(loop, shortage)
            }
        }
    }

    /** Adds the meters of the limits to [registry]. */
    fun addTo(registry: MeterRegistry) {
        memory.byOwner.forEach { (owner, budget) ->
            Gauge.builder("buckthornwheel.memory.held") { budget.held }.tag("owner", owner).register(registry)
        }
        val sizes = mapOf("callers" to callers::size, "peers" to peers::size) +
            endpointGroups.mapValues { it.value::size }
        sizes.forEach { (listener, size) ->
            Gauge.builder("buckthornwheel.connections") { size.get() }.tag("listener", listener).register(registry)
        }
        Limit.entries.forEach { limit ->
            FunctionCounter.builder("buckthornwheel.limit.refusals", limitLog) { it.count(limit).toDouble() }
                .tag("limit", limit.title).register(registry)
        }
    }

    private companion object {
        /** Interval at which connections are closed while a listener has too many. */
        const val ROOM_INTERVAL_MILLISECONDS = 250L
    }
}
