"""The origins of streams that a host remembers, for itself and for other hosts."""

from dataclasses import dataclass

from sequoiapoint.protocol.gateway import Incarnation

RETENTION_S = 60.0
"""Time for which an origin is remembered: longer than callers wait for a stream, over
all their attempts."""
REGISTRATION_S = 0.5
"""Time within which a server that has started to accept connections is registered in
the store."""
VERSION_HISTORY_S = 30.0
"""Time for which a single version must have served alone for streams of unknown origin
to go on: longer than callers wait for a stream."""
MAX_ORIGINS = 16_384
"""Number of origins that are remembered, those recorded last; 8 MB."""


@dataclass(frozen=True)
class StreamOrigin:
    """The server that has begun a stream.

    :param version: The version of its software, by the list of servers at that time.
    :param server: The process that was thought to be the server's.
    :param connected_at: When the connection to it was opened, in seconds.
    """

    version: str
    server: Incarnation
    connected_at: float


class StreamOrigins:
    """The remembered origins by stream."""

    def __init__(self) -> None:
        self._origins: dict[str, tuple[float, StreamOrigin]] = {}

    def __len__(self) -> int:
        """Return the number of remembered origins."""
        return len(self._origins)

    def put(self, stream: str, origin: StreamOrigin, now: float) -> None:
        """Remember the origin of a stream; the first one recorded stays.

        :param stream: The id of the caller's attempt that received the first event.
        """
        known = self._origins.pop(stream, None)
        self._origins[stream] = (now, origin if known is None else known[1])
        while self._origins:
            oldest = next(iter(self._origins))
            is_expired = now - self._origins[oldest][0] > RETENTION_S
            if not is_expired and len(self._origins) <= MAX_ORIGINS:
                break
            del self._origins[oldest]

    def get(self, stream: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        recorded_at, origin = self._origins.get(stream, (now, None))
        return None if now - recorded_at > RETENTION_S else origin
