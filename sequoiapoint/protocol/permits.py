"""Messages by which hosts share the request limits of servers, and their codec.

A host asks the permit allocator of a server for each request that it is about to send
there.  The messages share a UDP port with the digests.
"""

import enum
from dataclasses import dataclass
from functools import singledispatch
from pathlib import Path
from typing import Any

import capnp

from sequoiapoint.protocol.digests import checked_rate
from sequoiapoint.protocol.gateway import Incarnation
from sequoiapoint.protocol.packed import DECODE_ERRORS, read_packed
from sequoiapoint.protocol.readers import UnionFields, read_fields, struct_fields

_SCHEMA = capnp.load(str(Path(__file__).with_name("permits.capnp")))
_MESSAGE = struct_fields(_SCHEMA.PermitMessage, "host", "number")
_KINDS = UnionFields(
    _SCHEMA.PermitMessage,
    {
        "request": (
            "server",
            "startedMs",
            "zone",
            "caller",
            "maxWaitMs",
            "limitPerS",
            "limitAgeMs",
        ),
        "reply": ("outcome", "waitMs", "isReserved"),
    },
)
PREFIX = b"\xfe"
"""First byte of a datagram with a permit message.  The packed form of a digest begins
with another byte, as its first word has zero bytes."""
MAX_WAIT_MS = 2**32 - 1
"""The longest time that a message can carry."""


class PermitOutcome(enum.Enum):
    """What an allocator says to a request; the value is the name in the schema."""

    GRANTED = "granted"
    DENIED = "denied"
    """The server gets as many requests as it takes."""
    UNAVAILABLE = "unavailable"
    """The host does not allocate the permits of that server."""


@dataclass(frozen=True)
class PermitRequest:
    """A request for a permit to send one request to a server.

    :param number: Identifies the message within the requesting host's process.
    :param zone: The server's availability zone.
    :param caller: Identifies the caller's request, and the same request when its caller
        sends it again.
    :param max_wait_s: The longest time after which the caller can come back, in
        seconds; 0 to reserve no permit for it.
    :param limit_per_s: The server's limit as the host knows it, in requests a second.
    :param limit_age_s: The time since a response has named it, in seconds.
    """

    host: str
    number: int
    server: Incarnation
    zone: str
    caller: int
    max_wait_s: float
    limit_per_s: float
    limit_age_s: float


@dataclass(frozen=True)
class PermitReply:
    """An allocator's reply.

    :param wait_s: After a denial, the time until a permit will be available, in
        seconds.
    :param is_reserved: Whether that permit is reserved for the caller.
    """

    host: str
    number: int
    outcome: PermitOutcome
    wait_s: float = 0.0
    is_reserved: bool = False


PermitMessage = PermitRequest | PermitReply
_OUTCOMES = {outcome.value: outcome for outcome in PermitOutcome}


@singledispatch
def _fill(message: object, encoded: Any) -> None:
    """Set the fields of a message's group in the schema.

    Setting them one by one takes a third of the time of a new message from a dict.
    """
    raise TypeError(f"not a permit message: {type(message).__name__}")


@_fill.register
def _(message: PermitRequest, encoded: Any) -> None:
    group = encoded.init("request")
    group.server, group.startedMs = message.server
    group.zone, group.caller = message.zone, message.caller
    group.maxWaitMs = _encode_seconds(message.max_wait_s)
    group.limitPerS = message.limit_per_s
    group.limitAgeMs = _encode_seconds(message.limit_age_s)


@_fill.register
def _(message: PermitReply, encoded: Any) -> None:
    group = encoded.init("reply")
    group.outcome = message.outcome.value
    group.waitMs = _encode_seconds(message.wait_s)
    group.isReserved = message.is_reserved


def _encode_seconds(seconds: float) -> int:
    return min(MAX_WAIT_MS, max(0, round(seconds * 1000)))


def encode_permit_message(message: PermitMessage) -> bytes:
    """Encode a message as a datagram."""
    encoded = _SCHEMA.PermitMessage.new_message()
    encoded.number, encoded.host = message.number, message.host
    _fill(message, encoded)
    return PREFIX + encoded.to_bytes_packed()


def decode_permit_message(data: bytes) -> PermitMessage:
    """Decode a datagram that begins with ``PREFIX``.

    :raises ValueError: The data is not a permit message.
    """
    try:
        message = read_packed(_SCHEMA.PermitMessage, data[len(PREFIX) :])
        host, number = read_fields(message, _MESSAGE)
        kind, values = _KINDS.read(message)
        if kind == "request":
            server, started_ms, zone, caller, max_wait_ms, per_s, age_ms = values
            return PermitRequest(
                host,
                number,
                (server, started_ms),
                zone,
                caller,
                max_wait_ms / 1000,
                checked_rate(per_s),
                age_ms / 1000,
            )
        outcome, wait_ms, is_reserved = values
        return PermitReply(
            host, number, _OUTCOMES[str(outcome)], wait_ms / 1000, is_reserved
        )
    except (*DECODE_ERRORS, ValueError) as error:
        raise ValueError(f"not a permit message: {error}") from error
