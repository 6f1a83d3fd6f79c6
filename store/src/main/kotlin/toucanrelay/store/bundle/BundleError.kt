package toucanrelay.store.bundle

import kotlinx.collections.immutable.PersistentList
import toucanrelay.store.json.JsonProblem

/** Reason why a bundle is rejected. */
public sealed interface BundleError {
    /** Single-line description for messages. */
    public val detail: String

    /**
     * The text is not a JSON object, or it is nested too deeply.
     *
     * @property detail description of the fault.
     */
    public data class Malformed(
        override val detail: String,
    ) : BundleError

    /**
     * The document has members that are missing, unknown or not allowed.
     *
     * @property problems all problems found; at least one.
     */
    public data class Invalid(
        public val problems: PersistentList<JsonProblem>,
    ) : BundleError {
        override val detail: String
            get() = problems.joinToString("; ")
    }

    /**
     * The bundle is signed with a key that the verifier does not have.
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
     * The signature does not match the document, its version and the key.
     *
     * @property keyId name of the key that the bundle claims to be signed with.
     */
    public data class WrongSignature(
        public val keyId: String,
    ) : BundleError {
        override val detail: String
            get() = "the signature does not match the document, its version and the key \"$keyId\""
    }
}
