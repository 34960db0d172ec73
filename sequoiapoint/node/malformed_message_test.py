"""Malformed messages of other hosts.

Guards against one message that ends a loop of this host, or keeps it from sending.
"""

import ipaddress
import math
from dataclasses import replace

import hypothesis
import hypothesis.strategies as st
import pytest

from sequoiapoint.protocol.detours import (
    DetourRequest,
    ServerReply,
    decode_detour_reply,
    decode_detour_request,
    encode_detour_reply,
    encode_detour_request,
)
from sequoiapoint.protocol.digests import (
    Digest,
    Member,
    Scope,
    ServerLimit,
    TopicState,
    decode_digest,
    decode_topic_state,
    encode_digest,
    encode_topic_state,
)
from sequoiapoint.protocol.gateway import CallerRequest, ModelDemand, StoreRecord
from sequoiapoint.protocol.origins import (
    Origin,
    OriginQuery,
    OriginRecord,
    OriginReply,
    encode_origin_message,
)
from sequoiapoint.protocol.permits import (
    PermitOutcome,
    PermitReply,
    PermitRequest,
    encode_permit_message,
)
from sequoiapoint.protocol.slots import (
    SlotOutcome,
    SlotRelease,
    SlotReply,
    SlotRequest,
    encode_slot_message,
)
from standins.virtual.host_network import SERVER, HostNetwork

SENDER = ("10.0.9.1", 7)
ADDRESS = "10.0.9.1:7"
MAX_UINT32 = 2**32 - 1
SETTINGS = hypothesis.settings(
    max_examples=150,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)


def digest(**fields):
    usual = Digest(
        "odd", "z9", ADDRESS, 5, False, 3, 4, True, 0, scope=Scope.ZONE, host_count=2
    )
    return replace(usual, **fields)


def network_with_load(monkeypatch):
    """Return two zones of two hosts each, which have heard of each other.

    As the event loop's sockets, they send to no other address than an IP address.
    """
    network = HostNetwork(monkeypatch, 2, 2)
    send = network.send

    def checked_send(sender, to, data):
        ipaddress.ip_address(to[0])
        assert 0 <= to[1] < 2**16, to
        send(sender, to, data)

    network.send = checked_send
    for host in network.hosts:
        host.run(1)
        host.state.fleet.put(host.entry())
    network.run(1.5)
    return network


def receive(network, data):
    for host in network.hosts:
        host.exchange.handle_datagram(data, SENDER)


def assert_goes_on(network):
    """Check that every host still sends its digests, and hears those of its zone."""
    network.run(1.5)
    for host in network.hosts:
        live = {peer.host for peer in host.exchange.peers.live(network.now)}
        zone = {
            other.exchange._sender.local_member.host
            for other in network.hosts
            if other.zone == host.zone and other is not host
        }
        assert zone <= live
        host.exchange.permits.refresh()
        host.exchange.slots.refresh(network.now)


def limit(per_s, age_s=0.0):
    return ServerLimit(SERVER, per_s, age_s)


def members(address):
    return (Member("odd-2", "z8", address, MAX_UINT32),)


BAD_ADDRESSES = ["", "x", ":", "10.0.0.9:", "name:port", "10.0.0.9:99999", "a b:7"]
ODD_NUMBERS = [math.nan, math.inf, 1e308]


@pytest.mark.parametrize(
    "odd",
    [
        *(digest(address=address) for address in BAD_ADDRESSES),
        *(digest(scope=Scope.FLEET, members=members(a)) for a in BAD_ADDRESSES),
        *(digest(relays=members(a), contested=members(a)) for a in BAD_ADDRESSES),
        *(digest(limits=(limit(n),)) for n in ODD_NUMBERS),
        *(digest(brittle=(limit(n),)) for n in ODD_NUMBERS),
        digest(limits=(limit(1.0, MAX_UINT32 / 1000),)),
        digest(turned_away=((SERVER, MAX_UINT32 / 1000),), fallen=(SERVER,)),
        digest(counts=((SERVER, MAX_UINT32),), host_count=MAX_UINT32),
        digest(counts=((SERVER, MAX_UINT32),), scope=Scope.HOST, zone="z0"),
        digest(server_age_s=1e15, server_end=2**62, configuration_end=2**62),
        digest(host="", zone="", started_ms=2**62, fence=2**62, capacity=MAX_UINT32),
        digest(live_zones=("", "z9" * 900), is_heartbeat=True),
        digest(
            is_demand_report=True,
            scope=Scope.NONE,
            demands=(ModelDemand("", "", "", MAX_UINT32, MAX_UINT32, 4e6, 255, 4e6),),
        ),
        digest(holdings=((SERVER, {"": frozenset({""})}),), fence=1, scope=Scope.NONE),
    ],
)
def test_a_digest_with_odd_values_stops_no_host(monkeypatch, odd):
    network = network_with_load(monkeypatch)
    receive(network, encode_digest(odd))
    assert_goes_on(network)


@pytest.mark.parametrize("number", ODD_NUMBERS)
def test_a_permit_request_with_odd_values_stops_no_host(monkeypatch, number):
    network = network_with_load(monkeypatch)
    for zone in ("z0", "z1", ""):
        request = PermitRequest("odd", 1, SERVER, zone, 2**63, 4e6, number, 4e6)
        receive(network, encode_permit_message(request))
    assert_goes_on(network)


@pytest.mark.parametrize(
    "record",
    [
        b"",
        b"\xff",
        b"[]",
        b"7",
        b'{"zone": "z0"}',
        b'{"zone": 7, "address": "10.0.9.1:7"}',
        b'{"zone": "z0", "address": 7}',
        b'{"zone": "z0", "address": "odd"}',
        b'{"zone": "z0", "address": "10.0.9.1:7", "capacity": 1e999}',
        b'{"zone": "z0", "address": "10.0.9.1:7", "capacity": -1}',
        b'{"zone": "z0", "address": "10.0.9.1:7", "capacity": 99999999999}',
    ],
)
def test_a_record_of_a_host_with_odd_values_stops_no_host(monkeypatch, record):
    network = network_with_load(monkeypatch)
    for host in network.hosts:
        host.exchange._registry._add_peer("odd", record, network.now)
    assert_goes_on(network)


ORIGIN = Origin("v1", SERVER, 0.2)
VALID = [
    encode_digest(
        digest(
            counts=((SERVER, 3),),
            members=members(ADDRESS),
            relays=members(ADDRESS),
            limits=(limit(3.0),),
            turned_away=((SERVER, 0.1),),
            holdings=((SERVER, {"m": frozenset({"a"})}),),
            suspicions=(("f", frozenset({"d"})),),
            live_zones=("z0", "z1"),
        )
    ),
    encode_slot_message(SlotRequest("odd", 1, ("s-1",), 0, 2.0, 0.5)),
    encode_slot_message(SlotReply("odd", 1, SlotOutcome.GRANTED, SERVER)),
    encode_slot_message(SlotRelease("odd", 1, SERVER)),
    encode_permit_message(PermitRequest("odd", 1, SERVER, "z0", 7, 1.0, 3.0, 0.1)),
    encode_permit_message(PermitReply("odd", 1, PermitOutcome.DENIED, 0.5, True)),
    encode_origin_message(OriginRecord("s", ORIGIN)),
    encode_origin_message(OriginQuery("s", 1)),
    encode_origin_message(OriginReply("s", 1, ORIGIN)),
]


@st.composite
def mutated(draw, messages):
    """Draw a valid message with some bytes changed, cut off or added, or any bytes."""
    data = bytearray(draw(st.sampled_from(messages)))
    for _ in range(draw(st.integers(0, 6))):
        data[draw(st.integers(0, len(data) - 1))] = draw(st.integers(0, 255))
    if draw(st.booleans()):
        del data[draw(st.integers(1, len(data))) :]
    first = bytes(data[:1])
    return draw(
        st.sampled_from([bytes(data), bytes(data) + draw(st.binary(max_size=9))])
        | st.binary(max_size=80)
        | st.binary(max_size=80).map(lambda rest: first + rest)
    )


def test_no_datagram_stops_a_host(monkeypatch):
    network = network_with_load(monkeypatch)

    @SETTINGS
    @hypothesis.given(st.lists(mutated(VALID), min_size=1, max_size=8))
    def check(datagrams):
        for data in datagrams:
            receive(network, data)
        network.run(0.6)

    check()


REQUEST = CallerRequest("id", "GET", "h", "/r/x", ((b"a", b"b"),), b"body")
BODIES = [
    (encode_topic_state, TopicState((StoreRecord(3, "k", b"v"),), 4, True, 0.2)),
    (encode_detour_request, DetourRequest("h", 1, 2.0, 2, False, REQUEST)),
    (encode_detour_reply, ServerReply(200, ((b"a", b"b"),), True, 1)),
]
DECODERS = [decode_topic_state, decode_detour_request, decode_detour_reply]


@pytest.mark.parametrize(
    ("body", "decode"),
    [(e(m), d) for (e, m), d in zip(BODIES, DECODERS, strict=True)],
    ids=[d.__name__ for d in DECODERS],
)
def test_the_body_of_a_call_is_decoded_or_a_value_error(body, decode):
    """Those who decode it handle a ``ValueError``, and count and log it."""

    @SETTINGS
    @hypothesis.given(mutated([body]))
    def check(data):
        try:
            decode(data)
        except ValueError:
            return

    check()


@SETTINGS
@hypothesis.given(mutated(VALID[:1]))
def test_a_datagram_is_a_digest_or_a_value_error(data):
    try:
        decode_digest(data)
    except ValueError:
        return
