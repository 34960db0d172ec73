"""A caller: sends requests to entry hosts, checks each answer, and sums up.

An answer counts as whole only where it is the expected one, byte for byte.
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
    """One request of a caller.

    :param host: The entry host's address.
    :param path: The path, of a model or of a service.
    :param key: The idempotency key, empty where there is none.
    """

    host: str
    path: str
    body: dict
    promise: str
    key: str = ""
    caller: str = "load"


@dataclass(frozen=True)
class Outcome:
    """What a caller saw.

    :param fate: One of done, refused, failed, unknown, wrong, cut and unreached.
    :param first_token_s: The time to the first token, None for services.
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
    """Return a request to a plain service, under a key where one is given."""
    return Call(host, f"/services/{service}/run", {"value": value}, "once", key)


def perform(call: Call) -> Outcome:
    """Make one request and judge its answer."""
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
    fate, reason = _judge(call, response.status, response.headers, response.body)
    if isinstance(failure, Failure):
        is_unsent = failure.kind is FailureKind.NOT_SENT
        fate, reason = "unreached" if is_unsent else "cut", failure.reason
    retry_after = response.headers.get("retry-after")
    is_chat = "messages" in call.body
    return Outcome(
        call=call,
        kind=fate,
        reason=reason,
        status=response.status,
        first_token_s=first_token_s if is_chat else None,
        total_s=total_s,
        retry_after_s=float(retry_after) if retry_after else None,
    )


def _judge(call: Call, status: int, headers: dict, body: bytes) -> tuple[str, str]:
    """Return the fate and the reason by what was received."""
    if status != 200:
        return headers.get("x-fate", "cut"), headers.get("x-reason", str(status))
    if "messages" not in call.body:
        return "done", ""
    return _judge_stream(call, body)


def _judge_stream(call: Call, body: bytes) -> tuple[str, str]:
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

    def count(self, fate: str) -> int:
        """Return how many requests had a fate."""
        return sum(1 for o in self.outcomes if o.kind == fate)

    def reasons(self) -> collections.Counter:
        """Return the reasons of all that were not done."""
        return collections.Counter(
            (o.kind, o.reason) for o in self.outcomes if o.kind != "done"
        )

    def lines(self) -> list[str]:
        """Return a summary for a person."""
        first = [o.first_token_s for o in self.outcomes if o.first_token_s is not None]
        total = [o.total_s for o in self.outcomes if o.kind == "done"]
        lines = [f"requests {len(self.outcomes)}  done {self.count('done')}"]
        for (fate, reason), count in sorted(self.reasons().items()):
            lines.append(f"{fate} ({reason}) {count}")
        lines.append(f"time to first token, ms  {_percentiles(first)}")
        lines.append(f"time in total, ms        {_percentiles(total)}")
        return lines


def _percentiles(values: Sequence[float]) -> str:
    if not values:
        return "none"
    ordered = sorted(values)
    picks = ((50, 0.5), (95, 0.95), (99, 0.99))
    return "  ".join(
        f"p{name} {ordered[min(len(ordered) - 1, int(len(ordered) * q))] * 1000:.0f}"
        for name, q in picks
    )


def run_all(calls: Iterable[Call], concurrency: int) -> Summary:
    """Make many requests, a bounded number at a time."""
    with ThreadPoolExecutor(concurrency) as pool:
        return Summary(list(pool.map(perform, calls)))


def run_until_stopped(
    calls: "CallGenerator", concurrency: int, stop: threading.Event
) -> Summary:
    """Make requests one after the other on each worker until told to stop."""
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
    """Makes random requests to models over some hosts.

    :param hosts: The entry hosts' addresses.
    :param models: The models to ask.
    :param seed: The seed of chance.
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
        """Send to other hosts from now on, as a balancer does."""
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
    """Return a fresh idempotency key."""
    return uuid.uuid4().hex
