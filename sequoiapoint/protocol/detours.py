"""Messages of a request's detour through another host, and their codec.

A host that is cut off from servers sends a request to a host that still reaches them,
its helper.  The helper's reply tells exactly what became of the request.
"""

import base64
from dataclasses import dataclass, replace
from functools import singledispatch
from pathlib import Path
from typing import Any

import capnp

from sequoiapoint.protocol.gateway import CallerRequest
from sequoiapoint.protocol.http_status import is_final
from sequoiapoint.protocol.packed import DECODE_ERRORS, read_packed

_SCHEMA = capnp.load(str(Path(__file__).with_name("detours.capnp")))
DETOUR_PATH = "/detours"
"""Target of the calls between hosts."""
ORGANISATION_DETOUR_PATH = "/organisation-detours"
"""Target of the calls that carry a request of an organisation.  Hosts of older builds,
which would run it without the organisation's name, do not know this target and refuse
it; they serve every target that begins with ``DETOUR_PATH``."""
REPLY_HEADER = b"detour-reply"
"""Header of a call's response that carries the reply, in base64."""
REQUEST_HEADER = b"detour-request"
"""Header of a call without a request, with the id of one that has ended.  The reply is
an ``UnknownReply`` with the number of times that it was sent to servers, none if the
helper does not remember it."""
MAX_REQUEST_BYTES = 64_000_000
"""Maximum size of an encoded request, far above the largest body of a caller."""
NO_TIME_MS = -1
NO_TOKENS = -1
"""Stands for a request that does not state its tokens."""

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True)
class DetourRequest:
    """A caller's request on its detour.

    :param origin: The host that took the request from its caller.
    :param configuration_version: The version of the configuration in force there.
    :param remaining_s: The time for which its caller still waits, in seconds.
    :param attempts_left: The number of times that it may still be sent to servers.
    :param is_retry: Whether it has been sent to a server before.
    :param request: The request, without a time limit of its own.
    """

    origin: str
    configuration_version: int
    remaining_s: float
    attempts_left: int
    is_retry: bool
    request: CallerRequest


@dataclass(frozen=True)
class ServerReply:
    """The head of a server's response, whose body follows unchanged.

    :param attempts: The number of times that the helper has sent the request.
    """

    status: int
    headers: Headers
    is_stream: bool
    attempts: int


@dataclass(frozen=True)
class RefusalReply:
    """The request has not been run, and the helper will not run it.

    :param retry_after_s: The time after which the caller should retry, in seconds.
    """

    status: int
    reason: str
    retry_after_s: float | None
    attempts: int = 0


@dataclass(frozen=True)
class UnknownReply:
    """The request may have been run."""

    reason: str
    attempts: int


DetourReply = ServerReply | RefusalReply | UnknownReply


def encode_detour_request(message: DetourRequest) -> bytes:
    """Encode a request as the body of a call."""
    request = message.request
    encoded = _SCHEMA.DetourRequest.new_message(
        origin=message.origin,
        configurationVersion=message.configuration_version,
        remainingMs=max(0, round(message.remaining_s * 1000)),
        attemptsLeft=max(0, message.attempts_left),
        isRetry=message.is_retry,
        requestId=request.request_id,
        method=request.method,
        host=request.host,
        target=request.target,
        headers=_encode_headers(request.headers),
        body=request.body,
        model=request.model,
        adapter=request.adapter,
        promptTokens=request.prompt_tokens,
        sharedParts=list(request.shared_parts),
        lastEventId=request.last_event_id,
        resumes=request.resumes,
        areKeysInForce=request.organisation is not None,
        organisation=request.organisation or "",
        keyDigest=request.key_digest,
        tokens=NO_TOKENS if request.tokens is None else request.tokens,
    )
    return encoded.to_bytes()


def detour_path(message: DetourRequest) -> str:
    """Return the target of the call that carries a request."""
    return ORGANISATION_DETOUR_PATH if message.request.organisation else DETOUR_PATH


def decode_detour_request(data: bytes) -> DetourRequest:
    """Decode the body of a call.

    :raises ValueError: The data is not a request.
    """
    try:
        with _SCHEMA.DetourRequest.from_bytes(
            data, traversal_limit_in_words=MAX_REQUEST_BYTES // 8
        ) as message:
            request = CallerRequest(
                request_id=message.requestId,
                method=message.method,
                host=message.host,
                target=message.target,
                headers=_decode_headers(message.headers),
                body=bytes(message.body),
                model=message.model,
                adapter=message.adapter,
                prompt_tokens=message.promptTokens,
                last_event_id=message.lastEventId,
                shared_parts=tuple(message.sharedParts),
                resumes=message.resumes,
                tokens=None if message.tokens == NO_TOKENS else message.tokens,
                key_digest=bytes(message.keyDigest),
                organisation=message.organisation if message.areKeysInForce else None,
            )
            return DetourRequest(
                message.origin,
                message.configurationVersion,
                message.remainingMs / 1000,
                message.attemptsLeft,
                message.isRetry,
                request,
            )
    except (*DECODE_ERRORS, ValueError) as error:
        raise ValueError(f"not a request on a detour: {error}") from error


def with_budget(message: DetourRequest) -> CallerRequest:
    """Return the caller's request with the time that remains for it."""
    return replace(message.request, budget_s=message.remaining_s)


@singledispatch
def _fields(reply: object) -> dict[str, dict[str, Any]]:
    """Return the fields of a reply's group in the schema, by the group's name."""
    raise TypeError(f"not a reply: {type(reply).__name__}")


@_fields.register
def _(reply: ServerReply) -> dict[str, dict[str, Any]]:
    fields = {
        "status": reply.status,
        "headers": _encode_headers(reply.headers),
        "isStream": reply.is_stream,
    }
    return {"response": fields}


@_fields.register
def _(reply: RefusalReply) -> dict[str, dict[str, Any]]:
    retry_after_s = reply.retry_after_s
    fields = {
        "status": reply.status,
        "reason": reply.reason,
        "retryAfterMs": (
            NO_TIME_MS if retry_after_s is None else round(retry_after_s * 1000)
        ),
    }
    return {"refusal": fields}


@_fields.register
def _(reply: UnknownReply) -> dict[str, dict[str, Any]]:
    return {"unknown": {"reason": reply.reason}}


def encode_detour_reply(reply: DetourReply) -> bytes:
    """Encode a reply as the value of ``REPLY_HEADER``."""
    message = _SCHEMA.DetourReply.new_message(attempts=reply.attempts, **_fields(reply))
    return base64.b64encode(message.to_bytes_packed())


def decode_detour_reply(value: bytes) -> DetourReply:
    """Decode the value of ``REPLY_HEADER``.

    :raises ValueError: The value is not a reply.
    """
    try:
        data = base64.b64decode(value, validate=True)
        message = read_packed(_SCHEMA.DetourReply, data)
        kind = message.which()
        if kind == "response":
            group = message.response
            headers, status = (
                _decode_headers(group.headers),
                _valid_status(group.status),
            )
            return ServerReply(status, headers, group.isStream, message.attempts)
        if kind == "refusal":
            group = message.refusal
            ms = group.retryAfterMs
            retry_after_s = None if ms == NO_TIME_MS else ms / 1000
            status = _valid_status(group.status)
            return RefusalReply(status, group.reason, retry_after_s, message.attempts)
        return UnknownReply(message.unknown.reason, message.attempts)
    except (*DECODE_ERRORS, ValueError) as error:
        raise ValueError(f"not a reply: {error}") from error


def _valid_status(status: int) -> int:
    if not is_final(status):
        raise ValueError(f"invalid status {status}")
    return status


def _encode_headers(headers: Headers) -> list[dict[str, bytes]]:
    return [{"name": name, "value": value} for name, value in headers]


def _decode_headers(headers: Any) -> Headers:
    return tuple((bytes(h.name), bytes(h.value)) for h in headers)
