"""Messages by which hosts share the allowances of organisations, and their codec.

A host asks the allowance allocator of an organisation for the cost of requests that it
is about to admit.  The messages share a UDP port with the digests.
"""

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass
from functools import singledispatch
from pathlib import Path
from typing import Any

import capnp

from sequoiapoint.protocol.packed import DECODE_ERRORS, read_packed
from sequoiapoint.protocol.readers import UnionFields, read_fields, struct_fields

_SCHEMA = capnp.load(str(Path(__file__).with_name("allowances.capnp")))
_MESSAGE = struct_fields(_SCHEMA.AllowanceMessage, "host", "number")
_KINDS = UnionFields(
    _SCHEMA.AllowanceMessage,
    {
        "request": (
            "organisation",
            "version",
            "ratePerS",
            "burst",
            "charges",
            "left",
            "ahead",
            "returned",
        ),
        "reply": ("outcome", "waitsMs", "credit", "denyMs", "waitMs", "due"),
    },
)
_CHARGE = struct_fields(_SCHEMA.Charge, "cost", "caller", "maxWaitMs")
PREFIX = b"\xfa"
"""First byte of a datagram with an allowance message, unlike that of any other kind."""
MAX_WAIT_MS = 2**32 - 1
"""The longest time that a message can carry."""
MAX_CHARGES = 40
"""Maximum number of charges in a request: it then fits into one Ethernet frame."""


class AllowanceOutcome(enum.Enum):
    """What a host says to a request; the value is the name in the schema."""

    DECIDED = "decided"
    UNAVAILABLE = "unavailable"
    """The host does not allocate the organisation's allowance."""


@dataclass(frozen=True)
class Charge:
    """The cost of one request of a caller.

    :param cost: Units of the allowance.
    :param caller: Identifies the caller's request, and the same request when its caller
        sends it again.
    :param max_wait_s: The longest time after which the caller can come back, in
        seconds; 0 to reserve nothing for it.
    """

    cost: float
    caller: int = 0
    max_wait_s: float = 0.0


@dataclass(frozen=True)
class AllowanceRequest:
    """A request to charge an organisation.

    :param number: Identifies the message within the requesting host's process; the
        same in both of them if a message is sent a second time.
    :param version: The version of the configuration that states rate and burst.
    :param left: The credit that the host keeps, in units.
    :param ahead: The credit that it would like to hold for requests to come.
    :param returned: Credit and refunds that it gives back.
    """

    host: str
    number: int
    organisation: str
    version: int
    rate_per_s: float
    burst: float
    charges: tuple[Charge, ...] = ()
    left: float = 0.0
    ahead: float = 0.0
    returned: float = 0.0


@dataclass(frozen=True)
class AllowanceReply:
    """An allocator's reply.

    :param waits_s: For each charge 0.0 if it is granted, else the time after which the
        caller should come back, in seconds.
    :param credit: Further units that are granted for requests to come.
    :param deny_s: The time for which the host need not ask again, in seconds.
    :param wait_s: The time that callers are told whom the host denies meanwhile.
    :param due: The marks of callers that come back meanwhile and are to be asked for.
    """

    host: str
    number: int
    outcome: AllowanceOutcome = AllowanceOutcome.DECIDED
    waits_s: tuple[float, ...] = ()
    credit: float = 0.0
    deny_s: float = 0.0
    wait_s: float = 0.0
    due: tuple[int, ...] = ()


AllowanceMessage = AllowanceRequest | AllowanceReply
_OUTCOMES = {outcome.value: outcome for outcome in AllowanceOutcome}


def caller_mark(caller: int) -> int:
    """Return the short form of a caller's number in lists of those that are due.

    Two callers with the same mark cost one further message.
    """
    return caller & 0xFFFFFFFF


@singledispatch
def _fill(message: object, encoded: Any) -> None:
    """Set the fields of a message's group in the schema.

    Setting them one by one takes a third of the time of a new message from a dict.
    """
    raise TypeError(f"not an allowance message: {type(message).__name__}")


@_fill.register
def _(message: AllowanceRequest, encoded: Any) -> None:
    group = encoded.init("request")
    group.organisation, group.version = message.organisation, message.version
    group.ratePerS, group.burst = message.rate_per_s, message.burst
    charges = group.init("charges", len(message.charges))
    for item, charge in zip(charges, message.charges, strict=True):
        item.cost, item.caller = charge.cost, charge.caller
        item.maxWaitMs = _encode_seconds(charge.max_wait_s)
    group.left, group.ahead = message.left, message.ahead
    group.returned = message.returned


@_fill.register
def _(message: AllowanceReply, encoded: Any) -> None:
    group = encoded.init("reply")
    group.outcome = message.outcome.value
    group.waitsMs = [_encode_seconds(wait_s) for wait_s in message.waits_s]
    group.credit = message.credit
    group.denyMs = _encode_seconds(message.deny_s)
    group.waitMs = _encode_seconds(message.wait_s)
    group.due = list(message.due)


def _encode_seconds(seconds: float) -> int:
    """Encode a time; one above zero does not become zero."""
    return min(MAX_WAIT_MS, max(int(seconds > 0.0), round(seconds * 1000)))


def encode_allowance_message(message: AllowanceMessage) -> bytes:
    """Encode a message as a datagram."""
    encoded = _SCHEMA.AllowanceMessage.new_message()
    encoded.number, encoded.host = message.number, message.host
    _fill(message, encoded)
    return PREFIX + encoded.to_bytes_packed()


def _require_units(values: Iterable[float]) -> None:
    """Check numbers of units, which are added to what all requests share.

    :raises ValueError: One of them is negative, infinite or not a number.
    """
    if not all(0.0 <= value < math.inf for value in values):
        raise ValueError("not an allowance message: units out of range")


def _decode_charge(message: Any) -> Charge:
    cost, caller, max_wait_ms = read_fields(message, _CHARGE)
    return Charge(cost, caller, max_wait_ms / 1000)


def decode_allowance_message(data: bytes) -> AllowanceMessage:
    """Decode a datagram that begins with ``PREFIX``.

    :raises ValueError: The data is not an allowance message.
    """
    try:
        message = read_packed(_SCHEMA.AllowanceMessage, data[len(PREFIX) :])
        host, number = read_fields(message, _MESSAGE)
        kind, values = _KINDS.read(message)
        if kind == "request":
            organisation, version, rate_per_s, burst, encoded, *credits = values
            left, ahead, returned = credits
            charges = tuple(_decode_charge(charge) for charge in encoded)
            _require_units((rate_per_s, burst, left, ahead, returned))
            _require_units(charge.cost for charge in charges)
            return AllowanceRequest(
                host,
                number,
                organisation,
                version,
                rate_per_s,
                burst,
                charges,
                left,
                ahead,
                returned,
            )
        outcome, waits_ms, credit, deny_ms, wait_ms, due = values
        _require_units((credit,))
        return AllowanceReply(
            host,
            number,
            _OUTCOMES[str(outcome)],
            tuple(each_ms / 1000 for each_ms in waits_ms),
            credit,
            deny_ms / 1000,
            wait_ms / 1000,
            tuple(due),
        )
    except (*DECODE_ERRORS, ValueError) as error:
        raise ValueError(f"not an allowance message: {error}") from error
