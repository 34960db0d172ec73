"""Attempts at a server that is in trouble."""

import itertools
import json
from types import SimpleNamespace

import pytest

from sequoiapoint.coordination.routing import Candidate
from sequoiapoint.node.attempt import Attempt
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


@pytest.mark.parametrize("last_position", [None, MAX_TOKENS // 2])
def test_a_stream_ends_when_it_holds_more_than_its_tokens(last_position):
    """A thread of the host was busy with it until the deadline.

    The positions grow without end, or remain the last one.
    """
    attempt = new_attempt("127.0.0.1:1")
    headers = {"x-request-id": attempt._id, "x-attempt": "1"}

    def event(position):
        if last_position is not None:
            position = min(position, last_position)
        choice = {"delta": {"content": "x"}}
        value = {"id": attempt._id, "position": position, "choices": [choice]}
        return b"data: " + json.dumps(value).encode() + b"\n\n"

    stream = SimpleNamespace(
        response=SimpleNamespace(status=200, headers=headers),
        chunks=lambda should_stop: map(event, itertools.islice(itertools.count(), 500)),
    )
    events = list(attempt._read(stream))
    assert len(events) == (MAX_TOKENS if last_position is None else last_position + 1)
    assert attempt.outcome.reason == "too_long"
