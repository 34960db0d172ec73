"""Records of the platform's log and their codec.

One append contains a batch of envelopes.  An envelope carries the writing process and a
sequence number, so that a batch that was appended twice is applied only once.
"""

import json
from dataclasses import asdict, dataclass
from typing import Annotated, Any, Literal

import pydantic

CONTROL_STREAM = "control"
MAX_BATCH_RECORDS = 256
"""Maximum records in one append; also the distance between appends in positions."""


def keys_stream(zone: str) -> str:
    """Return the name of the stream of a zone's idempotency keys."""
    return f"keys.{zone}"


@dataclass(frozen=True)
class DocumentSubmitted:
    """An operator submitted a document.

    :param base: The version on which the document is based.
    :param submission: A unique id, used to recognise a repeated submission.
    """

    base: int
    document: dict[str, Any]
    operator: str
    submission: str
    kind: Literal["document_submitted"] = "document_submitted"


@dataclass(frozen=True)
class OwnerClaimed:
    """A host claimed ownership of a zone's backend servers.

    :param base: The position of the claim that this one replaces; 0 for the first.
    """

    zone: str
    base: int
    kind: Literal["owner_claimed"] = "owner_claimed"


@dataclass(frozen=True)
class ServerSeen:
    """The owner reached a new incarnation of a server, or a server after an outage."""

    zone: str
    claim: int
    server: str
    incarnation: str
    kind: Literal["server_seen"] = "server_seen"


@dataclass(frozen=True)
class ServerDown:
    """The owner cannot reach a backend server; its copies keep their reservations."""

    zone: str
    claim: int
    server: str
    kind: Literal["server_down"] = "server_down"


@dataclass(frozen=True)
class LoadReserved:
    """Memory was reserved for one load order.

    :param claim: The position of the owner's claim.
    :param incarnation: The server incarnation to which the order applies.
    :param holding: A unique id of this copy.
    :param mb: The reserved memory, in megabytes.
    :param limit_mb: The usable memory of the server, in megabytes.
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
    """The load order for a reserved copy is sent again.

    From then on, the copy is treated as one that may reappear after an unload.
    """

    zone: str
    claim: int
    holding: str
    kind: Literal["load_resent"] = "load_resent"


@dataclass(frozen=True)
class HoldingResident:
    """A report showed that a copy is resident.

    :param report: The sequence number of the report.
    """

    zone: str
    claim: int
    holding: str
    report: int
    kind: Literal["holding_resident"] = "holding_resident"


@dataclass(frozen=True)
class UnloadStarted:
    """A copy will be unloaded and receives no new requests."""

    zone: str
    claim: int
    holding: str
    kind: Literal["unload_started"] = "unload_started"


@dataclass(frozen=True)
class UnloadCancelled:
    """A copy is used again, because its replacement was lost."""

    zone: str
    claim: int
    holding: str
    kind: Literal["unload_cancelled"] = "unload_cancelled"


@dataclass(frozen=True)
class HoldingAbsent:
    """A copy is known not to be in memory.

    :param proof: The evidence: refused, fenced, unloaded or vanished.
    """

    zone: str
    claim: int
    holding: str
    proof: str
    kind: Literal["holding_absent"] = "holding_absent"


@dataclass(frozen=True)
class FenceRaised:
    """The owner requires a higher fencing token for a server."""

    zone: str
    claim: int
    server: str
    kind: Literal["fence_raised"] = "fence_raised"


@dataclass(frozen=True)
class KeyClaimed:
    """A host claimed the right to run the request of an idempotency key.

    :param host: The claiming host; another host may append the record for it.
    :param incarnation: The claiming process.
    :param expires_at_ms: The Unix time at which the key expires, in milliseconds.
    :param claimed_at_ms: The Unix time of the claim, in milliseconds.
    :param body_hash: A hash that distinguishes different requests with the same key.
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
    :param answer: The response body in base64; empty if it is too large to store.
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
    """The state of a stream after all records below a position.

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
    """A record and the process that wrote it.

    :param sequence: The number of the record among those of the process in the stream,
        from 1.
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
    """Decode the envelopes of one append; return an empty list for invalid data.

    Other programs may write to the same log service by mistake, and one invalid record
    must not stop every host.
    """
    try:
        return _BATCH.validate_json(data)
    except pydantic.ValidationError:
        return []


def record_position(offset: int, index: int) -> int:
    """Return the position of a record, which orders all records of a stream.

    Positions are greater than 0, so that 0 can mean "none yet".

    :param offset: The offset of the append.
    :param index: The record's index in the append.
    """
    return (offset + 1) * MAX_BATCH_RECORDS + index
