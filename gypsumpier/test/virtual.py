"""An event loop in virtual time.

Time stands still while anything is ready to run and jumps to the next timer when nothing is, so a
test of long timeouts takes no real time and is deterministic.  Nothing in this loop may wait for
sockets, threads or signals: they would not wake the loop, which raises NothingToWaitForError.
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
    """Nothing is ready to run and no timer is set: the tasks wait for each other."""


class VirtualSelector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

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
    """An event loop that runs in the virtual time of its selector."""

    def __init__(self) -> None:
        self.selector = VirtualSelector()
        super().__init__(self.selector)
        # The loop runs timers that are due within this time, which absorbs rounding errors.
        self._clock_resolution = CLOCK_RESOLUTION_S

    def time(self) -> float:
        return self.selector.now_s


class VirtualClock:
    """The clock of one process in a virtual loop.

    ``paused_s`` is added to the loop's time: a process that resumes after a pause finds that its
    clock has advanced.
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
    """Run the coroutine in a new virtual loop, then cancel the remaining tasks."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


def virtual(test: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    """Wrap a coroutine test so that it runs in a new virtual loop."""

    @wraps(test)
    def run_test(*args: P.args, **kwargs: P.kwargs) -> None:
        run(test(*args, **kwargs))

    return run_test
