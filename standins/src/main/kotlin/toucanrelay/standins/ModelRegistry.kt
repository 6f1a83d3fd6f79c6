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
 * A model order that the engine received.
 *
 * @property model the model to load or unload.
 * @property action `load` or `unload`.
 * @property fencingNumber fencing number of the lease under which the order was issued.
 * @property accepted false if the order was rejected because its fencing number was lower than the highest seen.
 */
public data class ModelOrder(
    public val model: String,
    public val action: String,
    public val fencingNumber: Long,
    public val accepted: Boolean,
)

/**
 * Registry of an engine's loaded models, changed by fenced orders.
 *
 * @param initial models loaded at the start.
 * @param checksFencing whether orders with an old fencing number are rejected.
 */
internal class ModelRegistry(
    initial: List<String>,
    private val checksFencing: Boolean,
) {
    private val models = LinkedHashSet(initial)
    private var highestFencingNumber = Long.MIN_VALUE

    fun models(): List<String> = models.toList()

    operator fun contains(model: String): Boolean = model in models

    /** Executes [request] unless its fencing number is rejected. */
    fun execute(request: ModelOrderRequest): ModelOrder {
        val accepted = !checksFencing || request.fencingNumber >= highestFencingNumber
        if (accepted) {
            highestFencingNumber = maxOf(highestFencingNumber, request.fencingNumber)
            if (request.action == "load") models += request.model else models -= request.model
        }
        return ModelOrder(request.model, request.action, request.fencingNumber, accepted)
    }
}
