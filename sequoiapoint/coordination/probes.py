"""Probe slots: at most one suspect request runs on a backend server at a time.

The outcome of a suspect that runs without other suspects shows whether it crashes the
server.  Slots are kept in the memory of one host and expire by themselves.  If a slot
is lost, the outcome for one suspect is less certain, but no guarantee is broken.
"""

PROBE_SLOT_TTL_S = 30.0


class ProbeSlotTable:
    """The probe slots that this host has granted."""

    def __init__(self) -> None:
        self._slots: dict[str, tuple[str, float]] = {}

    def acquire(self, server: str, holder: str, now: float) -> bool:
        """Grant the probe slot of a server, unless another request holds it.

        :param holder: An id of the request that asks for the slot.
        :return: Whether the slot was granted.
        """
        current = self._slots.get(server)
        if current is not None and current[0] != holder and current[1] > now:
            return False
        self._slots[server] = (holder, now + PROBE_SLOT_TTL_S)
        return True

    def release(self, server: str, holder: str) -> None:
        """Release a probe slot."""
        current = self._slots.get(server)
        if current is not None and current[0] == holder:
            del self._slots[server]
