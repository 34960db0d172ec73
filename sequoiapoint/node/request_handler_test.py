"""What a caller gets if the handling of its request fails."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from sequoiapoint.node import request_handler
from sequoiapoint.node.request_handler import RequestHandler
from sequoiapoint.protocol.gateway import (
    CallerLimits,
    CallerRequest,
    GatewayConfiguration,
)
from sequoiapoint.protocol.gateway_settings import Bounds


class Failing:
    """In place of a forwarder: fails, before or after the response has begun."""

    has_begun = False

    def __init__(self, state, exchange, request, route, arrived_s, responder):
        self._responder = responder

    async def run(self):
        self._responder.is_started = self.has_begun
        raise KeyError("server")


def answers_of(find_route):
    """Handle a request that fails; return the responses to its caller.

    :param find_route: In place of the look-up of a route.
    """
    answers = []
    request = CallerRequest("id", "GET", "h", "/r/x", (), b"", 1.0)
    state = SimpleNamespace(
        adapter=SimpleNamespace(
            callers=SimpleNamespace(
                decode_request=lambda *a: request,
                refusal_headers=lambda request_id, retry_after_s: [request_id],
            )
        ),
        routes=SimpleNamespace(find=find_route),
        configuration=GatewayConfiguration(1, (), {}, CallerLimits()),
        configuration_age_s=lambda: 0.0,
        settings=SimpleNamespace(bounds=Bounds()),
        metrics=SimpleNamespace(refusal=lambda reason: None),
        log=SimpleNamespace(event=lambda *a, **fields: None),
        rng=random.Random(1),
    )
    inbound = SimpleNamespace(method="", target="", headers=[], body=b"", arrived_s=0.0)
    responder = SimpleNamespace(
        is_started=False,
        send_response=lambda status, headers: answers.append((status, headers)),
    )
    exchange = SimpleNamespace(allowances=None)
    with pytest.raises(KeyError):
        asyncio.run(RequestHandler(state, exchange).handle(inbound, responder))
    return answers


@pytest.mark.parametrize("has_begun", [False, True])
def test_a_request_whose_handling_fails_is_answered(monkeypatch, has_begun):
    """Its caller's connection was closed without an answer."""
    monkeypatch.setattr(request_handler, "RequestForwarder", Failing)
    monkeypatch.setattr(Failing, "has_begun", has_begun)
    answers = answers_of(lambda host, path: "route")
    assert answers == ([] if has_begun else [(502, ["id"])])


def test_a_request_whose_admission_fails_is_answered_as_not_run():
    """Callers waited to their deadlines when a message could not be encoded."""

    def fail(host, path):
        raise KeyError("route")

    assert answers_of(fail) == [(503, ["id"])]
