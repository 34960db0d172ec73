"""Requests for slots between hosts whose datagrams may be lost."""

import asyncio
from types import SimpleNamespace

import pytest

from sequoiapoint.coordination.slot_allocator import released
from sequoiapoint.node import slot_exchange
from sequoiapoint.node.gateway_state import WaitQueue
from sequoiapoint.node.slot_exchange import ALLOCATOR_WARM_UP_S, SlotExchange
from sequoiapoint.protocol.digests import Member
from sequoiapoint.protocol.gateway import HeldModel, ServerEntry, ServerState
from sequoiapoint.protocol.slots import (
    SlotOutcome,
    SlotQuality,
    SlotReply,
    SlotRequest,
    decode_slot_message,
)
from sequoiapoint.state.brittle_servers import BrittleServers
from sequoiapoint.state.fleet import Fleet
from sequoiapoint.state.server_load import ServerLoads
from sequoiapoint.state.server_speed import ServerSpeeds

ALLOCATOR = Member("h-0", "z", "10.0.0.1:7")
HOST = Member("h-1", "z", "10.0.0.2:7")
ENGINE = ("e-1", 1)


class _Network:
    """Delivers datagrams at once, unless the receiver is unreachable."""

    def __init__(self):
        self.now = 100.0
        self.unreachable = set()
        self.exchanges = {}

    def add(self, member, slots=1, started_ms=1, servers=("e-1",)):
        fleet = Fleet()
        models = (HeldModel("oak", frozenset()),)
        for server in servers:
            fields = ("lm", "10.1.0.1:9", "z", ServerState.READY, 1, slots, models)
            fleet.put(ServerEntry(server, *fields))
        log = SimpleNamespace(event=lambda *a, **f: None)
        state = SimpleNamespace(
            settings=SimpleNamespace(host=member.host),
            started_ms=started_ms,
            fleet=fleet,
            loads=ServerLoads(),
            brittle=BrittleServers(),
            speeds=ServerSpeeds(),
            configuration=None,
            wait_queue=WaitQueue(),
            recent_max_host_count=100,
            is_draining=False,
            log=log,
            metrics=SimpleNamespace(event=lambda *a: None),
        )
        peers = SimpleNamespace(
            aggregator_host=ALLOCATOR.host,
            is_aggregator=lambda now: member == ALLOCATOR,
            peer=lambda host: SimpleNamespace(member=ALLOCATOR),
            relays=lambda zone, now: (),
        )
        sender = SimpleNamespace(
            local_member=member,
            forward=lambda data, members: self._deliver(data, member, members),
        )
        self.exchanges[member.address] = exchange = SlotExchange(state, peers, sender)
        return exchange

    def _deliver(self, data, sender, members):
        host, _, port = sender.address.rpartition(":")
        for member in members:
            if member.address not in self.unreachable:
                self.exchanges[member.address].handle_datagram(data, (host, int(port)))


@pytest.fixture
def network(monkeypatch):
    result = _Network()
    monkeypatch.setattr(slot_exchange, "monotonic_s", lambda: result.now)
    monkeypatch.setattr(slot_exchange, "REPLY_TIMEOUT_S", 0.01)
    return result


def start(network, slots=1):
    allocator, host = network.add(ALLOCATOR, slots), network.add(HOST)
    allocator.refresh(network.now)
    network.now += ALLOCATOR_WARM_UP_S + 0.01
    allocator.refresh(network.now)
    return allocator, host


def request(ticket, host=HOST):
    return SlotRequest(host.host, ticket.number, ("e-1",), 0, 5.0, 0.3)


async def ask(exchange, ticket, host=HOST):
    return await exchange.ask(ticket, "z", request(ticket, host))


@pytest.mark.parametrize("is_own", [False, True])
def test_a_host_is_granted_a_slot_and_releases_it(network, is_own):
    allocator, host = start(network)
    exchange, member = (allocator, ALLOCATOR) if is_own else (host, HOST)

    async def run():
        with exchange.ticket() as ticket:
            assert await ask(exchange, ticket, member) is SlotOutcome.GRANTED
            assert ticket.grant.engine == ENGINE
            ticket.is_used = True
        assert allocator.allocator._engines[ENGINE].used == 1
        exchange.release(ticket, SlotQuality.ON_TIME)
        assert allocator.allocator._engines[ENGINE].used == 0

    asyncio.run(run())


def test_a_new_allocator_grants_nothing_before_it_has_reports(network):
    allocator, host = network.add(ALLOCATOR), network.add(HOST)
    allocator.refresh(network.now)

    async def run():
        with host.ticket() as ticket:
            assert await ask(host, ticket) is SlotOutcome.UNAVAILABLE

    asyncio.run(run())


def test_a_silent_allocator_is_not_asked_again_for_a_while(network):
    start(network)
    host = network.exchanges[HOST.address]
    network.unreachable.add(ALLOCATOR.address)

    async def run():
        with host.ticket() as ticket:
            assert await ask(host, ticket) is SlotOutcome.UNAVAILABLE
            network.unreachable.clear()
            assert await ask(host, ticket) is SlotOutcome.UNAVAILABLE
            network.now += slot_exchange.ALLOCATOR_BACKOFF_S
            assert await ask(host, ticket) is SlotOutcome.GRANTED

    asyncio.run(run())


def test_a_waiting_request_is_woken_by_the_slot_that_another_host_frees(network):
    allocator, host = start(network)

    async def run():
        with allocator.ticket() as first, host.ticket() as second:
            assert await ask(allocator, first, ALLOCATOR) is SlotOutcome.GRANTED
            assert await ask(host, second) is SlotOutcome.QUEUED
            wait = asyncio.create_task(
                host._state.wait_queue.wait(0, 0.0, 0.0, 5.0, second.number)
            )
            await asyncio.sleep(0)
            allocator.release(first, SlotQuality.ON_TIME)
            await asyncio.wait_for(wait, 1.0)
            assert second.grant.engine == ENGINE

    asyncio.run(run())


def test_slots_of_requests_that_are_given_up_become_free(network):
    """Covers a request that is granted a slot after it has been given up."""
    allocator, host = start(network)

    async def run():
        with host.ticket() as granted, host.ticket() as queued:
            assert await ask(host, granted) is SlotOutcome.GRANTED
            assert await ask(host, queued) is SlotOutcome.QUEUED
            network.unreachable.add(HOST.address)
        assert allocator.allocator.queue_length == 0
        assert allocator.allocator._engines[ENGINE].used == 0

    asyncio.run(run())


@pytest.mark.parametrize(("sender", "is_taken"), [("late:1", False), ("now:1", True)])
def test_a_late_reply_is_not_taken_for_that_of_the_next_allocator(
    network, sender, is_taken
):
    """Its predicted wait would count as that of the other zone."""
    _, host = start(network)

    async def run():
        with host.ticket() as ticket:
            ticket.reply = asyncio.get_running_loop().create_future()
            members = [Member(name, "z", f"{name}:1") for name in ("late", "now")]
            network.unreachable |= {member.address for member in members}
            ticket.asked = {member.address: member for member in members}
            ticket.awaited = "now:1"
            reply = SlotReply(HOST.host, ticket.number, SlotOutcome.QUEUED, wait_s=9.0)
            host._handle(reply, Member("", "", sender))
            return ticket.reply.done()

    assert asyncio.run(run()) is is_taken


@pytest.mark.parametrize("is_queued", [False, True])
def test_a_restarted_host_does_not_use_the_slots_of_its_former_process(
    network, is_queued
):
    """Guards against requests run by a service that they were not sent to."""
    servers = ("e-1", "e-2")
    allocator = network.add(ALLOCATOR, servers=servers)
    former = network.add(HOST, servers=servers)
    allocator.refresh(network.now)
    network.now += ALLOCATOR_WARM_UP_S + 0.01
    allocator.refresh(network.now)

    async def run():
        with allocator.ticket() as other:
            if is_queued:
                await ask(allocator, other, ALLOCATOR)
            before = former.ticket()
            former.open(before)
            await ask(former, before)
            host = network.add(HOST, started_ms=1500, servers=servers)
            with host.ticket() as ticket:
                wanted = SlotRequest(HOST.host, ticket.number, ("e-2",), 0, 5.0, 0.3)
                if is_queued:
                    allocator.release(other, SlotQuality.ON_TIME)
                    assert ticket.grant is None
                assert await host.ask(ticket, "z", wanted) is SlotOutcome.GRANTED
                assert ticket.grant.engine == ("e-2", 1)

    asyncio.run(run())


@pytest.mark.parametrize(
    ("host", "server"), [(HOST.host, "e-2"), ("another host", "e-1")]
)
def test_a_grant_that_does_not_fit_the_request_is_given_back(network, host, server):
    """An allocator of an earlier build repeats a grant whatever is asked for."""
    start(network)
    exchange, sent = network.exchanges[HOST.address], []
    exchange._sender.forward = lambda data, members: sent.append((data, members))

    async def run():
        with exchange.ticket() as ticket:
            asking = asyncio.create_task(ask(exchange, ticket))
            await asyncio.sleep(0)
            grant = SlotReply(host, ticket.number, SlotOutcome.GRANTED, (server, 1))
            exchange._handle(grant, ALLOCATOR)
            assert ticket.grant is None
            data, members = sent[-1]
            expected = released(grant, SlotQuality.UNUSED)
            assert decode_slot_message(data) == expected
            assert members == [ALLOCATOR]
            assert await asking is SlotOutcome.UNAVAILABLE

    asyncio.run(run())


@pytest.mark.parametrize("data", [b"\xff", b"\xffnonsense", b"\xff\x00\x00"])
def test_unreadable_messages_are_dropped(network, data):
    allocator, _ = start(network)
    allocator.handle_datagram(data, ("10.0.0.9", 7))
    assert allocator.allocator.queue_length == 0
