"""Turns for suspects: at most one suspected request at a time on a backend server.

A suspect that runs with no other suspect beside it is either cleared or convicted by
what follows.  Turns are kept in the memory of one host and lapse by themselves: a
lost turn costs certainty about one suspect, never a promise.
"""

PROBE_SLOT_TTL_S = 30.0


class ProbeSlotTable:
    """The turns that this host has given."""

    def __init__(self) -> None:
        self._turns: dict[str, tuple[str, float]] = {}

    def acquire(self, server: str, holder: str, now: float) -> bool:
        """Give a turn on a server, where none is out.

        :param holder: Names the request that asks.
        """
        current = self._turns.get(server)
        if current is not None and current[0] != holder and current[1] > now:
            return False
        self._turns[server] = (holder, now + PROBE_SLOT_TTL_S)
        return True

    def release(self, server: str, holder: str) -> None:
        """Take a turn back."""
        current = self._turns.get(server)
        if current is not None and current[0] == holder:
            del self._turns[server]
