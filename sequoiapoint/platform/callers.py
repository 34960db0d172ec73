"""Codec of callers' requests in the platform's wire format."""

import re
from collections.abc import Iterable

from sequoiapoint.platform import headers as names
from sequoiapoint.protocol.api_keys import key_digest
from sequoiapoint.protocol.gateway import CallerRequest
from sequoiapoint.protocol.ports import Headers

READINESS_PATH = "/sequoiapoint/readyz"
_NOT_FORWARDED = names.HOP_BY_HOP | names.SET_BY_GATEWAY | {b"host"}
_BEARER = re.compile(rb"bearer +(\S+)", re.IGNORECASE)


def _prompt_tokens(value: bytes | None) -> int:
    """Decode the prompt size of ``PROMPT,OUTPUT``; return 0 if it is invalid."""
    return names.parse_integer((value or b"").partition(b",")[0].strip()) or 0


def _tokens(value: bytes | None) -> int | None:
    """Decode the tokens of ``PROMPT,OUTPUT`` in total.

    :return: The sum of the numbers that are valid; None without one.
    """
    parts = [names.parse_integer(n.strip()) for n in (value or b"").split(b",")[:2]]
    numbers = [number for number in parts if number is not None]
    return sum(numbers) if numbers else None


def _shared_parts(value: bytes | None) -> tuple[str, ...]:
    """Decode the ids of ``ID:TOKENS,...``, except the last, which is not shared."""
    parts = [part.partition(b":")[0].strip() for part in (value or b"").split(b",")]
    return tuple(part.decode("latin-1").lower() for part in parts[:-1] if part)


class PlatformCallerCodec:
    """Decodes callers' requests and encodes the gateway's own response headers."""

    def readiness_path(self) -> str:
        """Return the path of the load balancer's readiness check."""
        return READINESS_PATH

    def decode_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> CallerRequest | None:
        """Decode a request; return None if it has no request id or no host name."""
        first_values: dict[bytes, bytes] = {}
        for name, value in headers:
            first_values.setdefault(name, value)
        request_id, host = first_values.get(names.REQUEST_ID), first_values.get(b"host")
        if not request_id or host is None:
            return None
        budget_ms = names.parse_integer(first_values.get(names.BUDGET_MS))
        model, _, adapter = (
            first_values.get(names.MODEL, b"").decode("latin-1").partition("/")
        )
        return CallerRequest(
            request_id=request_id.decode("latin-1"),
            method=method,
            host=host.decode("latin-1").partition(":")[0].lower(),
            target=target,
            headers=tuple(
                (name, value) for name, value in headers if name not in _NOT_FORWARDED
            )
            + ((b"host", host),),
            body=body,
            budget_s=None if budget_ms is None else budget_ms / 1000.0,
            model=model,
            adapter=adapter,
            prompt_tokens=_prompt_tokens(first_values.get(names.TOKEN_COUNT)),
            shared_parts=_shared_parts(first_values.get(names.PROMPT_PARTS)),
            last_event_id=first_values.get(names.LAST_EVENT_ID, b"").decode("latin-1"),
            resumes=first_values.get(names.RESUMES, b"").decode("latin-1"),
            tokens=_tokens(first_values.get(names.TOKEN_COUNT)),
            key_digest=self.key_digest(headers),
        )

    def key_digest(self, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
        """Return the digest of the key that a caller has sent, b"" without one.

        Anything but one header of the form ``Bearer KEY`` is no key.
        """
        values = [value for name, value in headers if name == names.AUTHORIZATION]
        match = _BEARER.fullmatch(values[0].strip()) if len(values) == 1 else None
        return b"" if match is None else key_digest(match[1])

    def without_credentials(
        self, headers: Iterable[tuple[bytes, bytes]]
    ) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers that are left without a key and an organisation's name."""
        return tuple(pair for pair in headers if pair[0] not in names.CREDENTIALS)

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of a response that the gateway itself generates."""
        headers: Headers = []
        if request_id:
            headers.append((b"Request-Id", request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % retry_after_s))
        return headers
