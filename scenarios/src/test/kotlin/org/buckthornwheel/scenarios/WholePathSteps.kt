package org.buckthornwheel.scenarios

import io.cucumber.java.After
import io.cucumber.java.Scenario
import io.cucumber.java.en.Given
import io.cucumber.java.en.Then
import io.cucumber.java.en.When
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.Revision
import org.buckthornwheel.testing.Caller
import org.buckthornwheel.testing.CallerResponse
import org.buckthornwheel.testing.LocalEstate
import org.buckthornwheel.testing.Operator
import org.buckthornwheel.testing.ServiceObserver
import org.buckthornwheel.testing.awaitUntil
import org.buckthornwheel.testing.estateLayout
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

class WholePathSteps {
    private val estate = LocalEstate.of(estateLayout())
    private val operator = Operator()
    private val caller = Caller(estate.layout.accounts.first().token)
    private val observer = ServiceObserver()
    private var entryHosts = emptyList<String>()
    private lateinit var response: CallerResponse
    private val prompt = "mooring"

    @After
    fun endProcesses(scenario: Scenario) {
        if (scenario.isFailed) estate.printOutputs()
        listOf(caller, operator, observer, estate).forEach { it.close() }
    }

    @Given("an estate of two zones with three hosts")
    fun startEstate() = runBlocking {
        estate.startStandIns()
        estate.hosts.forEach(estate::startHost)
        estate.hosts.forEach { host ->
            awaitUntil("${host.name} lists all hosts as alive") {
                operator.hosts(host).count { it.state == "alive" } == 3
            }
        }
    }

    @Given("the operator has submitted the first release note with the command line")
    fun submitFirstNote() = runBlocking {
        val file = estate.writeNote(estate.firstNote())
        val command = listOf("release-note", "submit", file.toString())
        var exitCode = UNAVAILABLE
        // The command line advises submitting the same note again when the platform does not respond in time.
        awaitUntil("the platform responds") {
            exitCode = estate.runCommandLine(estate.hosts.first(), command)
            exitCode != UNAVAILABLE
        }
        expectThat(exitCode).isEqualTo(0)
        Unit
    }

    @Then("the note is in force on every host")
    fun awaitNoteInForce() = runBlocking {
        estate.hosts.forEach { host ->
            awaitUntil("${host.name} has applied the note") { operator.revision(host) == Revision(1) }
            awaitUntil("${host.name} is ready") { operator.isReady(host) }
        }
    }

    @When("the caller asks the first host which hosts to use")
    fun askForEntryHosts() = runBlocking {
        // A host whose heartbeats have been missing for three seconds is not listed until the next one arrives.
        awaitUntil("the first host has recent heartbeats from all hosts") {
            entryHosts = caller.entryHosts(estate.hosts.first().callers).hosts.map { it.name }
            entryHosts.size == estate.hosts.size
        }
    }

    @Then("it is told all three hosts")
    fun expectAllHosts() {
        expectThat(entryHosts).containsExactlyInAnyOrder(estate.hosts.map { it.name })
    }

    @When("the caller asks for a streamed completion of {int} tokens")
    fun askForStream(tokens: Int) = runBlocking {
        response = caller.complete(estate.hosts.first().callers, prompt, tokens, stream = true)
    }

    @Then("it gets {int} tokens of its own prompt in order and an explicit end")
    fun expectStreamedTokens(tokens: Int) {
        val events = response.events()
        expectThat(events).hasSize(tokens + 1)
        expectThat(
            events.dropLast(1).map {
                TOKEN.find(it)?.value
            },
        ).containsExactly((0 until tokens).map { "$prompt:$it" })
        expectThat(events.last()).isEqualTo("[DONE]")
    }

    @When("the caller asks for a whole completion of {int} tokens")
    fun askForNonStreamed(tokens: Int) = runBlocking {
        response = caller.complete(estate.hosts.first().callers, prompt, tokens, stream = false)
    }

    @Then("it gets {int} tokens of its own prompt in one answer")
    fun expectTokensInOneResponse(tokens: Int) {
        expectThat(response.outcome).isEqualTo(Outcome.COMPLETED)
        expectThat(TOKEN.findAll(response.body).map { it.value }.toList())
            .containsExactly((0 until tokens).map { "$prompt:$it" })
    }

    @When("the caller files an action under the key {string}")
    fun sendAction(key: String) = runBlocking {
        // A host runs actions once the platform has registered it; until then it rejects them as not run.
        awaitUntil("the first host may run actions") {
            response = caller.act(estate.hosts.first().callers, key, """{"line":"$key"}""")
            response.outcome != Outcome.NOT_RUN
        }
    }

    @Then("the action was completed and took effect once")
    fun expectSingleEffect() = runBlocking {
        expectThat(response.outcome).isEqualTo(Outcome.COMPLETED)
        expectThat(observer.effects(estate.services)).hasSize(1)
        Unit
    }

    private companion object {
        /** The command line's exit code when it got no response, or none that states the outcome (docs/API.md). */
        const val UNAVAILABLE = 3

        val TOKEN = Regex("mooring:\\d+")
    }
}
