"""Which hosts join the group that decides who holds the leader's lease."""

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


def lease_manager(host, peers):
    exchange = SimpleNamespace(
        peers=peers, placement=PlacementExchange(None, peers, None, None)
    )
    settings = SimpleNamespace(host=host, bounds=Bounds())
    return LeaseManager(SimpleNamespace(settings=settings), None, exchange, None)


def peers_with_digests(host, leader="", digest_age_s=0.0):
    peers, now = Peers(Member(host, "z", "127.0.0.1:1")), monotonic_s()
    for other in HOSTS:
        if other != host:
            fence = 4 if other == leader else 0
            digest = Digest(other, "z", "127.0.0.1:1", 1, fence=fence)
            peers.merge(digest, now - digest_age_s)
    return peers


def candidates(leader="", digest_age_s=0.0):
    return [
        host
        for host in HOSTS
        if lease_manager(
            host, peers_with_digests(host, leader, digest_age_s)
        )._is_candidate()
    ]


def test_leader_candidates_join_when_there_is_no_leader():
    assert len(candidates()) == MAX_LEADER_CANDIDATES


@pytest.mark.parametrize(
    ("digest_age_s", "joining"),
    [
        (0.0, 0),
        (LEADER_SILENCE_S / 2, 0),
        (LEADER_SILENCE_S + 0.1, MAX_LEADER_CANDIDATES),
    ],
)
def test_no_host_joins_while_digests_of_a_leader_arrive(digest_age_s, joining):
    """Guards against joins that move the lease during a rolling restart."""
    joining_hosts = [h for h in candidates("h-0", digest_age_s) if h != "h-0"]
    assert abs(len(joining_hosts) - joining) <= (joining > 0)
