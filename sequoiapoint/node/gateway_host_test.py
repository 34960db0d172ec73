"""A planned stop of a host, in virtual time."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from sequoiapoint.node import gateway_host
from sequoiapoint.node.gateway_host import GatewayHost
from sequoiapoint.protocol.gateway_settings import Bounds
from standins.virtual.event_loop import VirtualTimeLoop

LAST_REQUEST_S = 3.0
"""Time after the stop signal until which a request may be cut at the drain timeout if
it is still running; a later one must not be taken."""
BALANCER_S = 2.0
"""Time until the load balancer has seen two failed checks, one a second."""
MAX_LAG_S = 0.1
"""Time by which a busy host may be late: a wake-up and the signal itself."""


class _SendingServer:
    """A server for other hosts that has sent all at a given time."""

    def __init__(self, loop, sent_at):
        self._loop, self._sent_at = loop, sent_at

    @property
    def unsent_count(self):
        return int(self._loop.now < self._sent_at)


def run_stop(monkeypatch, tmp_path, lag_s, bounds, peers_sent_at=None):
    """Stop a busy host; return the time of the signal and of each step.

    :param peers_sent_at: When the last byte for another host is sent, in seconds; the
        host has no requests of callers.  None if there are only those.
    """
    loop = VirtualTimeLoop()
    monkeypatch.setattr(gateway_host, "monotonic_s", lambda: loop.now)
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({}))
    settings = SimpleNamespace(bounds=bounds, host="h")
    host = GatewayHost(settings, str(path), None)
    host._state = SimpleNamespace(log=SimpleNamespace(event=lambda *a, **f: None))
    host._detour_server = SimpleNamespace(busy_count=0, end_requests=lambda: None)
    host._exchange = SimpleNamespace(server=_SendingServer(loop, peers_sent_at or 0.0))
    closed_at, ended_at = [], []
    host._caller_server = SimpleNamespace(
        is_closed=False,
        busy_count=int(peers_sent_at is None),
        end_requests=lambda: ended_at.append(loop.now),
        stop_accepting=lambda: (
            closed_at.append(loop.now),
            setattr(host._caller_server, "is_closed", True),
        ),
    )

    async def release():
        await asyncio.sleep(0)

    async def run():
        signalled_at = loop.now
        await asyncio.sleep(lag_s)
        await host._drain(SimpleNamespace(release=release))
        return signalled_at

    try:
        signalled_at = loop.run_until_complete(run())
    finally:
        loop.close()
    return signalled_at, closed_at, ended_at


@pytest.mark.parametrize("lag_s", [0.0, 0.03, MAX_LAG_S])
def test_a_stopping_host_takes_no_request_that_it_may_have_to_cut(
    monkeypatch, tmp_path, lag_s
):
    """A request that was sent 3.004 s after the signal was cut at the drain timeout."""
    signalled_at, closed_at, _ = run_stop(monkeypatch, tmp_path, lag_s, Bounds())
    assert len(closed_at) == 1
    assert BALANCER_S < closed_at[0] - signalled_at < LAST_REQUEST_S


@pytest.mark.parametrize("drain_timeout_s", [0.1, 1.0, 3.0, 8.0])
def test_a_host_accepts_nothing_when_it_ends_its_requests(
    monkeypatch, tmp_path, drain_timeout_s
):
    """Under a short drain timeout it accepted connections until the process ended."""
    bounds = Bounds(drain_timeout_s=drain_timeout_s)
    _, closed_at, ended_at = run_stop(monkeypatch, tmp_path, 0.0, bounds)
    assert len(closed_at) == 1
    assert closed_at[0] <= ended_at[0]


@pytest.mark.parametrize("sent_s", [0.0, 4.0, 7.6, 20.0])
def test_a_host_stops_when_other_hosts_have_been_sent_all_or_time_is_up(
    monkeypatch, tmp_path, sent_s
):
    """What another host had not read of its caller's response was discarded."""
    bounds = Bounds()
    _, _, ended_at = run_stop(monkeypatch, tmp_path, 0.0, bounds, sent_s)
    assert min(sent_s, 7.3) <= ended_at[0] < bounds.drain_timeout_s - 0.5


def test_requests_that_wait_as_they_begin_at_the_end_of_a_stop_are_ended(
    monkeypatch, tmp_path
):
    """One behind another waited for its organisation's credit, and was cut."""
    bounds = Bounds()
    _, _, ended_at = run_stop(monkeypatch, tmp_path, 0.0, bounds)
    ends_at = bounds.drain_timeout_s
    assert ends_at - 0.7 < ended_at[0] < ends_at - 0.5
    assert ends_at - 0.4 < ended_at[-1]
