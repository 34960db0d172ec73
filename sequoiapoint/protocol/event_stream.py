"""Whole events of an event stream, cut out of bytes that come in any pieces.

This runs for every event of every stream, so that it looks at each byte at most a few
times and at no line but the last id.
"""

import re

_END = b"\n\n"
_OTHER_END = re.compile(rb"\r\n\r\n|\r\r")
_ID = re.compile(rb"(?:\A|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Holds back the part of a stream that is not yet a whole event.

    :param last_id: The id after which the stream goes on, "" from its start.
    """

    def __init__(self, last_id: str = "") -> None:
        self._partial = b""
        self._events = b""
        self._last_id = last_id
        self.count = 0

    @property
    def has_partial(self) -> bool:
        """Tell whether bytes of an unfinished event are held back."""
        return bool(self._partial)

    @property
    def last_id(self) -> str:
        """Return the id of the last whole event."""
        ids = _ID.findall(self._events)
        return ids[-1].decode("latin-1") if ids else self._last_id

    def feed(self, data: bytes) -> bytes:
        """Take in bytes and return all whole events that they complete."""
        if self._partial:
            data = self._partial + data
        end = data.rfind(_END) + len(_END)
        if end < len(_END):
            others = list(_OTHER_END.finditer(data))
            end = others[-1].end() if others else 0
        self._partial = data[end:]
        if not end:
            return b""
        events = data[:end] if self._partial else data
        self.count += events.count(_END) or 1
        if b"id:" in events:
            self._events = events
        return events

    def drop_partial(self) -> None:
        """Forget the bytes of an unfinished event, before the stream goes on anew."""
        self._partial = b""
