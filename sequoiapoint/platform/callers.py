"""Callers' requests on the platform's wire."""

from sequoiapoint.platform import headers as names
from sequoiapoint.protocol.gateway import CallerRequest
from sequoiapoint.protocol.ports import Headers

READINESS_PATH = "/sequoiapoint/readyz"
_NOT_FORWARDED = names.CONNECTION_ONLY | names.SET_BY_GATEWAY | {b"host"}


def _prompt_parts(value: bytes | None) -> tuple[tuple[str, int], ...]:
    """Decode ``ID:TOKENS,...``; a part that cannot be read ends the list."""
    parts = []
    for item in (value or b"").split(b","):
        part_id, _, tokens = item.strip().partition(b":")
        if not part_id or not tokens.isdigit():
            break
        parts.append((part_id.decode("latin-1"), int(tokens)))
    return tuple(parts)


def _token_counts(value: bytes | None) -> tuple[int, int]:
    """Decode ``PROMPT,OUTPUT``; zero where a count cannot be read."""
    prompt, _, output = (value or b"").partition(b",")
    return names.whole_number(prompt.strip()) or 0, names.whole_number(
        output.strip()
    ) or 0


class PlatformCallerCodec:
    """Decodes callers' requests and encodes answers of the gateway's own."""

    def readiness_path(self) -> str:
        """Return the path at which the balancer asks whether the host is ready."""
        return READINESS_PATH

    def decode_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> CallerRequest | None:
        """Decode a request; None where it bears no request id or no host name."""
        known: dict[bytes, bytes] = {}
        for name, value in headers:
            known.setdefault(name, value)
        request_id, host = known.get(names.REQUEST_ID), known.get(b"host")
        if not request_id or host is None:
            return None
        budget_ms = names.whole_number(known.get(names.BUDGET_MS))
        model, _, adapter = known.get(names.MODEL, b"").decode("latin-1").partition("/")
        prompt_tokens, output_tokens = _token_counts(known.get(names.TOKENS))
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
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            prompt_parts=_prompt_parts(known.get(names.PROMPT_PARTS)),
            last_event_id=known.get(names.LAST_EVENT_ID, b"").decode("latin-1"),
        )

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer of the gateway's own."""
        headers: Headers = []
        if request_id:
            headers.append((b"Request-Id", request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % retry_after_s))
        return headers
