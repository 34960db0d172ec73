"""Messages by which hosts ask each other for the age of the configuration; their codec.

They share a UDP port with the digests.
"""

import math
from dataclasses import dataclass
from functools import singledispatch
from pathlib import Path
from typing import Any

import capnp

from sequoiapoint.protocol.packed import DECODE_ERRORS, read_packed
from sequoiapoint.protocol.readers import UnionFields, read_fields, struct_fields

_SCHEMA = capnp.load(str(Path(__file__).with_name("configuration_age.capnp")))
_NUMBER = struct_fields(_SCHEMA.ConfigurationAgeMessage, "number")
_KINDS = UnionFields(
    _SCHEMA.ConfigurationAgeMessage,
    {
        "question": ("host",),
        "reply": ("version", "ageMs"),
        "notice": ("sender", "noticeAgeMs"),
    },
)
PREFIX = b"\xfb"
"""First byte of a datagram with such a message.  The packed form of a digest begins
with another byte, as its first word has zero bytes."""
NUMBER_BITS = 64
"""Length of the number of a question."""
MAX_AGE_MS = 2**32 - 1
"""The longest time that a message can carry."""
MAX_VERSION = 2**63 - 1
"""The highest version of a configuration that a message can carry."""


@dataclass(frozen=True)
class AgeQuestion:
    """Asks a host for the age of its configuration.

    :param number: Random, so that the reply to a question of an earlier process of the
        asking host is not taken for the reply to a later one.
    :param host: The asking host.
    """

    number: int
    host: str


@dataclass(frozen=True)
class AgeReply:
    """The reply to a question.

    :param number: The number of the question.
    :param version: The version of the configuration in force at the replying host.
    :param age_s: Time before the reply until which no newer version was acknowledged.
    """

    number: int
    version: int
    age_s: float


@dataclass(frozen=True)
class AgeNotice:
    """Tells a host that the sender has newer evidence, and that it should ask.

    It is no evidence, as it may have waited at a suspended receiver.

    :param host: The sender.
    :param age_s: As in a reply.
    """

    host: str
    age_s: float


AgeMessage = AgeQuestion | AgeReply | AgeNotice


def _age_ms(age_s: float) -> int:
    """Return an age in milliseconds, rounded up: it must not appear younger."""
    return min(MAX_AGE_MS, max(0, math.ceil(1000 * age_s)))


@singledispatch
def _fill(message: object, encoded: Any) -> None:
    """Set the fields of a message in the schema.

    Setting them one by one takes a third of the time of a new message from a dict.
    """
    raise TypeError(f"not a message about ages: {type(message).__name__}")


@_fill.register
def _(message: AgeQuestion, encoded: Any) -> None:
    encoded.number = message.number
    encoded.init("question").host = message.host


@_fill.register
def _(message: AgeReply, encoded: Any) -> None:
    encoded.number = message.number
    group = encoded.init("reply")
    group.version, group.ageMs = message.version, _age_ms(message.age_s)


@_fill.register
def _(message: AgeNotice, encoded: Any) -> None:
    group = encoded.init("notice")
    group.sender, group.noticeAgeMs = message.host, _age_ms(message.age_s)


def encode_age_message(message: AgeMessage) -> bytes:
    """Encode a message as a datagram."""
    encoded = _SCHEMA.ConfigurationAgeMessage.new_message()
    _fill(message, encoded)
    return PREFIX + encoded.to_bytes_packed()


def decode_age_message(data: bytes) -> AgeMessage:
    """Decode a datagram that begins with ``PREFIX``.

    :raises ValueError: The data is not a message about ages.
    """
    try:
        message = read_packed(_SCHEMA.ConfigurationAgeMessage, data[len(PREFIX) :])
        kind, values = _KINDS.read(message)
        if kind == "question":
            return AgeQuestion(*read_fields(message, _NUMBER), *values)
        if kind == "reply":
            version, age_ms = values
            return AgeReply(*read_fields(message, _NUMBER), version, age_ms / 1000)
        sender, age_ms = values
        return AgeNotice(sender, age_ms / 1000)
    except (*DECODE_ERRORS, ValueError) as error:
        raise ValueError(f"not a message about ages: {error}") from error
