package org.buckthornwheel.decision.ledger

import org.buckthornwheel.api.AccountName
import kotlin.coroutines.Continuation
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.startCoroutine
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Runs a zone through a seeded schedule of retries and faults; detects double effects and false `not-run` answers. */
internal class SimulatedZone(seed: Int) {
    private class NotRunReport(val key: ActionKey, val first: Boolean, val number: Int)

    private val random = Random(seed)
    val network = SimulatedNetwork(random, listOf(0.0, 0.02, 0.1).random(random))
    val platform = SimulatedPlatform()
    val hosts = ArrayList<SimulatedHost>()
    val violations = ArrayList<String>()
    val effects = HashMap<ActionKey, Int>()
    var promisedRuns = 0
    val verdicts = ArrayList<AttemptVerdict>()
    private val sent = HashMap<ActionKey, Int>()
    private val notRunReports = ArrayList<NotRunReport>()
    private var incarnations = 0L
    private val crashes = random.nextInt(3) == 0
    private val faulty = random.nextInt(4) != 0

    fun run() {
        repeat(2 + random.nextInt(2)) { slot -> addHost(slot) }
        while (hosts.any { !it.registry.hasCompleteHistory } && network.step < STEPS) network.advance()
        if (random.nextBoolean()) disconnectPlatform()
        repeat(STEPS) {
            if (network.step % 10 == 0) injectFault()
            network.advance()
        }
        platform.cutOff.clear()
        repeat(RECOVERY_STEPS) { network.advance() }
        checkNotRunReports()
    }

    fun takeEffect(key: ActionKey, by: RegisteredHost): String {
        val count = effects.merge(key, 1, Int::plus) ?: 0
        if (count > 1) violations.add("$key took effect $count times, the last time on $by")
        return "effect-$count"
    }

    fun start(block: suspend () -> Unit) {
        block.startCoroutine(Continuation(EmptyCoroutineContext) { it.getOrThrow() })
    }

    private fun injectFault() {
        if (random.nextInt(6) == 0) sendRequest()
        if (!faulty) return
        when (random.nextInt(120)) {
            0, 1 -> disconnectPlatform()
            10 -> platform.cutOff.clear()
            2, 3 -> addHost(random.nextInt(SLOTS))
            in 4..9 -> anyHost()?.let(::injectHostFault)
            else -> Unit
        }
    }

    private fun injectHostFault(host: SimulatedHost): Unit = when (random.nextInt(18)) {
        in 0..3 -> platform.cutOff.plusAssign(host.self.address)
        4 -> if (crashes) host.alive = false else Unit
        5 -> if (crashes) leave(host) else Unit
        else -> host.pausedUntil = network.step + random.nextInt(300)
    }

    private fun disconnectPlatform() {
        (0 until SLOTS).forEach { platform.cutOff.add("10.0.0.$it:7000") }
    }

    private fun anyHost(): SimulatedHost? = hosts.filter { it.alive }.randomOrNull(random)

    /** Starts an incarnation at the address of [slot], unless one is running there. */
    private fun addHost(slot: Int) {
        val host = SimulatedHost(slot, ++incarnations, this)
        if (hosts.any { it.alive && it.self.address == host.self.address }) return
        hosts.add(host)
        start {
            while (host.registration.join().getOrNull() != RegistrationState.HISTORY_COMPLETE) network.pause(host)
            while (true) {
                repeat(10) { network.pause(host) }
                host.registration.refresh()
            }
        }
    }

    private fun leave(host: SimulatedHost): Unit = start {
        host.ledger.close()
        while ((0 until ActionLedger.SHARDS).any { shard -> host.ledger.export(shard).any { isOwnHold(it, host) } }) {
            network.pause(host)
        }
        host.registration.leave()
        host.alive = false
    }

    private fun isOwnHold(entry: ActionEntry, host: SimulatedHost): Boolean =
        (entry.state as? KnownState.HeldElsewhere)?.hold?.holder == host.self

    private fun sendRequest() {
        val candidate = anyHost() ?: return
        val host = candidate.takeIf { it.registry.hasCompleteHistory || random.nextInt(8) == 0 } ?: return
        val key = ActionKey(AccountName("halvorsen"), "key-${random.nextInt(4) + network.step / 600}")
        val number = sent.merge(key, 1, Int::plus) ?: 1
        val deadline = host.clock.now() + 600.milliseconds
        val request = AttemptRequest(key, "body", isFirstAttempt = number == 1 && random.nextBoolean(), deadline)
        start {
            val verdict = ActionAttempt(request, host.ledger, host.registry)
                .drive(SimulatedAttempt(this, host, request), host.clock)
            verdicts.add(verdict)
            checkVerdict(request, verdict)
        }
    }

    /** Records the verdict, unless it is for a first attempt and the caller has sent another one in the meantime. */
    private fun checkVerdict(request: AttemptRequest, verdict: AttemptVerdict) {
        val callerListens = !request.isFirstAttempt || sent[request.key] == 1
        if (verdict is AttemptVerdict.NotRun &&
            callerListens
        ) {
            notRunReports.add(NotRunReport(request.key, request.isFirstAttempt, sent.getValue(request.key)))
        }
        val result = (verdict as? AttemptVerdict.Result)?.result as? ActionResult.Answered ?: return
        if (result.bodyBase64 != "effect-1") violations.add("${request.key} was answered with ${result.bodyBase64}")
        if (effects[request.key] == null) violations.add("${request.key} was answered without an effect")
    }

    private fun checkNotRunReports() {
        notRunReports
            .filter { report -> effects[report.key] != null && (!report.first || sent[report.key] == report.number) }
            .forEach { violations.add("${it.key} was reported as not-run but took effect") }
    }

    private companion object {
        const val SLOTS = 4
        const val STEPS = 2_500
        const val RECOVERY_STEPS = 1_500
    }
}
