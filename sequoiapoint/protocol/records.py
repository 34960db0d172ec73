"""Records of the platform's log and their codec.

One append carries a batch of envelopes.  An envelope names the process that wrote it
and a sequence number, so that a batch that was appended twice is applied once.
"""

import json
from dataclasses import asdict, dataclass
from typing import Annotated, Any, Literal

import pydantic

CONTROL_STREAM = "control"
MAX_BATCH_RECORDS = 256
"""The most records in one append, which also spaces positions of appends."""


def keys_stream(zone: str) -> str:
    """Return the name of the stream of a zone's idempotency keys."""
    return f"keys.{zone}"


@dataclass(frozen=True)
class DocumentSubmitted:
    """An operator submitted a document.

    :param base: The version that the document was written against.
    :param submission: A unique id, so that a resent submission is recognised.
    """

    base: int
    document: dict[str, Any]
    operator: str
    submission: str
    kind: Literal["document_submitted"] = "document_submitted"


@dataclass(frozen=True)
class OwnerClaimed:
    """A host claims the backend servers of a zone.

    :param base: The position of the claim that this one replaces, 0 for the first.
    """

    zone: str
    base: int
    kind: Literal["owner_claimed"] = "owner_claimed"


@dataclass(frozen=True)
class ServerSeen:
    """The owner saw a backend server in a new incarnation, or back again."""

    zone: str
    claim: int
    server: str
    incarnation: str
    kind: Literal["server_seen"] = "server_seen"


@dataclass(frozen=True)
class ServerDown:
    """The owner cannot reach a backend server; its memory stays counted."""

    zone: str
    claim: int
    server: str
    kind: Literal["server_down"] = "server_down"


@dataclass(frozen=True)
class LoadReserved:
    """Memory is reserved for one load order.

    :param claim: The position of the owner's claim.
    :param incarnation: The server's incarnation that the order is meant for.
    :param holding: A unique id of this copy.
    :param limit_mb: The server's memory that may be used, in megabytes.
    """

    zone: str
    claim: int
    server: str
    incarnation: str
    holding: str
    artifact: str
    mb: int
    limit_mb: int
    kind: Literal["load_reserved"] = "load_reserved"


@dataclass(frozen=True)
class LoadResent:
    """The order for a reserved copy is sent once more.

    From here on the copy counts as one that may come back after an unload.
    """

    zone: str
    claim: int
    holding: str
    kind: Literal["load_resent"] = "load_resent"


@dataclass(frozen=True)
class HoldingResident:
    """A report shows a copy resident.

    :param report: The sequence number of the report.
    """

    zone: str
    claim: int
    holding: str
    report: int
    kind: Literal["holding_resident"] = "holding_resident"


@dataclass(frozen=True)
class UnloadStarted:
    """A copy will be unloaded and takes no new work."""

    zone: str
    claim: int
    holding: str
    kind: Literal["unload_started"] = "unload_started"


@dataclass(frozen=True)
class UnloadCancelled:
    """A copy is used again, because the one that replaced it was lost."""

    zone: str
    claim: int
    holding: str
    kind: Literal["unload_cancelled"] = "unload_cancelled"


@dataclass(frozen=True)
class HoldingAbsent:
    """It is proved that a copy is not in memory.

    :param proof: Why: refused, fenced, unloaded or vanished.
    """

    zone: str
    claim: int
    holding: str
    proof: str
    kind: Literal["holding_absent"] = "holding_absent"


@dataclass(frozen=True)
class FenceRaised:
    """The owner needs a newer fencing number for a server."""

    zone: str
    claim: int
    server: str
    kind: Literal["fence_raised"] = "fence_raised"


@dataclass(frozen=True)
class KeyClaimed:
    """A host asks to run the request of an idempotency key.

    :param host: The host that asks, which need not be the one that appends.
    :param incarnation: The asking process.
    :param expires_at_ms: When the key may be forgotten, in milliseconds since 1970.
    :param claimed_at_ms: When the claim was made, in milliseconds since 1970.
    :param body_hash: Tells two different requests with one key apart.
    :param nonce: A unique id of this claim.
    """

    key: str
    host: str
    incarnation: str
    expires_at_ms: int
    claimed_at_ms: int
    body_hash: str
    nonce: str
    kind: Literal["key_claimed"] = "key_claimed"


@dataclass(frozen=True)
class KeySettled:
    """The outcome of a claimed request.

    :param fate: One of done, failed, unknown and not_run.
    :param answer: The answer's body in base64, empty where it is too large to keep.
    """

    key: str
    nonce: str
    fate: Literal["done", "failed", "unknown", "not_run"]
    status: int = 0
    content_type: str = ""
    answer: str = ""
    kind: Literal["key_settled"] = "key_settled"


@dataclass(frozen=True)
class Snapshot:
    """The state of a stream after every record below a position.

    :param next_offset: The first offset that the state does not include.
    """

    next_offset: int
    state: dict[str, Any]
    kind: Literal["snapshot"] = "snapshot"


Record = (
    DocumentSubmitted
    | OwnerClaimed
    | ServerSeen
    | ServerDown
    | LoadReserved
    | LoadResent
    | HoldingResident
    | UnloadStarted
    | UnloadCancelled
    | HoldingAbsent
    | FenceRaised
    | KeyClaimed
    | KeySettled
    | Snapshot
)


@dataclass(frozen=True)
class Envelope:
    """A record and who wrote it.

    :param sequence: Counts the records of one process in one stream, from 1.
    """

    host: str
    incarnation: str
    sequence: int
    record: Annotated[Record, pydantic.Field(discriminator="kind")]


_BATCH = pydantic.TypeAdapter(list[Envelope])


def encode_batch(envelopes: list[Envelope]) -> bytes:
    """Encode the envelopes of one append."""
    batch = [asdict(envelope) for envelope in envelopes]
    return json.dumps(batch, separators=(",", ":")).encode()


def decode_batch(data: str) -> list[Envelope]:
    """Decode the envelopes of one append; unreadable data gives none.

    Other programs may write to the same log service by mistake, and one bad record
    must not stop every host.
    """
    try:
        return _BATCH.validate_json(data)
    except pydantic.ValidationError:
        return []


def record_position(offset: int, index: int) -> int:
    """Return the position of a record, which orders all records of a stream.

    Positions start above 0, so that 0 can stand for "none yet".

    :param offset: The offset of the append.
    :param index: The record's place within the append.
    """
    return (offset + 1) * MAX_BATCH_RECORDS + index
