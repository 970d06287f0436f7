"""An event loop in virtual time and a network in memory.

Time stands still while anything is ready to run and jumps to the next timer when nothing is, so
a test of long timeouts takes no time and runs alike each time.  Sockets, threads and signals must
not be waited for in this loop: nothing would wake it, which it reports as an error.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any, Final, ParamSpec, TypeVar

P = ParamSpec("P")
T = TypeVar("T")

CLOCK_RESOLUTION_S: Final = 1e-9
WALL_START_S: Final = 1_700_000_000.0


class NothingToWaitForError(Exception):
    """The loop waits, with no timer and nothing ready: the tasks wait for each other."""


class VirtualSelector(selectors.SelectSelector):
    """Advances the virtual time in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise NothingToWaitForError
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """The event loop."""

    def __init__(self) -> None:
        self.selector = VirtualSelector()
        super().__init__(self.selector)
        # The loop takes timers as due within this bound, which absorbs rounding.
        self._clock_resolution = CLOCK_RESOLUTION_S

    def time(self) -> float:
        return self.selector.now_s


class VirtualClock:
    """The Clock of one process in a virtual loop.

    ``paused_s`` sets what the process believes apart from the loop's time: a process that wakes
    from a pause finds that its clock has gone on.
    """

    def __init__(self, paused_s: float = 0.0) -> None:
        self.paused_s = paused_s

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time() + self.paused_s

    def wall(self) -> float:
        return WALL_START_S + self.monotonic()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run the coroutine in a new virtual loop; cancel the tasks that it leaves behind."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


def virtual(test: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    """Let a test that is a coroutine run in a new virtual loop."""

    @wraps(test)
    def run_test(*args: P.args, **kwargs: P.kwargs) -> None:
        run(test(*args, **kwargs))

    return run_test
