/*
 * Mutual authentication of two processes by shared keys. Each side sends a random nonce and proves
 * that it knows a key with an HMAC over both nonces, its role in the handshake and its identity.
 * Two keys are accepted at once, so that keys can be rotated without closing connections.
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

/** Version of the protocol between peers. */
const val PROTOCOL_VERSION = 1

private const val NONCE_BYTES = 16
private const val HMAC = "HmacSHA256"

/** Identity of a process towards its peers. */
data class ProcessIdentity(val vm: VmId, val incarnation: Incarnation, val role: VmRole)

/** Performs the handshakes of one process. */
class Handshake(private val identity: ProcessIdentity, keys: KeysSection) {
    private val ownKey = keys.current
    private val acceptedKeys = listOf(keys.current, keys.next).filter { it.value.isNotEmpty() }
    private val random = SecureRandom()

    /** Authenticates both sides; throws [ProtocolException] when the peer's proof is invalid. */
    suspend fun perform(
        input: ByteReadChannel,
        output: ByteWriteChannel,
        isDialer: Boolean
    ): Hello {
        val own = ownHello()
        output.writeFrame(own)
        output.flush()
        val peer = readHello(input)
        output.writeFrame(Proof(computeMac(ownKey, own, peer.nonce, isDialer)))
        output.flush()
        val proof = input.readFrame(HANDSHAKE_FRAME_MAX_BYTES)
        if (proof !is Proof || !isProofValid(proof, peer, own.nonce, !isDialer)) {
            throw ProtocolException(
                "peer ${peer.vm} has no accepted key; compare section [keys] of both settings"
            )
        }
        return peer
    }

    private suspend fun readHello(input: ByteReadChannel): Hello {
        val peer = input.readFrame(HANDSHAKE_FRAME_MAX_BYTES) as? Hello
            ?: throw ProtocolException(
                "peer sent no hello frame; check that the port belongs to toucanspurd"
            )
        if (peer.protocolVersion != PROTOCOL_VERSION) {
            throw ProtocolException(
                "peer ${peer.vm} uses protocol version ${peer.protocolVersion}, this process " +
                    "$PROTOCOL_VERSION; upgrade the older one"
            )
        }
        return peer
    }

    private fun ownHello(): Hello {
        val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes).toHexString()
        return Hello(PROTOCOL_VERSION, identity.vm, identity.incarnation, identity.role, nonce)
    }

    private fun isProofValid(
        proof: Proof,
        peer: Hello,
        ownNonce: String,
        isDialer: Boolean
    ): Boolean = acceptedKeys.any { key ->
        val expected = computeMac(key, peer, ownNonce, isDialer)
        MessageDigest.isEqual(expected.encodeToByteArray(), proof.mac.encodeToByteArray())
    }

    private fun computeMac(
        key: Secret,
        sender: Hello,
        receiverNonce: String,
        isDialer: Boolean
    ): String {
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
