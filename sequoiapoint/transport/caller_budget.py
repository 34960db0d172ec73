"""Bounds the memory that the callers of a process hold, over all their connections.

A limit for each connection bounds nothing if there are many of them.  When callers
together hold more than the budget, those that hold much for long lose what they have
sent: of such requests nothing has run, and their callers may send them again.  Whole
requests cannot be taken back, so they are admitted only while there is room for them;
a part of it is kept for small requests.
"""

from collections.abc import Iterable, Iterator
from typing import Protocol

REQUEST_BYTES = 8_192
"""Memory for the objects of a request in progress, besides its head and body."""
QUEUED_REQUEST_BYTES = 1_024
"""The same for one that waits behind another one of its connection."""
HEADER_BYTES = 160
"""Memory for the objects of one header, besides its name and value."""
BODY_COPIES = 2
"""Copies of the body of a request in progress: the request's, and the one that is
being sent to a server.  An application may hold more."""
SMALL_REQUEST_BYTES = 32_768
"""Memory of a request that counts as small."""
LARGE_REQUESTS_SHARE = 0.75
"""Share of the budget that requests in progress may hold if they are not small."""
EXTRA_FREED_SHARE = 0.1
"""Share of the pending memory that is freed besides the excess, so that a choice is
rarely necessary."""


class Holder(Protocol):
    """A connection that holds memory of the budget.

    :ivar pending_bytes: Memory of requests that are incomplete or not begun.
    :ivar pending_since: When the oldest of them began, in seconds.
    """

    pending_bytes: int
    pending_since: float

    def release_pending(self) -> None:
        """Discard these requests, none of which has run."""


def _by_occupancy(holders: Iterable[Holder], now: float) -> list[Holder]:
    """Return holders by memory times time, the largest first.

    Of those that have just begun, the largest precede.

    :param now: The time, in seconds.
    """
    return sorted(
        holders,
        key=lambda h: (h.pending_bytes * (now - h.pending_since), h.pending_bytes),
        reverse=True,
    )


class CallerBudget:
    """The memory that the callers of all servers of a process may hold.

    A request larger than the budget is served if it is the only one.

    :param max_bytes: The budget, in bytes.
    :param body_copies: The copies of its body that a request in progress holds.
    """

    def __init__(self, max_bytes: float, body_copies: int = BODY_COPIES) -> None:
        self._max_bytes = max_bytes
        self._body_copies = body_copies
        self._pending_bytes = 0
        self._active_bytes = 0
        self._holders: set[Holder] = set()

    @property
    def held_bytes(self) -> int:
        """Return the memory that all callers hold."""
        return self._pending_bytes + self._active_bytes

    def set_pending(self, holder: Holder, size: int) -> None:
        """Note how much memory a holder's pending requests use, in bytes."""
        self._pending_bytes += size - holder.pending_bytes
        holder.pending_bytes = size
        if size:
            self._holders.add(holder)
        else:
            self._holders.discard(holder)

    def request_bytes(self, head_bytes: int, body_bytes: int) -> int:
        """Return the memory of a request while it is processed.

        :param head_bytes: The memory of its head.
        """
        return REQUEST_BYTES + head_bytes + self._body_copies * body_bytes

    def has_room(self, size: int) -> bool:
        """Tell whether a request may be processed.

        :param size: Its memory while it is processed, in bytes.
        """
        is_small = size <= SMALL_REQUEST_BYTES
        share = 1.0 if is_small else LARGE_REQUESTS_SHARE
        is_only_one = self._active_bytes == 0
        return is_only_one or self._active_bytes + size <= share * self._max_bytes

    def add_active(self, size: int) -> None:
        """Note that a request is processed from now on."""
        self._active_bytes += size

    def remove_active(self, size: int) -> None:
        """Note that a request is no longer processed."""
        self._active_bytes -= size

    def enforce(self, now: float) -> None:
        """Discard pending requests until the memory is within the budget.

        :param now: The time, in seconds.
        """
        if self.held_bytes <= self._max_bytes:
            return
        for holder in self._excess_holders(now):
            self.set_pending(holder, 0)
            holder.release_pending()

    def _excess_holders(self, now: float) -> Iterator[Holder]:
        """Return the holders that lose their requests; a single one remains."""
        target = self._max_bytes - EXTRA_FREED_SHARE * self._pending_bytes
        for holder in _by_occupancy(self._holders, now):
            if self.held_bytes <= target:
                return
            if self.held_bytes > holder.pending_bytes:
                yield holder
