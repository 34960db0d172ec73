"""Requests to plain services whose server stops in the head of its response.

Guards against a caller that gets 200 and an empty body from a response cut in its head.
"""

from types import SimpleNamespace

import pytest

from sequoiapoint.coordination.routing import Candidate
from sequoiapoint.node import service_run
from sequoiapoint.node.chat_run_test import FakeRuntime
from sequoiapoint.node.context import RequestContext
from sequoiapoint.node.idempotent_run import ServiceResponse
from sequoiapoint.node.service_run import ServiceRun
from sequoiapoint.protocol.document import Promise
from sequoiapoint.protocol.outcomes import Reason
from sequoiapoint.transport import clock
from sequoiapoint.transport.cut_head_test import BODY, HEADS, SIZED, UNFINISHED, Peer

REFUSED = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
CUT = [
    *(head[:length] for head in HEADS.values() for length in range(0, len(head), 5)),
    *(head[:-2] for head in HEADS.values()),
    *UNFINISHED,
    REFUSED[:-2],
]


def run_request(monkeypatch, first, is_repeatable):
    """Return a request's result, and how often each of two servers has got it."""
    runtime = FakeRuntime()
    runtime.metrics = SimpleNamespace(retry=lambda reason: None)
    with Peer(first, "fin") as cut_server:
        candidates = [Candidate("s-0", "north", cut_server.address)]
        with Peer(SIZED + BODY, "fin") as other:
            candidates.append(Candidate("s-1", "north", other.address))
            monkeypatch.setattr(
                service_run, "service_candidates", lambda *_: candidates
            )
            monkeypatch.setattr(service_run, "choose", lambda untried, *_: untried[0])
            now = clock.monotonic_s()
            promise = Promise(name="p", deadline_ms=9_000)
            run = ServiceRun(
                runtime,
                None,
                SimpleNamespace(name="service"),
                RequestContext("r", "c", promise, now, now + 9.0),
                is_repeatable,
                "POST",
                "/x",
                {},
                b"body",
            )
            result = run.run()
    return result, cut_server.requests, other.requests


@pytest.mark.parametrize("sent", CUT)
@pytest.mark.parametrize("is_repeatable", [True, False])
def test_a_response_cut_in_its_head_is_no_success(monkeypatch, sent, is_repeatable):
    """A request that may run once was answered 200 without a body, or ran twice."""
    result, *requests = run_request(monkeypatch, sent, is_repeatable)
    assert requests == [1, int(is_repeatable)]
    if is_repeatable:
        assert result == ServiceResponse(200, "", BODY)
    else:
        assert result.reason is Reason.OUTCOME_UNKNOWN
