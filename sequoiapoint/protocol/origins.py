"""Messages by which hosts remember which server began a stream, and their codec.

They share a UDP port with the digests.  Batches of origins are also the records in the
store, which outlive all hosts.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import singledispatch
from pathlib import Path
from typing import Any

import capnp

from sequoiapoint.protocol.gateway import Incarnation
from sequoiapoint.protocol.packed import DECODE_ERRORS, read_packed
from sequoiapoint.protocol.readers import UnionFields, read_fields, struct_fields

_SCHEMA = capnp.load(str(Path(__file__).with_name("origins.capnp")))
_STREAM = struct_fields(_SCHEMA.OriginMessage, "stream")
_BATCH_NAMES = ("groups", "writtenMs")
_BATCH = struct_fields(_SCHEMA.OriginBatch, *_BATCH_NAMES)
_KINDS = UnionFields(
    _SCHEMA.OriginMessage,
    {
        "record": ("origin",),
        "query": ("number",),
        "reply": ("number", "origin"),
        "batch": _BATCH_NAMES,
    },
)
_ORIGIN = struct_fields(
    _SCHEMA.Origin, "version", "server", "startedMs", "connectedAgeMs"
)
_GROUP = struct_fields(
    _SCHEMA.OriginGroup,
    *("version", "streams", "isCertain", "server", "startedMs", "connectedAgeMs"),
)
PREFIX = b"\xfd"
"""First byte of a datagram with such a message.  The packed form of a digest begins
with another byte, as its first word has zero bytes."""
MAX_AGE_MS = 2**32 - 1
"""The longest time that a message can carry."""
KEY_BYTES = 12
"""Size of a stream's key: with 96 bits, no two streams have the same one by chance."""
RECORD_FORMAT = b"\x01"
"""First byte of a record in the store.  Fields are added to the schema; only a change
that older builds would misread needs another number."""


@dataclass(frozen=True)
class Origin:
    """The server that has begun a stream.

    :param version: The version of its software, by the list of servers at that time.
    :param server: The process that was thought to be the server's.
    :param connected_age_s: The time since the connection to it was opened, in seconds.
    """

    version: str
    server: Incarnation
    connected_age_s: float


@dataclass(frozen=True)
class OriginRecord:
    """Asks a host to remember the origin of a stream.

    :param stream: The id of the caller's attempt that received the first event.
    """

    stream: str
    origin: Origin


@dataclass(frozen=True)
class OriginQuery:
    """Asks a host for the origin of a stream.

    :param number: Identifies the query within the asking host's process.
    """

    stream: str
    number: int


@dataclass(frozen=True)
class OriginReply:
    """The reply to a query of a host that knows the origin."""

    stream: str
    number: int
    origin: Origin


@dataclass(frozen=True)
class OriginGroup:
    """Streams that began at the same version.

    :param streams: Their keys (see ``stream_key``).
    :param server: The process that was thought to be the server's, None if the version
        is certain.
    :param connected_age_s: The time since the newest connection to that process was
        opened, in seconds.
    """

    version: str
    streams: tuple[bytes, ...]
    server: Incarnation | None = None
    connected_age_s: float = 0.0


@dataclass(frozen=True)
class OriginBatch:
    """Origins for the store, on their way to the host that writes them or in a record.

    :param written_ms: The writer's Unix time, in milliseconds; 0 in a message.
    """

    groups: tuple[OriginGroup, ...]
    written_ms: int = 0


@dataclass(frozen=True)
class VersionHistory:
    """Which services had one version alone, for as long as callers wait for a stream.

    :param position: The position in the topic of servers up to which this holds.
    :param versions: The version by service.
    """

    position: int
    versions: Mapping[str, str]


OriginMessage = OriginRecord | OriginQuery | OriginReply | OriginBatch


def stream_key(service: str, stream: str) -> bytes:
    """Return the key under which the store has a stream's origin.

    Callers choose the ids of streams, so the key is a cryptographic digest.

    :param stream: The id of the caller's attempt that received the first event.
    """
    text = f"{service}\0{stream}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


def _encode_age(seconds: float) -> int:
    return min(MAX_AGE_MS, max(0, round(1000 * seconds)))


def _fill_origin(origin: Origin, encoded: Any) -> None:
    encoded.version = origin.version
    encoded.server, encoded.startedMs = origin.server
    encoded.connectedAgeMs = _encode_age(origin.connected_age_s)


def _decode_origin(message: Any) -> Origin:
    version, server, started_ms, connected_age_ms = read_fields(message, _ORIGIN)
    return Origin(version, (server, started_ms), connected_age_ms / 1000)


def _fill_group(group: OriginGroup, encoded: Any) -> None:
    encoded.version = group.version
    encoded.streams = b"".join(group.streams)
    encoded.isCertain = group.server is None
    encoded.server, encoded.startedMs = group.server or ("", 0)
    encoded.connectedAgeMs = _encode_age(group.connected_age_s)


def _decode_group(group: Any) -> OriginGroup:
    version, keys, is_certain, name, started_ms, connected_age_ms = read_fields(
        group, _GROUP
    )
    if len(keys) % KEY_BYTES:
        raise ValueError(f"keys of streams have {len(keys)} bytes")
    streams = tuple(keys[i : i + KEY_BYTES] for i in range(0, len(keys), KEY_BYTES))
    if is_certain:
        return OriginGroup(version, streams)
    if not name:
        raise ValueError("the version is not certain, and no server is named")
    return OriginGroup(version, streams, (name, started_ms), connected_age_ms / 1000)


def _fill_batch(batch: OriginBatch, encoded: Any) -> None:
    encoded.writtenMs = batch.written_ms
    items = encoded.init("groups", len(batch.groups))
    for item, group in zip(items, batch.groups, strict=True):
        _fill_group(group, item)


def _decode_batch(values: Iterable[Any]) -> OriginBatch:
    groups, written_ms = values
    return OriginBatch(tuple(map(_decode_group, groups)), written_ms)


@singledispatch
def _fill(message: object, encoded: Any) -> None:
    """Set the fields of a message's group in the schema.

    Setting them one by one takes a third of the time of a new message from a dict.
    """
    raise TypeError(f"not a message about origins: {type(message).__name__}")


@_fill.register
def _(message: OriginRecord, encoded: Any) -> None:
    _fill_origin(message.origin, encoded.init("record").init("origin"))


@_fill.register
def _(message: OriginQuery, encoded: Any) -> None:
    encoded.init("query").number = message.number


@_fill.register
def _(message: OriginReply, encoded: Any) -> None:
    group = encoded.init("reply")
    group.number = message.number
    _fill_origin(message.origin, group.init("origin"))


@_fill.register
def _(message: OriginBatch, encoded: Any) -> None:
    _fill_batch(message, encoded.init("batch"))


def encode_origin_message(message: OriginMessage) -> bytes:
    """Encode a message as a datagram."""
    encoded = _SCHEMA.OriginMessage.new_message()
    encoded.stream = getattr(message, "stream", "")
    _fill(message, encoded)
    return PREFIX + encoded.to_bytes_packed()


def decode_origin_message(data: bytes) -> OriginMessage:
    """Decode a datagram that begins with ``PREFIX``.

    :raises ValueError: The data is not a message about origins.
    """
    try:
        message = read_packed(_SCHEMA.OriginMessage, data[len(PREFIX) :])
        (stream,) = read_fields(message, _STREAM)
        kind, values = _KINDS.read(message)
        if kind == "record":
            (origin,) = values
            return OriginRecord(stream, _decode_origin(origin))
        if kind == "query":
            return OriginQuery(stream, *values)
        if kind == "batch":
            return _decode_batch(values)
        number, origin = values
        return OriginReply(stream, number, _decode_origin(origin))
    except (*DECODE_ERRORS, ValueError) as error:
        raise ValueError(f"not a message about origins: {error}") from error


def encode_origin_record(batch: OriginBatch) -> bytes:
    """Encode a batch as a record of the store."""
    encoded = _SCHEMA.OriginBatch.new_message()
    _fill_batch(batch, encoded)
    return RECORD_FORMAT + encoded.to_bytes_packed()


def _record_content(data: bytes, kind: str) -> bytes:
    if data[:1] != RECORD_FORMAT:
        raise ValueError(f"format {data[:1]!r} of a record about {kind}")
    return data[1:]


def decode_origin_record(data: bytes) -> OriginBatch:
    """Decode a record of the store.

    :raises ValueError: The data is not such a record, or has another format.
    """
    content = _record_content(data, "origins")
    try:
        return _decode_batch(
            read_fields(read_packed(_SCHEMA.OriginBatch, content), _BATCH)
        )
    except (*DECODE_ERRORS, ValueError) as error:
        raise ValueError(f"not a record about origins: {error}") from error


def encode_version_history(history: VersionHistory) -> bytes:
    """Encode the record of the services with one version."""
    services = [
        {"service": service, "version": version}
        for service, version in history.versions.items()
    ]
    encoded = _SCHEMA.VersionHistory.new_message(
        position=history.position, services=services
    )
    return RECORD_FORMAT + encoded.to_bytes_packed()


def decode_version_history(data: bytes) -> VersionHistory:
    """Decode the record of the services with one version.

    :raises ValueError: The data is not such a record, or has another format.
    """
    content = _record_content(data, "versions")
    try:
        history = read_packed(_SCHEMA.VersionHistory, content)
        versions = {entry.service: entry.version for entry in history.services}
        return VersionHistory(history.position, versions)
    except (*DECODE_ERRORS, ValueError) as error:
        raise ValueError(f"not a record about versions: {error}") from error
