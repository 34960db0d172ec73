"""Load generator: sends requests to entry hosts and checks the responses.

A streamed response counts as done only if its text is the expected one, byte for byte.
"""

import collections
import json
import random
import threading
import time
import uuid
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.transport.http_client import HttpStream
from standins.answers import expected_response

KEY_LIFETIME_S = 600
REQUEST_TIMEOUT_S = 90.0


@dataclass(frozen=True)
class Call:
    """One request.

    :param host: The entry host's address.
    :param path: The path of the chat completions or of a service.
    :param body: The JSON body.
    :param promise: The name of the service class.
    :param key: The idempotency key, empty for none.
    :param caller: The name of the caller.
    """

    host: str
    path: str
    body: dict
    promise: str
    key: str = ""
    caller: str = "load"


@dataclass(frozen=True)
class Outcome:
    """The outcome of a request as its caller observed it.

    :param kind: One of done, refused, failed and unknown, as in the host's response;
        or wrong for an unexpected text, cut if no complete response arrived, or
        unreached if the request was not sent.
    :param reason: Why the request was not done.
    :param status: The HTTP status.
    :param first_token_s: The time to the first token in seconds, None for services.
    :param total_s: The time to the end of the response, in seconds.
    :param retry_after_s: The value of the Retry-After header, in seconds.
    """

    call: Call
    kind: str
    reason: str
    status: int
    first_token_s: float | None
    total_s: float
    retry_after_s: float | None = None


def chat_call(
    host: str, model: str, content: str, tokens: int, promise: str = "interactive"
) -> Call:
    """Return a streamed request to a model."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "stream": True,
    }
    return Call(host, "/v1/chat/completions", body, promise)


def service_call(host: str, service: str, value: str, key: str = "") -> Call:
    """Return a request to a plain service, with an idempotency key if one is given."""
    return Call(host, f"/services/{service}/run", {"value": value}, "once", key)


def perform(call: Call) -> Outcome:
    """Send one request and check its response."""
    headers = {
        "Content-Type": "application/json",
        "X-Promise": call.promise,
        "X-Caller": call.caller,
    }
    if call.key:
        headers["Idempotency-Key"] = call.key
        headers["Idempotency-Expires"] = str(int(time.time()) + KEY_LIFETIME_S)
    started = time.monotonic()
    first_token_s = None
    parts = []
    with HttpStream(
        "POST",
        call.host,
        call.path,
        step="load",
        body=json.dumps(call.body).encode(),
        headers=headers,
        timeout_s=REQUEST_TIMEOUT_S,
        single_use=True,
    ) as stream:
        for data in stream.chunks():
            if first_token_s is None and stream.response.status == 200:
                first_token_s = time.monotonic() - started
            parts.append(data)
        total_s = time.monotonic() - started
        response = stream.response
        response.body = b"".join(parts)
        failure = stream.failure
    kind, reason = _classify(call, response.status, response.headers, response.body)
    if isinstance(failure, Failure):
        is_not_sent = failure.kind is FailureKind.NOT_SENT
        kind, reason = "unreached" if is_not_sent else "cut", failure.reason
    retry_after = response.headers.get("retry-after")
    is_chat = "messages" in call.body
    return Outcome(
        call=call,
        kind=kind,
        reason=reason,
        status=response.status,
        first_token_s=first_token_s if is_chat else None,
        total_s=total_s,
        retry_after_s=float(retry_after) if retry_after else None,
    )


def _classify(call: Call, status: int, headers: dict, body: bytes) -> tuple[str, str]:
    """Return the kind and the reason of the outcome of a received response."""
    if status != 200:
        return headers.get("x-fate", "cut"), headers.get("x-reason", str(status))
    if "messages" not in call.body:
        return "done", ""
    return _classify_stream(call, body)


def _classify_stream(call: Call, body: bytes) -> tuple[str, str]:
    events = [e for e in body.split(b"\n\n") if e]
    if not events:
        return "cut", "empty"
    if events[-1] != b"data: [DONE]":
        last = json.loads(events[-1].removeprefix(b"data: "))
        error = last.get("error")
        return (error["fate"], error["reason"]) if error else ("cut", "no_end")
    values = [json.loads(e.removeprefix(b"data: ")) for e in events[:-1]]
    text = "".join(v["choices"][0]["delta"]["content"] for v in values)
    prompt = json.dumps(call.body["messages"], sort_keys=True)
    expected = expected_response(call.body["model"], prompt, call.body["max_tokens"])
    return ("done", "") if text == expected else ("wrong", "other_text")


@dataclass
class Summary:
    """The outcomes of many requests."""

    outcomes: list[Outcome] = field(default_factory=list)

    def count(self, kind: str) -> int:
        """Return the number of outcomes of a kind."""
        return sum(1 for o in self.outcomes if o.kind == kind)

    def reasons(self) -> collections.Counter:
        """Count the kinds and reasons of the outcomes that are not done."""
        return collections.Counter(
            (o.kind, o.reason) for o in self.outcomes if o.kind != "done"
        )

    def lines(self) -> list[str]:
        """Return the lines of a summary in plain text."""
        first_token = [
            o.first_token_s for o in self.outcomes if o.first_token_s is not None
        ]
        total = [o.total_s for o in self.outcomes if o.kind == "done"]
        lines = [f"requests {len(self.outcomes)}  done {self.count('done')}"]
        for (kind, reason), count in sorted(self.reasons().items()):
            lines.append(f"{kind} ({reason}) {count}")
        lines.append(f"time to first token, ms  {_percentiles(first_token)}")
        lines.append(f"time in total, ms        {_percentiles(total)}")
        return lines


def _percentiles(values: Sequence[float]) -> str:
    if not values:
        return "none"
    ordered = sorted(values)
    percentiles = ((50, 0.5), (95, 0.95), (99, 0.99))
    return "  ".join(
        f"p{name} {ordered[min(len(ordered) - 1, int(len(ordered) * q))] * 1000:.0f}"
        for name, q in percentiles
    )


def run_all(calls: Iterable[Call], concurrency: int) -> Summary:
    """Send requests, at most ``concurrency`` of them at a time."""
    with ThreadPoolExecutor(concurrency) as pool:
        return Summary(list(pool.map(perform, calls)))


def run_until_stopped(
    calls: "CallGenerator", concurrency: int, stop: threading.Event
) -> Summary:
    """Send requests, one after the other on each worker, until ``stop`` is set."""
    summary = Summary()
    lock = threading.Lock()

    def work() -> None:
        while not stop.is_set():
            outcome = perform(calls.next_call())
            with lock:
                summary.outcomes.append(outcome)

    with ThreadPoolExecutor(concurrency) as pool:
        for _ in range(concurrency):
            pool.submit(work)
    return summary


class CallGenerator:
    """Generates streamed requests to random models through random hosts.

    :param hosts: The entry hosts' addresses.
    :param models: The models' names.
    :param tokens: The number of tokens to generate per request.
    :param seed: The seed of the random choices.
    """

    def __init__(
        self, hosts: Sequence[str], models: Sequence[str], tokens: int, seed: int
    ) -> None:
        self._hosts = hosts
        self._models = models
        self._tokens = tokens
        self._rng = random.Random(seed)
        self._lock = threading.Lock()

    def set_hosts(self, hosts: Sequence[str]) -> None:
        """Send further requests to these hosts only, as a load balancer does."""
        with self._lock:
            self._hosts = hosts

    def next_call(self) -> Call:
        """Return the next request."""
        with self._lock:
            host = self._rng.choice(self._hosts)
            model = self._rng.choice(self._models)
            content = f"street {self._rng.randrange(10**9)}"
        return chat_call(host, model, content, self._tokens)


def new_key() -> str:
    """Return a new random idempotency key."""
    return uuid.uuid4().hex
