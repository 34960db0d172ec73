"""What a caller gets if the handling of its request fails."""

import asyncio
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


@pytest.mark.parametrize("has_begun", [False, True])
def test_a_request_whose_handling_fails_is_answered(monkeypatch, has_begun):
    """Its caller's connection was closed without an answer."""
    monkeypatch.setattr(request_handler, "RequestForwarder", Failing)
    monkeypatch.setattr(Failing, "has_begun", has_begun)
    answers = []
    request = CallerRequest("id", "GET", "h", "/r/x", (), b"", 1.0)
    state = SimpleNamespace(
        adapter=SimpleNamespace(
            callers=SimpleNamespace(
                decode_request=lambda *a: request,
                refusal_headers=lambda request_id, retry_after_s: [request_id],
            )
        ),
        routes=SimpleNamespace(find=lambda host, path: "route"),
        configuration=GatewayConfiguration(1, (), {}, CallerLimits()),
        configuration_age_s=lambda: 0.0,
        settings=SimpleNamespace(bounds=Bounds()),
        metrics=SimpleNamespace(refusal=lambda reason: None),
        log=SimpleNamespace(event=lambda *a, **fields: None),
    )
    inbound = SimpleNamespace(method="", target="", headers=[], body=b"", arrived_s=0.0)
    responder = SimpleNamespace(
        is_started=False,
        send_response=lambda status, headers: answers.append((status, headers)),
    )
    exchange = SimpleNamespace(allowances=None)
    with pytest.raises(KeyError):
        asyncio.run(RequestHandler(state, exchange).handle(inbound, responder))
    assert answers == ([] if has_begun else [(502, ["id"])])
