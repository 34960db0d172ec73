"""Splits an event stream that arrives in chunks of any size into complete events.

This code runs for every event of every stream, so it scans each byte only a few times
and parses nothing but the last event id.  The cost of an event is proportional to its
size, in however many chunks it arrives.

Answers a faulty server that goes on without end after the last token, so that parsing
its events delays all other requests: a stream is limited by the tokens of its request.

A stream that goes on at another server must go on behind its last event: a server that
starts again, or that sends something else with a successful status, would be joined to
what the caller has already.
"""

import http
import re

from sequoiapoint.protocol.ports import Headers

MAX_EVENT_BYTES = 1_048_576
"""Maximum size of an event; thousands of tokens."""
MAX_STREAM_EVENTS = 131_072
"""Maximum number of events of a stream whose request states no number of tokens, or a
larger one."""
MAX_EXTRA_EVENTS = 256
"""Maximum number of comments and other events without tokens in a stream."""
MAX_MEAN_EVENT_BYTES = 16_384
"""Maximum mean size of the events of a stream, if it has as many as it may; one event
more may have the maximum size."""
_EVENT_END = b"\n\n"
_ANY_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r|\r\n\n|\n\r\n")
_MAX_EVENT_END_BYTES = 4
_ID = re.compile(rb"(?:\A|[\r\n])id: ?([^\r\n]*)")
_LINE_END = re.compile(rb"\r\n|\r|\n")
_NUMBER = re.compile("[0-9]+")
_MEDIA_TYPE = b"text/event-stream"


class EventSplitter:
    """Returns complete events and buffers an incomplete one.

    :param last_id: The id of the event after which the stream resumes; "" if it starts
        at the first event.
    :param max_tokens: The number of tokens that the stream may hold; an event holds one
        or more.  None if it is not known.
    :ivar count: The number of events returned so far.
    :ivar has_begun: Whether one of them was an event; comments count as well.
    :ivar is_resuming: Whether the stream is to go on behind an event, and no further
        one has arrived.
    :ivar is_out_of_order: Whether the server that was to go on with the stream has sent
        something that does not follow its last event; nothing of that is returned.
    :ivar is_too_long: Whether the server has sent more than a stream of so many tokens
        holds; nothing of what was received with the surplus is returned.
    """

    def __init__(self, last_id: str = "", max_tokens: int | None = None) -> None:
        max_events = min(max_tokens or MAX_STREAM_EVENTS, MAX_STREAM_EVENTS)
        self._max_events = max_events + MAX_EXTRA_EVENTS
        self._max_bytes = MAX_EVENT_BYTES + MAX_MEAN_EVENT_BYTES * self._max_events
        self._received_events = self._received_bytes = 0
        self._partial = bytearray()
        self._events = b""
        self._last_id = last_id
        self.count = 0
        self.has_begun = False
        self.is_out_of_order = False
        self.is_too_long = False
        self.is_resuming = bool(last_id)

    @property
    def must_end(self) -> bool:
        """Tell whether nothing more may be read from the server."""
        return self.is_too_large or self.is_too_long or self.is_out_of_order

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
        self._received_bytes += len(data)
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
        self._received_events += count
        if (
            self._received_events > self._max_events
            or self._received_bytes > self._max_bytes
        ):
            self.is_too_long = True
            partial.clear()
            return b""
        if self.is_resuming and events:
            self._check_first_event(events)
        if self.is_out_of_order:
            partial.clear()
            return b""
        self.count += count
        if events and not self.has_begun:
            self.has_begun, _ = _first_id(events)
        if events.startswith(b"id:") or b"id:" in events and _ID.search(events):
            self._events = events
        return events

    def drop_partial(self) -> None:
        """Discard the buffered bytes before the stream is resumed."""
        self._partial.clear()
        self._received_events = self._received_bytes = 0
        self.is_out_of_order = self.is_too_long = False
        self.is_resuming = bool(self.last_id)

    def _check_first_event(self, events: bytes) -> None:
        """Check that the first event of a resumed stream follows the last one."""
        has_fields, first_id = _first_id(events)
        if has_fields:
            self.is_resuming = False
            self.is_out_of_order = not _is_later(first_id, self.last_id)


def is_event_stream(status: int, headers: Headers) -> bool:
    """Tell whether a response is a stream of events; not all servers name its type.

    :param headers: Headers with names in lower case.
    """
    value = next((v for name, v in headers if name == b"content-type"), _MEDIA_TYPE)
    media_type = value.partition(b";")[0].strip().lower()
    return status == http.HTTPStatus.OK and media_type == _MEDIA_TYPE


def _first_id(events: bytes) -> tuple[bool, str]:
    """Return whether there is an event, and the id of the first one, "" for none.

    Comments are no events; a server may send some before the first event.
    """
    has_fields = False
    for line in _LINE_END.split(events):
        if not line and has_fields:
            break
        if line and not line.startswith(b":"):
            has_fields = True
            if line.startswith(b"id:"):
                return True, line.removeprefix(b"id:").strip().decode("latin-1")
    return has_fields, ""


def _is_later(event_id: str, last_id: str) -> bool:
    """Tell whether an event may follow another one; ids that are numbers increase."""
    if not _NUMBER.fullmatch(last_id):
        return bool(event_id) and event_id != last_id
    first, last = event_id.lstrip("0"), last_id.lstrip("0")
    return bool(_NUMBER.fullmatch(event_id)) and (len(first), first) > (len(last), last)


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
