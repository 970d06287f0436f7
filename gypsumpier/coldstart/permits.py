"""The permits of this entry for all upstreams of services with a limit on cold ones."""

from gypsumpier.coldstart.window import PermitWindow


class Permits:
    """The windows by the id of the upstream.

    An upstream that restarts keeps its window: what was sent to the run before may arrive late.
    Requests to warm upstreams count as well, as these may become cold at any time.
    """

    def __init__(self) -> None:
        self.windows: dict[str, PermitWindow] = {}

    def window(self, upstream: str) -> PermitWindow:
        """Return the window of an upstream."""
        found = self.windows.get(upstream)
        if found is None:
            found = self.windows[upstream] = PermitWindow()
        return found

    def reserve(self, upstream: str) -> None:
        """Count a request that is to be sent to the upstream."""
        self.window(upstream).reserve()

    def give_back(self, upstream: str) -> None:
        """Stop counting a request that is not sent after all."""
        known = self.windows.get(upstream)
        if known is not None:
            known.give_back()

    def drop_idle(self, now_s: float) -> None:
        """Drop the windows that count nothing."""
        idle = [name for name, window in self.windows.items() if window.is_idle(now_s)]
        for name in idle:
            del self.windows[name]
