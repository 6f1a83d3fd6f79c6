package toucanrelay.daemon.fleet

import kotlinx.coroutines.ExperimentalForInheritanceCoroutinesApi
import kotlinx.coroutines.flow.StateFlow

/**
 * A state flow whose [value] is checked before each read.
 *
 * A process that was paused would otherwise read a state that no coroutine had the time to take back yet.
 */
@OptIn(ExperimentalForInheritanceCoroutinesApi::class)
internal class CheckedStateFlow<T>(
    private val states: StateFlow<T>,
    private val check: () -> Unit,
) : StateFlow<T> by states {
    override val value: T
        get() {
            check()
            return states.value
        }
}
