"""Who joins the group whose partition is the lease for orders."""

from types import SimpleNamespace

import pytest

from sequoiapoint.node.lease_manager import LEADER_SILENCE_S, LeaseManager
from sequoiapoint.node.placement_exchange import (
    MAX_LEADER_CANDIDATES,
    PlacementExchange,
)
from sequoiapoint.protocol.digests import Digest, Member
from sequoiapoint.protocol.gateway_settings import Bounds
from sequoiapoint.state.peers import Peers
from sequoiapoint.transport.clock import monotonic_s

HOSTS = [f"h-{n}" for n in range(9)]


def keeper(host, peers):
    exchange = SimpleNamespace(
        peers=peers, placement=PlacementExchange(None, peers, None, None)
    )
    settings = SimpleNamespace(host=host, bounds=Bounds())
    return LeaseManager(SimpleNamespace(settings=settings), None, exchange, None)


def peers_of(host, holder="", heard_before_s=0.0):
    peers, now = Peers(Member(host, "z", "127.0.0.1:1")), monotonic_s()
    for other in HOSTS:
        if other != host:
            fence = 4 if other == holder else 0
            digest = Digest(other, "z", "127.0.0.1:1", 1, fence=fence)
            peers.merge(digest, now - heard_before_s)
    return peers


def candidates(holder="", heard_before_s=0.0):
    return [
        host
        for host in HOSTS
        if keeper(host, peers_of(host, holder, heard_before_s))._is_candidate()
    ]


def test_a_few_hosts_want_the_lease_when_nobody_holds_it():
    assert len(candidates()) == MAX_LEADER_CANDIDATES


@pytest.mark.parametrize(
    ("heard_before_s", "joining"),
    [
        (0.0, 0),
        (LEADER_SILENCE_S / 2, 0),
        (LEADER_SILENCE_S + 0.1, MAX_LEADER_CANDIDATES),
    ],
)
def test_nobody_joins_beside_a_holder_that_is_heard_of(heard_before_s, joining):
    """Replays a rolling restart: hosts come and go while one gives orders."""
    others = [h for h in candidates("h-0", heard_before_s) if h != "h-0"]
    assert abs(len(others) - joining) <= (joining > 0)
