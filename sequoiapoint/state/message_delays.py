"""By how much messages of other hosts arrive late.

A message says what its sender knew as it was sent.  It may wait on the network, or in
this host's socket while the process is suspended, so its arrival proves nothing about
the time since then.  The clocks of two machines differ by an unknown but nearly
constant offset: a message for which they seem to differ by more than for the fastest
one was on its way for longer by that time.
"""

from collections.abc import Hashable
from dataclasses import dataclass

WINDOW_S = 30.0
"""Time after which the fastest message is determined anew, as clocks drift apart; by a
few milliseconds in this time."""
MAX_SENDERS = 4096
"""Number of senders that are remembered; far more than hosts are intended."""


@dataclass
class _Offsets:
    """The smallest differences between the clocks, as they seemed, in two windows."""

    since: float
    current_s: float
    previous_s: float


class MessageDelays:
    """Compares the messages of each sender with its fastest one."""

    def __init__(self) -> None:
        self._offsets: dict[Hashable, _Offsets] = {}

    def late_s(self, sender: Hashable, sent_at: float, now: float) -> float:
        """Return by how much a message is later than its sender's fastest one.

        :param sender: The process that has sent it.
        :param sent_at: When it was sent, on the sender's clock, in seconds.
        :param now: The time on this host's clock, in seconds.
        """
        offset_s = now - sent_at
        known = self._offsets.get(sender)
        if known is None or now - known.since >= WINDOW_S:
            previous_s = offset_s if known is None else known.current_s
            known = _Offsets(now, offset_s, previous_s)
            self._offsets.pop(sender, None)
            self._offsets[sender] = known
            while len(self._offsets) > MAX_SENDERS:
                del self._offsets[next(iter(self._offsets))]
        known.current_s = min(known.current_s, offset_s)
        return offset_s - min(known.current_s, known.previous_s)
