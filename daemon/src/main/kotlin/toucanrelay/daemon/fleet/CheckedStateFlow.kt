package toucanrelay.daemon.fleet

import kotlinx.coroutines.ExperimentalForInheritanceCoroutinesApi
import kotlinx.coroutines.flow.StateFlow

/**
 * A state flow that runs [check] before each read of its [value].
 *
 * After a pause of the process, a read could otherwise return an outdated state before a coroutine has reset it.
 */
@OptIn(ExperimentalForInheritanceCoroutinesApi::class)
internal class CheckedStateFlow<T>(
    private val delegate: StateFlow<T>,
    private val check: () -> Unit,
) : StateFlow<T> by delegate {
    override val value: T
        get() {
            check()
            return delegate.value
        }
}
