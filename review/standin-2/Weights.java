import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Random;

/** Pieces of the weight versions of one model. */
final class Weights {
    static final String MODEL = "m0";
    static final int PIECES = 96;
    static final int LAYERS = 16;
    static final int PIECE_BYTES = 4096;

    private Weights() {}

    static byte[] piece(long version, int index) {
        byte[] bytes = new byte[PIECE_BYTES];
        new Random(version * 1000 + index).nextBytes(bytes);
        return bytes;
    }

    static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
