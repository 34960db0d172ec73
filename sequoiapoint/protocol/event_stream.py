"""Whole events of an event stream, cut out of bytes that come in any pieces."""

import re
from collections.abc import Callable

_EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
    """Holds back the part of a stream that is not yet a whole event.

    :param event_id: Returns the id that a line sets, or None.
    :param last_id: The id after which the stream goes on, "" from its start.
    """

    def __init__(
        self, event_id: Callable[[bytes], str | None], last_id: str = ""
    ) -> None:
        self._event_id = event_id
        self._partial = b""
        self.last_id = last_id
        self.events = 0

    @property
    def has_partial(self) -> bool:
        """Tell whether bytes of an unfinished event are held back."""
        return bool(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Take in bytes and return all whole events that they complete."""
        data = self._partial + data if self._partial else data
        end = 0
        for match in _EVENT_END.finditer(data):
            event = data[end : match.start()]
            end = match.end()
            self.events += 1
            for line in event.splitlines():
                event_id = self._event_id(line)
                if event_id is not None:
                    self.last_id = event_id
        self._partial = data[end:]
        return data[:end]

    def drop_partial(self) -> None:
        """Forget the bytes of an unfinished event, before the stream goes on anew."""
        self._partial = b""
