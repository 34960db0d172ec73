"""Recognises records that were appended a second time."""

MAX_WRITERS = 4096


class AppliedSequences:
    """The highest sequence number applied of each process.

    Only the processes that wrote last are remembered: a repeated append follows
    its first one within seconds.
    """

    def __init__(self, highest: dict[str, int] | None = None) -> None:
        self._highest = dict(highest or {})

    def record_if_new(self, host: str, incarnation: str, sequence: int) -> bool:
        """Tell whether a record is new, and remember it.

        :param sequence: The record's sequence number.
        """
        writer = f"{host}/{incarnation}"
        known = self._highest.pop(writer, 0)
        self._highest[writer] = max(known, sequence)
        if len(self._highest) > MAX_WRITERS:
            del self._highest[next(iter(self._highest))]
        return sequence > known

    def to_json(self) -> dict[str, int]:
        """Return the state for a snapshot."""
        return dict(self._highest)
