"""Attempts at a server that is in trouble."""

import json
from types import SimpleNamespace

import pytest

from sequoiapoint.coordination.routing import Candidate
from sequoiapoint.node.attempt import Attempt, Completed
from sequoiapoint.node.context import RequestContext
from sequoiapoint.protocol.chat import ChatRequest
from sequoiapoint.protocol.document import Promise
from sequoiapoint.transport import clock
from sequoiapoint.transport.endless_body_test import FORMS, MAX_SENT_BYTES, EndlessPeer

MAX_TOKENS = 12


def new_attempt(address):
    messages = [{"role": "user", "content": "x"}]
    chat = ChatRequest(model="m", messages=messages, max_tokens=MAX_TOKENS)
    now = clock.monotonic_s()
    promise = Promise(name="p", deadline_ms=9_000)
    context = RequestContext("r", "c", promise, now, now + 9.0)
    return Attempt(Candidate("e-1", "z", address), chat, context, 1, 0)


def test_the_body_of_an_error_without_end_is_not_kept():
    """A host kept all of it until the deadline, or its memory was full."""
    with EndlessPeer(*FORMS["failure"]) as peer:
        attempt = new_attempt(peer.address)
        assert list(attempt.events()) == []
    assert attempt.outcome.reason == "too_large"
    assert peer.sent < MAX_SENT_BYTES


def read(events):
    """Read a stream of events, given by their fields; return them and the outcome."""
    attempt = new_attempt("127.0.0.1:1")
    headers = {"x-request-id": attempt._id, "x-attempt": "1"}

    def encode(position, text, finish_reason):
        choice = {"delta": {"content": text}, "finish_reason": finish_reason}
        value = {"id": attempt._id, "position": position, "choices": [choice]}
        return b"data: " + json.dumps(value).encode() + b"\n\n"

    stream = SimpleNamespace(
        response=SimpleNamespace(status=200, headers=headers),
        failure=None,
        chunks=lambda should_stop: (
            item if isinstance(item, bytes) else encode(*item) for item in events
        ),
    )
    return list(attempt._read(stream)), attempt.outcome


TOKENS = [(position, "x", None) for position in range(MAX_TOKENS)]


def test_a_stream_of_all_its_tokens_is_complete():
    """Guards against a limit that cuts the event with the reason for the end."""
    events, outcome = read([*TOKENS, (MAX_TOKENS, "", "stop"), b"data: [DONE]\n\n"])
    assert len(events) == MAX_TOKENS + 1
    assert outcome == Completed()


@pytest.mark.parametrize(
    "surplus",
    [
        [(MAX_TOKENS + extra, "x", None) for extra in range(500)],
        [(MAX_TOKENS - 1, "x", None)] * 500,
        [(0, "x", None)] * 500,
    ],
    ids=["new_tokens", "last_token", "first_token"],
)
def test_a_stream_ends_when_it_holds_more_than_its_tokens(surplus):
    """A thread of the host was busy with it until the deadline."""
    events, outcome = read([*TOKENS, *surplus])
    assert MAX_TOKENS <= len(events) <= MAX_TOKENS + 1
    assert outcome.reason == "too_long"
