/*
 * Stand-in for the platform's list of VMs.
 */
package org.toucanspur.standin

import io.ktor.http.ContentType
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.toucanspur.schema.VmId
import org.toucanspur.schema.VmRecord

/** The VM list on a loopback port. */
class VmListService {
    private val records = LinkedHashMap<VmId, VmRecord>()
    private val server = StandInServer {
        get("/vms") {
            val listed = synchronized(records) { records.values.toList() }
            val text = Json.encodeToString(ListSerializer(VmRecord.serializer()), listed)
            call.respondText(text, ContentType.Application.Json)
        }
    }

    /** URL of the list. */
    val url: String get() = "${server.url}/vms"

    /** Starts listening. */
    suspend fun start() = server.start()

    /** Stops listening. */
    fun stop() = server.stop()

    /** Adds or replaces a VM. */
    fun put(record: VmRecord) = synchronized(records) { records[record.vm] = record }

    /** Removes a VM. */
    fun remove(vm: VmId) = synchronized(records) { records.remove(vm) }
}
