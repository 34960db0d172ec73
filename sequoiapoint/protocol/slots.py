"""Messages by which hosts share the batch slots of engines, and their codec.

A host asks the slot allocator of a zone for a slot at an engine, and releases the slot
when its request has ended.  The messages share a UDP port with the digests.
"""

import enum
from dataclasses import dataclass
from functools import singledispatch
from pathlib import Path
from typing import Any

import capnp

from sequoiapoint.protocol.gateway import Incarnation
from sequoiapoint.protocol.packed import DECODE_ERRORS, read_packed
from sequoiapoint.protocol.readers import UnionFields, read_fields, struct_fields

_SCHEMA = capnp.load(str(Path(__file__).with_name("slots.capnp")))
_MESSAGE = struct_fields(_SCHEMA.SlotMessage, "host", "number")
_KINDS = UnionFields(
    _SCHEMA.SlotMessage,
    {
        "request": ("candidates", "priority", "remainingMs", "goalMs", "organisation"),
        "reply": ("outcome", "server", "startedMs", "waitMs"),
        "release": (
            "server",
            "startedMs",
            "quality",
            "slownessPercent",
            "relativeTime",
        ),
    },
)
PREFIX = b"\xff"
"""First byte of a datagram with a slot message.  The packed form of a digest begins
with another byte, as its first word has zero bytes."""
MAX_PRIORITY = 255
"""The least urgent priority that a message can carry."""
MAX_PERCENT = 65_535
MAX_WAIT_MS = 3_600_000
NO_SERVER: Incarnation = ("", 0)


class SlotOutcome(enum.Enum):
    """What an allocator says to a request; the value is the name in the schema."""

    GRANTED = "granted"
    QUEUED = "queued"
    """All engines that could run the request are full; a grant may follow."""
    UNAVAILABLE = "unavailable"
    """The host is not the allocator of its zone, or not yet."""


class SlotQuality(enum.Enum):
    """How the engine ran the request; the value is the name in the schema."""

    ON_TIME = "onTime"
    LATE = "late"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    REJECTED = "rejected"
    """The engine turned the request away."""
    BROKEN = "broken"
    """The connection broke before a response."""
    UNUSED = "unused"
    """The request was not sent to the engine."""


@dataclass(frozen=True)
class SlotRequest:
    """A request for a slot.

    :param number: Identifies the request within the requesting host's process.
    :param candidates: Engines of the zone that can run it, as far as the host knows,
        those first to which it need not open a connection.
        Hosts learn of adapters that their requests wait for before the allocator does.
    :param priority: The priority of its route; 0 is the most urgent.
    :param remaining_s: Time until its caller's deadline, in seconds.
    :param goal_s: Time in which its first event is on time, in seconds; 0 if it is late
        already.
    :param organisation: The organisation for which it was admitted; "" for none.
    """

    host: str
    number: int
    candidates: tuple[str, ...]
    priority: int
    remaining_s: float
    goal_s: float
    organisation: str = ""


@dataclass(frozen=True)
class SlotReply:
    """An allocator's reply, or a later grant to a queued request.

    :param wait_s: The expected time until a queued request is granted a slot, in
        seconds; 0 if it is not known.
    """

    host: str
    number: int
    outcome: SlotOutcome
    engine: Incarnation = NO_SERVER
    wait_s: float = 0.0


@dataclass(frozen=True)
class SlotRelease:
    """The end of the use of a slot, or the withdrawal of a queued request.

    :param engine: The engine, ``NO_SERVER`` for a withdrawal.
    :param slowness: What the server stated with its response; None if nothing.
    :param relative_time: How long the work took, as a multiple of the time expected of
        the request; None if it is not known.
    """

    host: str
    number: int
    engine: Incarnation = NO_SERVER
    quality: SlotQuality = SlotQuality.UNUSED
    slowness: float | None = None
    relative_time: float | None = None


SlotMessage = SlotRequest | SlotReply | SlotRelease
_OUTCOMES = {outcome.value: outcome for outcome in SlotOutcome}
_QUALITIES = {quality.value: quality for quality in SlotQuality}


@singledispatch
def _fill(message: object, encoded: Any) -> None:
    """Set the fields of a message's group in the schema.

    Setting them one by one takes a tenth of the time of a new message from a dict.
    """
    raise TypeError(f"not a slot message: {type(message).__name__}")


@_fill.register
def _(message: SlotRequest, encoded: Any) -> None:
    group = encoded.init("request")
    group.candidates = list(message.candidates)
    group.priority = min(message.priority, MAX_PRIORITY)
    group.remainingMs = max(0, round(message.remaining_s * 1000))
    group.goalMs = max(0, round(message.goal_s * 1000))
    group.organisation = message.organisation


@_fill.register
def _(message: SlotReply, encoded: Any) -> None:
    group = encoded.init("reply")
    group.outcome = message.outcome.value
    group.server, group.startedMs = message.engine
    group.waitMs = min(MAX_WAIT_MS, round(message.wait_s * 1000))


@_fill.register
def _(message: SlotRelease, encoded: Any) -> None:
    group = encoded.init("release")
    group.server, group.startedMs = message.engine
    group.quality = message.quality.value
    group.slownessPercent = min(MAX_PERCENT, round(100 * (message.slowness or 0.0)))
    group.relativeTime = message.relative_time or 0.0


def encode_slot_message(message: SlotMessage) -> bytes:
    """Encode a message as a datagram."""
    encoded = _SCHEMA.SlotMessage.new_message()
    encoded.number, encoded.host = message.number, message.host
    _fill(message, encoded)
    return PREFIX + encoded.to_bytes_packed()


def decode_slot_message(data: bytes) -> SlotMessage:
    """Decode a datagram that begins with ``PREFIX``.

    :raises ValueError: The data is not a slot message.
    """
    try:
        message = read_packed(_SCHEMA.SlotMessage, data[len(PREFIX) :])
        host, number = read_fields(message, _MESSAGE)
        kind, values = _KINDS.read(message)
        if kind == "request":
            candidates, priority, remaining_ms, goal_ms, organisation = values
            return SlotRequest(
                host,
                number,
                tuple(candidates),
                priority,
                remaining_ms / 1000,
                goal_ms / 1000,
                organisation,
            )
        if kind == "reply":
            outcome, server, started_ms, wait_ms = values
            engine = (server, started_ms)
            return SlotReply(
                host, number, _OUTCOMES[str(outcome)], engine, wait_ms / 1000
            )
        server, started_ms, quality, slowness_percent, relative_time = values
        return SlotRelease(
            host,
            number,
            (server, started_ms),
            _QUALITIES[str(quality)],
            slowness_percent / 100 or None,
            relative_time or None,
        )
    except (*DECODE_ERRORS, ValueError) as error:
        raise ValueError(f"not a slot message: {error}") from error
