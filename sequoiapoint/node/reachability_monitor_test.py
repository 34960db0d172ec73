"""Tests of the probes of a host that seems to be cut off from servers."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from sequoiapoint.node import reachability_monitor
from sequoiapoint.node.placement_controller import PlacementController
from sequoiapoint.node.reachability_monitor import ReachabilityMonitor
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.gateway import ServerEntry, ServerState
from sequoiapoint.state.reachability import Reachability
from sequoiapoint.transport.clock import monotonic_s

SERVICE = "lm"


def entry(number):
    address = f"10.0.0.{number}:1"
    return ServerEntry(
        f"s-{number}", SERVICE, address, "z", ServerState.READY, 1, 8, ()
    )


def monitor_of(monkeypatch, servers, crashed):
    """Return a monitor whose probes fail at the crashed servers, and its state.

    The state counts the probes.
    """

    async def call(pool, address, request, timeout_s):
        state.probes += 1
        if int(address.split(".")[3].partition(":")[0]) in crashed:
            return Failure(FailureKind.NOT_SENT, "refused", "connect", address)
        return SimpleNamespace(status=200, headers=[], body=b"")

    monkeypatch.setattr(reachability_monitor, "call", call)
    entries = [entry(number) for number in range(servers)]
    state = SimpleNamespace(
        probes=0,
        reachability=Reachability(),
        fleet=SimpleNamespace(
            ready_servers=lambda name: entries,
            entries={e.server: e for e in entries},
        ),
        adapter=SimpleNamespace(servers=SimpleNamespace(report_call=lambda e: None)),
        metrics=SimpleNamespace(event=lambda name: None),
        log=SimpleNamespace(event=lambda *args, **fields: None),
        wait_queue=SimpleNamespace(notify=lambda: None),
        rng=random.Random(7),
        configuration=SimpleNamespace(
            services={SERVICE: SimpleNamespace(name=SERVICE, engine=object())}
        ),
    )
    return ReachabilityMonitor(state), state


async def probe_for(monitor, seconds):
    task = asyncio.ensure_future(monitor.run())
    await asyncio.sleep(seconds)
    task.cancel()


@pytest.mark.parametrize(
    ("crashed", "reaches_engines"), [(range(9), True), (range(45), False)]
)
def test_a_leader_keeps_the_lease_while_some_engines_crash(
    monkeypatch, crashed, reaches_engines
):
    """Guards against seconds without orders each time that engines crash.

    Replays a leader before 45 engines, of which nine crash within a second.  It polls
    all of them, so it failed to connect to more than three, took itself for cut off and
    gave the lease up.
    """
    monitor, state = monitor_of(monkeypatch, 45, set(crashed))
    service = state.reachability.service(SERVICE)
    controller = SimpleNamespace(_state=state)
    reached = []

    async def run():
        probes = asyncio.ensure_future(probe_for(monitor, 0.4))
        for number in range(4):
            service.note_connect_failure((f"s-{number}", 1), monotonic_s())
        while not probes.done():
            await asyncio.sleep(0.01)
            reached.append(PlacementController._reaches_engines(controller))

    asyncio.run(run())
    assert all(reached) is reaches_engines


@pytest.mark.parametrize(
    ("servers", "crashed", "has_data", "is_cut_off"),
    [
        (45, range(45), False, True),
        (2, range(2), False, True),
        # The engine alone has crashed, and others respond.
        (45, range(1), False, False),
        # Other servers send data, so no probe is needed.
        (45, range(45), True, False),
    ],
)
def test_a_host_that_uses_one_engine_alone_notices_a_cut(
    monkeypatch, servers, crashed, has_data, is_cut_off
):
    """Guards against a host that refuses requests for a model that one engine holds.

    No other server was tried, and one that fails does not show that the host is cut
    off.  Callers try that engine every 50 ms.
    """
    monitor, state = monitor_of(monkeypatch, servers, set(crashed))
    service = state.reachability.service(SERVICE)

    async def run():
        probes = asyncio.ensure_future(probe_for(monitor, 0.7))
        for _ in range(9):
            service.note_connect_failure(("s-0", 1), monotonic_s())
            if has_data:
                service.note_received(("s-1", 1), -9.0, monotonic_s())
            await asyncio.sleep(0.05)
        is_known = service.is_cut_off
        await probes
        return is_known

    assert asyncio.run(run()) is is_cut_off
    assert state.probes <= (0 if has_data else 9)


@pytest.mark.parametrize("sound", [1, 2])
def test_a_sound_server_among_many_that_do_not_exist_is_found(monkeypatch, sound):
    """A host took itself for cut off, as most of 47 listed servers did not exist."""
    listed = 47
    monitor, state = monitor_of(monkeypatch, listed, set(range(listed - sound)))
    service = state.reachability.service(SERVICE)

    async def run():
        for number in range(3):
            service.note_connect_failure((f"s-{number}", 1), monotonic_s())
        monitor.check(SERVICE)
        was_cut_off = service.is_cut_off
        await probe_for(monitor, 3.0)
        return was_cut_off, service.is_cut_off

    assert asyncio.run(run()) == (True, False)
    assert state.probes <= 2 * listed
