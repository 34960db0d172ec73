"""Paces the datagrams that one host sends to many others.

The aggregator of a zone has a new digest for each host of the zone twice a second, and
a leader for each relay.  Sent at once, they fill the queue of a slow link: the last of
them are lost, in a fixed order always those to the same hosts, which then take the
sender for dead.  Paced datagrams use a share of the link, a newer datagram replaces an
older one of its kind that still waits, and one that waits keeps its turn.
"""

from collections.abc import Hashable, Iterable

LINK_SHARE = 0.25
"""Share of the host's link that paced datagrams may use."""
BURST_BYTES = 16_000
"""Bytes that may be sent at once after a pause."""
BYTES_PER_MBIT = 125_000


class FanOutQueue:
    """Datagrams that wait for their turn on the link.

    :param link_mbps: Rate of the host's link, in Mbit/s.
    """

    def __init__(self, link_mbps: float) -> None:
        self._bytes_per_s = LINK_SHARE * link_mbps * BYTES_PER_MBIT
        self._waiting: dict[tuple[str, Hashable], bytes] = {}
        self._credit_bytes = float(BURST_BYTES)
        self._updated_at: float | None = None
        self._rotation = 0

    def add(self, kind: Hashable, data: bytes, addresses: Iterable[str]) -> None:
        """Queue a datagram for each address.

        The first address differs from call to call, so that none is always last.

        :param kind: A newer datagram of the same kind replaces one that still waits.
        """
        ordered = sorted(addresses)
        if not ordered:
            return
        self._rotation = (self._rotation + 1) % len(ordered)
        for address in ordered[self._rotation :] + ordered[: self._rotation]:
            self._waiting[(address, kind)] = data

    def take_due(self, now: float) -> list[tuple[str, bytes]]:
        """Remove and return the datagrams that may be sent now, with their addresses.

        A datagram may be sent while any credit is left, so one that exceeds the burst
        is sent as well.
        """
        if self._updated_at is not None:
            earned = (now - self._updated_at) * self._bytes_per_s
            self._credit_bytes = min(BURST_BYTES, self._credit_bytes + earned)
        self._updated_at = now
        due = []
        while self._waiting and self._credit_bytes > 0:
            key = next(iter(self._waiting))
            data = self._waiting.pop(key)
            self._credit_bytes -= len(data)
            due.append((key[0], data))
        return due

    def pause_s(self) -> float | None:
        """Return the time until the next datagram is due, None if none waits."""
        if not self._waiting:
            return None
        return max(0.0, -self._credit_bytes / self._bytes_per_s)
