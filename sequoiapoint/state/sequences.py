"""Detection of records that were appended more than once."""

MAX_WRITERS = 4096
"""Number of processes whose sequence numbers are remembered."""


class AppliedSequences:
    """The highest applied sequence number of each writing process.

    Only the processes that wrote most recently are remembered: a repeated append
    follows the first one within seconds.
    """

    def __init__(self, highest: dict[str, int] | None = None) -> None:
        self._highest = dict(highest or {})

    def record_if_new(self, host: str, incarnation: str, sequence: int) -> bool:
        """Tell whether a record is new, and remember its sequence number.

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
