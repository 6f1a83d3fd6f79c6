package toucanrelay.standins

import kotlinx.serialization.Serializable

/** Body of `POST /orders/models`. */
@Serializable
internal data class ModelOrderRequest(
    val model: String,
    val action: String,
    val fencingNumber: Long,
)

/**
 * A model order as the engine took it.
 *
 * @property model the model to load or unload.
 * @property action `load` or `unload`.
 * @property fencingNumber number of the lease under which the order was given.
 * @property accepted false when the number was lower than the highest seen.
 */
public data class ModelOrder(
    public val model: String,
    public val action: String,
    public val fencingNumber: Long,
    public val accepted: Boolean,
)

/**
 * The models that an engine holds, changed by fenced orders.
 *
 * @param initial models at the start.
 * @param checksFencing whether an old fencing number is refused.
 */
internal class ModelShelf(
    initial: List<String>,
    private val checksFencing: Boolean,
) {
    private val models = LinkedHashSet(initial)
    private var highestNumber = Long.MIN_VALUE

    fun models(): List<String> = models.toList()

    operator fun contains(model: String): Boolean = model in models

    /** Carries [request] out unless its fencing number is refused. */
    fun order(request: ModelOrderRequest): ModelOrder {
        val accepted = !checksFencing || request.fencingNumber >= highestNumber
        if (accepted) {
            highestNumber = maxOf(highestNumber, request.fencingNumber)
            if (request.action == "load") models += request.model else models -= request.model
        }
        return ModelOrder(request.model, request.action, request.fencingNumber, accepted)
    }
}
