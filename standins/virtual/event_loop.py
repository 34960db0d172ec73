"""An asyncio event loop on a virtual clock, which skips the time between events."""

import asyncio
import selectors


class _SkippingSelector(selectors.DefaultSelector):
    """Advances the loop's clock instead of waiting."""

    loop: "VirtualTimeLoop"

    def select(self, timeout: float | None = None) -> list:
        """Return the ready files at once; skip the time if there are none."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("nothing will ever wake the virtual loop")
            self.loop.now += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock stands still while callbacks run.

    :ivar now: The virtual time, in seconds.
    """

    def __init__(self) -> None:
        selector = _SkippingSelector()
        selector.loop = self
        self.now = 0.0
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now
