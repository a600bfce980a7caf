/*
 * Catalogue of numbered events. `docs/EVENTS.md` lists the same numbers; a test compares the two.
 */
package org.toucanspur.core.events

/** A kind of event; [number] never changes its meaning. */
enum class EventCode(val number: Int, val title: String) {
    STARTED(100, "process started"),
    STOPPING(101, "graceful shutdown began"),
    STOPPED(102, "graceful shutdown ended"),
    DOCUMENT_ADOPTED(200, "document revision adopted"),
    DOCUMENT_REJECTED(201, "stored document is invalid and was ignored"),
    OBJECT_API_UNAVAILABLE(202, "object API call failed"),
    PEER_CONNECTED(300, "peer connected"),
    PEER_LOST(301, "peer connection lost"),
    PEER_REJECTED(302, "peer failed the handshake"),
    PEER_SILENT(303, "silent connection closed"),
    RELEASE_FETCH_STARTED(400, "transfer of a release started"),
    RELEASE_COMPLETE(401, "all chunks of a release verified"),
    CHUNK_CORRUPT(402, "corrupt chunk dropped and its source charged"),
    RELEASE_DROPPED(403, "release no longer needed and dropped"),
    CHUNK_MEMORY_FULL(404, "release does not fit the chunk memory"),
    LEASE_ACQUIRED(410, "endpoint lease acquired"),
    LEASE_LOST(411, "endpoint lease lost"),
    LOAD_ORDERED(412, "engine ordered to load a release"),
    LOAD_CONFIRMED(413, "engine confirmed a release"),
    LOAD_LOST(414, "engine no longer holds the confirmed release"),
    ROLLOUT_SLOT_GRANTED(420, "rollout slot granted"),
    ROLLOUT_STOPPED(421, "rollout stopped after failures"),
    REQUEST_ACCEPTED(500, "request accepted"),
    REQUEST_DISPATCHED(501, "request dispatched to an endpoint"),
    REQUEST_ANSWERED(502, "request answered in full"),
    REQUEST_REFUSED(503, "request refused"),
    REQUEST_RESUMED(504, "answer resumed on a new connection or endpoint"),
    REQUEST_RECORDED(505, "repeated request served from the record"),
    REQUEST_FAILED(506, "request failed at the endpoint"),
    ENDPOINT_COLD(510, "endpoint turned cold and its limit was lowered"),
    ENDPOINT_CRASHED(511, "endpoint crashed and its requests were charged"),
    ENDPOINT_DRAINING(512, "endpoint takes no new work")
}
