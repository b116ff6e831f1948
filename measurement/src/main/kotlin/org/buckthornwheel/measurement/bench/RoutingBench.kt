package org.buckthornwheel.measurement.bench

import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.fleet.TargetState
import org.buckthornwheel.decision.routing.RouteDecision
import org.buckthornwheel.decision.routing.RouteRequest
import org.buckthornwheel.decision.routing.Router
import org.buckthornwheel.measurement.sample.EstateSize
import org.buckthornwheel.measurement.sample.SampleEstate
import org.buckthornwheel.measurement.sample.SamplePeers
import org.buckthornwheel.measurement.sample.SampleRouting
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State

/** Cost of one routing decision when all targets of the estate can serve the request. */
@State(Scope.Benchmark)
public open class RoutingBench {
    /** Number of targets that can serve the request. */
    @Param("50", "1000")
    public var targets: Int = 0

    /** Number of zones over which the targets are spread; one zone is the worst case, since all targets are local. */
    @Param("1", "21")
    public var zones: Int = 0

    private lateinit var estate: Estate
    private lateinit var fleet: TargetFleet
    private lateinit var router: Router
    private lateinit var request: RouteRequest

    /** Creates the estate and records a load report for every target. */
    @Setup
    public fun prepare() {
        val sample = SampleEstate(EstateSize(targets, EstateSize.DESIGN_ACCOUNTS, zones))
        estate = sample.estate()
        val candidates = sample.targets { listOf(sample.model) }
        fleet = SampleRouting.fleet(candidates)
        router = SampleRouting.router(sample.zones.first(), fleet)
        request = SampleRouting.request(candidates)
        estate.index
    }

    /** Makes one routing decision. */
    @Benchmark
    public fun route(): RouteDecision = router.route(estate, request, SamplePeers.now)

    /** Reads the state of one target. */
    @Benchmark
    public fun readTargetState(): TargetState = fleet.state(request.candidates.first().name, SamplePeers.now)
}
