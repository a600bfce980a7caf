/*
 * Mutual authentication of two processes by shared keys. Each side sends a random challenge and
 * proves that it knows a key by an HMAC over both challenges, its role in the handshake and its
 * identity. Two keys are accepted at once, so that keys can be rotated without a cut connection.
 */
package org.toucanspur.daemon.transport

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import org.toucanspur.schema.Hello
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.KeysSection
import org.toucanspur.schema.Proof
import org.toucanspur.schema.Secret
import org.toucanspur.schema.VmId
import org.toucanspur.schema.VmRole

/** Version of the protocol between processes. */
const val PROTOCOL_VERSION = 1

private const val NONCE_BYTES = 16
private const val HMAC = "HmacSHA256"

/** Identity of the own process. */
data class ProcessIdentity(val vm: VmId, val incarnation: Incarnation, val role: VmRole)

/** Performs handshakes for one process. */
class Handshake(private val identity: ProcessIdentity, keys: KeysSection) {
    private val ownKey = keys.current
    private val acceptedKeys = listOf(keys.current, keys.next).filter { it.value.isNotEmpty() }
    private val random = SecureRandom()

    /** Authenticates both sides; throws [ProtocolException] when the peer fails. */
    suspend fun perform(
        input: ByteReadChannel,
        output: ByteWriteChannel,
        isDialer: Boolean
    ): Hello {
        val own = ownHello()
        output.writeFrame(own)
        output.flush()
        val peer = readHello(input)
        output.writeFrame(Proof(mac(ownKey, own, peer.nonce, isDialer)))
        output.flush()
        val proof = input.readFrame(HANDSHAKE_FRAME_MAX_BYTES)
        if (proof !is Proof || !isProven(proof, peer, own.nonce, !isDialer)) {
            throw ProtocolException(
                "peer ${peer.vm} has no accepted key; compare [keys] in both settings"
            )
        }
        return peer
    }

    private suspend fun readHello(input: ByteReadChannel): Hello {
        val peer = input.readFrame(HANDSHAKE_FRAME_MAX_BYTES) as? Hello
            ?: throw ProtocolException("peer sent no hello; check that the port is toucanspurd's")
        if (peer.protocolVersion != PROTOCOL_VERSION) {
            throw ProtocolException(
                "peer ${peer.vm} speaks protocol ${peer.protocolVersion}, this process " +
                    "$PROTOCOL_VERSION; upgrade the older one"
            )
        }
        return peer
    }

    private fun ownHello(): Hello {
        val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes).toHexString()
        return Hello(PROTOCOL_VERSION, identity.vm, identity.incarnation, identity.role, nonce)
    }

    private fun isProven(proof: Proof, peer: Hello, ownNonce: String, isDialer: Boolean): Boolean =
        acceptedKeys.any { key ->
            val expected = mac(key, peer, ownNonce, isDialer)
            MessageDigest.isEqual(expected.encodeToByteArray(), proof.mac.encodeToByteArray())
        }

    private fun mac(key: Secret, sender: Hello, receiverNonce: String, isDialer: Boolean): String {
        val mac = Mac.getInstance(HMAC)
        mac.init(SecretKeySpec(key.value.encodeToByteArray(), HMAC))
        val parts = listOf(
            "toucanspur",
            sender.protocolVersion,
            if (isDialer) "dialer" else "listener",
            sender.vm,
            sender.incarnation,
            sender.role,
            sender.nonce,
            receiverNonce
        )
        return mac.doFinal(parts.joinToString("|").encodeToByteArray()).toHexString()
    }
}
