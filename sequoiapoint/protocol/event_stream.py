"""Splits an event stream that arrives in chunks of any size into complete events.

This code runs for every event of every stream, so it scans each byte only a few times
and parses nothing but the last event id.  The cost of an event is proportional to its
size, in however many chunks it arrives.
"""

import re

MAX_EVENT_BYTES = 1_048_576
"""Maximum size of an event; thousands of tokens."""
_EVENT_END = b"\n\n"
_ANY_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r|\r\n\n|\n\r\n")
_MAX_EVENT_END_BYTES = 4
_ID = re.compile(rb"(?:\A|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Returns complete events and buffers an incomplete one.

    :param last_id: The id of the event after which the stream resumes; "" if it starts
        at the first event.
    :ivar count: The number of events returned so far.
    """

    def __init__(self, last_id: str = "") -> None:
        self._partial = bytearray()
        self._events = b""
        self._last_id = last_id
        self.count = 0

    @property
    def has_partial(self) -> bool:
        """Tell whether bytes after the last returned event are buffered."""
        return bool(self._partial)

    @property
    def is_too_large(self) -> bool:
        """Tell whether the buffered event exceeds ``MAX_EVENT_BYTES``."""
        return len(self._partial) > MAX_EVENT_BYTES

    @property
    def last_id(self) -> str:
        """Return the id of the last returned event that has one, else the first id."""
        ids = _ID.findall(self._events)
        return ids[-1].decode("latin-1") if ids else self._last_id

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete."""
        partial = self._partial
        if not partial:
            end, count = _find_last_end(data)
            events = data[:end]
        else:
            # Only the new bytes can complete the end of an event.
            overlap = bytes(partial[1 - _MAX_EVENT_END_BYTES :])
            end, count = _find_last_end(overlap + data)
            if not end:
                partial += data
                return b""
            end -= len(overlap)
            events = bytes(partial) + data[:end]
            partial.clear()
        if end < len(data):
            partial += data[end:]
        self.count += count
        if events.startswith(b"id:") or b"id:" in events and _ID.search(events):
            self._events = events
        return events

    def drop_partial(self) -> None:
        """Discard the buffered bytes before the stream is resumed."""
        self._partial.clear()


def _find_last_end(data: bytes) -> tuple[int, int]:
    """Return the position after the last event that ends, and how many end.

    The position is 0 if none does.
    """
    if b"\r" in data:
        ends = [match.end() for match in _ANY_EVENT_END.finditer(data)]
        return (ends[-1] if ends else 0), len(ends)
    if data.endswith(_EVENT_END):
        end = len(data)
    else:
        end = data.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            return 0, 0
    return end, data.count(_EVENT_END, 0, end)
