"""Codec of the messages between entry hosts."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from sequoiapoint.protocol.member import Member
from sequoiapoint.protocol.packed import DECODE_ERRORS, read_packed

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("peers.capnp")))
MAX_CALL_WORDS = 2**26
"""Maximum size of a call or a reply, in words."""


@dataclass(frozen=True)
class Gossip:
    """A gossip message: state that hosts push to each other.

    :param loads: The number of requests at each reported backend server.
    :param leaving: Backend servers that are shutting down.
    :param suspicions: Request fingerprints with the server processes that crashed while
        running them.
    """

    members: tuple[Member, ...] = ()
    loads: tuple[tuple[str, int], ...] = ()
    leaving: tuple[str, ...] = ()
    suspicions: tuple[tuple[str, frozenset[str]], ...] = ()


@dataclass(frozen=True)
class StateCall:
    """A request for the state of a stream."""

    stream: str


@dataclass(frozen=True)
class ClaimCall:
    """A request to append a key record and to reply once it is read back.

    :param record: The record as JSON.
    """

    stream: str
    record: dict[str, Any]
    timeout_ms: int


@dataclass(frozen=True)
class ProbeCall:
    """A request to acquire or release a probe slot of a backend server.

    Only the holder of the slot may run a suspected request on that server.
    """

    server: str
    holder: str
    is_release: bool


Call = StateCall | ClaimCall | ProbeCall


@dataclass(frozen=True)
class Reply:
    """The reply to a call.

    :param reason: Why the call failed; empty on success.
    :param data: A JSON value, or None.
    """

    is_ok: bool
    reason: str = ""
    data: Any = None


class BadMessageError(ValueError):
    """Bytes that do not decode to a message between hosts."""


def encode_gossip(gossip: Gossip) -> bytes:
    """Encode a gossip message as packed bytes."""
    message = _SCHEMA.Gossip.new_message(
        members=[_encode_member(m) for m in gossip.members],
        loads=[{"server": s, "load": load} for s, load in gossip.loads],
        leaving=list(gossip.leaving),
        suspicions=[
            {"fingerprint": f, "deaths": sorted(deaths)}
            for f, deaths in gossip.suspicions
        ],
    )
    return message.to_bytes_packed()


def decode_gossip(data: bytes) -> Gossip:
    """Decode a gossip message.

    :raises BadMessageError: The bytes are not a gossip message.
    """
    try:
        message = read_packed(_SCHEMA.Gossip, data)
        return Gossip(
            members=tuple(_decode_member(m) for m in message.members),
            loads=tuple((entry.server, entry.load) for entry in message.loads),
            leaving=tuple(message.leaving),
            suspicions=tuple(
                (s.fingerprint, frozenset(s.deaths)) for s in message.suspicions
            ),
        )
    except (*DECODE_ERRORS, ValueError) as error:
        raise BadMessageError(str(error)) from error


def _encode_member(member: Member) -> dict[str, Any]:
    return {
        "host": member.host,
        "incarnation": member.incarnation,
        "heartbeat": member.heartbeat,
        "zone": member.zone,
        "address": member.address,
        "peerAddress": member.peer_address,
        "isLeaving": member.is_leaving,
    }


def _decode_member(message: Any) -> Member:
    return Member(
        host=message.host,
        incarnation=message.incarnation,
        heartbeat=message.heartbeat,
        zone=message.zone,
        address=message.address,
        peer_address=message.peerAddress,
        is_leaving=message.isLeaving,
    )


def encode_call(call: Call) -> bytes:
    """Encode a call."""
    message = _SCHEMA.Call.new_message()
    if isinstance(call, StateCall):
        message.state = call.stream
    elif isinstance(call, ClaimCall):
        claim = message.init("claim")
        claim.stream = call.stream
        claim.record = json.dumps(call.record).encode()
        claim.timeoutMs = call.timeout_ms
    else:
        probe = message.init("probe")
        probe.server = call.server
        probe.holder = call.holder
        probe.isRelease = call.is_release
    return message.to_bytes_packed()


def decode_call(data: bytes) -> Call:
    """Decode a call.

    :raises BadMessageError: The bytes are not a call.
    """
    try:
        message = read_packed(_SCHEMA.Call, data, MAX_CALL_WORDS)
        kind = message.which()
        if kind == "state":
            return StateCall(message.state)
        if kind == "claim":
            claim = message.claim
            record = json.loads(bytes(claim.record))
            return ClaimCall(claim.stream, record, claim.timeoutMs)
        probe = message.probe
        return ProbeCall(probe.server, probe.holder, probe.isRelease)
    except (*DECODE_ERRORS, ValueError) as error:
        raise BadMessageError(str(error)) from error


def encode_reply(reply: Reply) -> bytes:
    """Encode a reply."""
    data = b"" if reply.data is None else json.dumps(reply.data).encode()
    message = _SCHEMA.Reply.new_message(
        isOk=reply.is_ok, reason=reply.reason, data=data
    )
    return message.to_bytes_packed()


def decode_reply(data: bytes) -> Reply:
    """Decode a reply.

    :raises BadMessageError: The bytes are not a reply.
    """
    try:
        message = read_packed(_SCHEMA.Reply, data, MAX_CALL_WORDS)
        content = bytes(message.data)
        value = json.loads(content) if content else None
        return Reply(message.isOk, message.reason, value)
    except (*DECODE_ERRORS, ValueError) as error:
        raise BadMessageError(str(error)) from error
