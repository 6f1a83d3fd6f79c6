package toucanrelay.store.bundle

import kotlinx.collections.immutable.PersistentList
import toucanrelay.store.json.JsonProblem

/** Why a bundle is not accepted. */
public sealed interface BundleError {
    /** What is wrong, for people, on one line. */
    public val detail: String

    /**
     * The text is not JSON of the expected shape.
     *
     * @property detail what is wrong.
     */
    public data class Malformed(
        override val detail: String,
    ) : BundleError

    /**
     * Values of the document are not allowed.
     *
     * @property problems every such value; at least one.
     */
    public data class Invalid(
        public val problems: PersistentList<JsonProblem>,
    ) : BundleError {
        override val detail: String
            get() = problems.joinToString("; ")
    }

    /**
     * The bundle is signed with a key that is not known here.
     *
     * @property keyId name of that key.
     */
    public data class UnknownKey(
        public val keyId: String,
    ) : BundleError {
        override val detail: String
            get() = "signed with the unknown key \"$keyId\""
    }

    /**
     * The signature does not fit the document, the version and the key.
     *
     * @property keyId name of the key that should have signed.
     */
    public data class WrongSignature(
        public val keyId: String,
    ) : BundleError {
        override val detail: String
            get() = "the signature does not fit the document, its version and the key \"$keyId\""
    }
}
