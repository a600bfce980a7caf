/*
 * HTTP routes for probes, metrics, status and event timeline of a process.
 */
package org.toucanspur.daemon.admin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.toucanspur.daemon.ProcessBase
import org.toucanspur.schema.EndpointStatus
import org.toucanspur.schema.Event
import org.toucanspur.schema.ProcessStatus

/** Role-specific data of the admin routes. */
interface AdminSource {
    /** Status of the process. */
    fun processStatus(): ProcessStatus

    /** Status of the endpoints known to the process. */
    fun endpoints(): List<EndpointStatus>
}

/** Registers `/live`, `/ready`, `/metrics`, `/status`, `/endpoints` and `/events`. */
fun Route.adminRoutes(base: ProcessBase, source: AdminSource) {
    get("/live") { call.respondText("live\n") }
    get("/ready") {
        val status = source.processStatus()
        if (status.ready) {
            call.respondText("ready at revision ${status.revision}\n")
        } else {
            call.respondText("not ready\n", status = HttpStatusCode.ServiceUnavailable)
        }
    }
    get("/metrics") { call.respondText(base.metrics.scrape(), ContentType.Text.Plain) }
    get("/status") {
        val text = Json.encodeToString(ProcessStatus.serializer(), source.processStatus())
        call.respondText(text, ContentType.Application.Json)
    }
    get("/endpoints") {
        val text = Json.encodeToString(
            ListSerializer(EndpointStatus.serializer()),
            source.endpoints()
        )
        call.respondText(text, ContentType.Application.Json)
    }
    get("/events") {
        val text = Json.encodeToString(ListSerializer(Event.serializer()), base.events.snapshot())
        call.respondText(text, ContentType.Application.Json)
    }
}
