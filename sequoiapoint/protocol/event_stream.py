"""Splits an event stream that arrives in chunks of any size into complete events.

Events that end with two line feeds are the usual case.  Other line ends are supported
less precisely: events may be returned later, and the count of events may be too low.

This code runs for every event of every stream, so it scans each byte only a few times
and parses nothing but the last event id.
"""

import re

_EVENT_END = b"\n\n"
_OTHER_EVENT_END = re.compile(rb"\r\n\r\n|\r\r")
_ID = re.compile(rb"(?:\A|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Returns complete events and buffers an incomplete one.

    :param last_id: The id of the event after which the stream resumes; "" if it starts
        at the first event.
    :ivar count: The number of events returned so far.  It is exact only if all events
        end with two line feeds: each result of ``feed`` without such an event counts as
        one event, and other line ends in a result with such an event do not count.
    """

    def __init__(self, last_id: str = "") -> None:
        self._partial = b""
        self._events = b""
        self._last_id = last_id
        self.count = 0

    @property
    def has_partial(self) -> bool:
        """Tell whether bytes after the last returned event are buffered."""
        return bool(self._partial)

    @property
    def last_id(self) -> str:
        """Return the last event id in the latest events that contain "id:".

        Only the latest result of ``feed`` that contains "id:" at any place is searched.
        If none of its lines starts with "id:", or if there is no such result, the id
        given at the start is returned, even if earlier results had ids.
        """
        ids = _ID.findall(self._events)
        return ids[-1].decode("latin-1") if ids else self._last_id

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete.

        The result ends with the last event that ends with two line feeds.  If there is
        none, it ends with the last event that has other line ends.  So a complete event
        with other line ends that follows one with two line feeds stays buffered until a
        later call.
        """
        if self._partial:
            data = self._partial + data
        end = data.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            others = list(_OTHER_EVENT_END.finditer(data))
            end = others[-1].end() if others else 0
        self._partial = data[end:]
        if not end:
            return b""
        events = data[:end] if self._partial else data
        self.count += events.count(_EVENT_END) or 1
        if b"id:" in events:
            self._events = events
        return events

    def drop_partial(self) -> None:
        """Discard the buffered bytes before the stream is resumed."""
        self._partial = b""
