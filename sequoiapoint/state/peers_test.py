import hypothesis
import hypothesis.strategies as st
import pytest

from sequoiapoint.protocol.digests import Digest, Member, Scope
from sequoiapoint.state.peers import LIVENESS_TIMEOUT_S, PEER_RETENTION_S, Peers

OWN = Member("own", "z", "10.0.0.9:1")


def digest(host, started_ms=1, **fields):
    return Digest(host, "z", f"10.0.0.{len(host)}:1", started_ms, **fields)


def test_a_host_is_new_once_for_each_of_its_processes():
    peers = Peers(OWN)
    assert peers.merge(digest("a"), 0.0)
    assert not peers.merge(digest("a"), 1.0)
    assert peers.merge(digest("a", 2), 2.0)
    assert not peers.merge(digest("a", 1), 3.0)
    assert peers.live(2.0)[0].digest.started_ms == 2


@pytest.mark.parametrize(
    ("fields", "age", "live"),
    [
        ({}, 1.0, True),
        ({}, LIVENESS_TIMEOUT_S + 0.1, False),
        ({"is_leaving": True}, 0.1, False),
    ],
)
def test_a_host_is_live_while_its_digests_are_recent_and_it_is_not_leaving(
    fields, age, live
):
    peers = Peers(OWN)
    peers.merge(digest("a", **fields), 0.0)
    assert bool(peers.live(age)) is live


def test_a_silent_host_is_retained_for_a_limited_time():
    peers = Peers(OWN)
    peers.add(Member("a", "z", "10.0.0.1:1"), 0.0)
    assert peers.retained(PEER_RETENTION_S - 1)
    assert not peers.live(0.0)
    assert not peers.retained(PEER_RETENTION_S + 1)


def test_the_leader_is_the_live_host_with_the_highest_fencing_token():
    peers = Peers(OWN)
    peers.merge(digest("a", fence=3), 0.0)
    peers.merge(digest("bb", fence=5), 0.0)
    peers.merge(digest("ccc"), 0.0)
    assert peers.leader(0.1).host == "bb"
    assert peers.leader(LIVENESS_TIMEOUT_S + 1) is None


def test_relays_are_the_hosts_of_a_zone_with_the_most_capacity():
    peers = Peers(Member("own", "z", "10.0.0.9:1", 500))
    for host, capacity in (("a", 500), ("bb", 2150), ("ccc", 500), ("dddd", 2150)):
        peers.merge(digest(host, capacity=capacity), 0.0)
    assert {relay.host for relay in peers.own_relays(0.1)} == {"bb", "dddd"}
    assert peers.leader_candidates(1, 0.1) == [peers.own_relays(0.1)[1].host]


HOSTS = st.sampled_from(["a", "bb"])
STEP = st.tuples(
    st.sampled_from(["digest", "leaving", "restart", "add", "listed"]),
    HOSTS,
    st.sampled_from([100, 900]),
    st.sampled_from([0.0, LIVENESS_TIMEOUT_S]),
)


@hypothesis.given(st.lists(STEP, min_size=9, max_size=25))
def test_relays_change_with_the_hosts_at_once(steps):
    """Guards against relays that are kept although a host is new, changed or gone."""
    peers, now = Peers(Member("own", "z", "10.0.0.9:1", 500)), 0.0
    for number, (kind, host, capacity, pause_s) in enumerate(steps):
        now += pause_s
        peers.own_relays(now)
        member = digest(host, capacity=capacity).sender
        if kind == "add":
            peers.add(member, now)
        elif kind == "listed":
            totals = {"scope": Scope.FLEET, "members": (member,), "capacity": 700}
            peers.merge(digest("aggregator", **totals), now)
        else:
            started_ms = number if kind == "restart" else 0
            is_leaving = kind == "leaving"
            sent = digest(host, started_ms, capacity=capacity, is_leaving=is_leaving)
            peers.merge(sent, now)
        known = peers.own_relays(now)
        peers._own_relays = None
        assert known == peers.own_relays(now)


@pytest.mark.parametrize(
    ("is_leaving", "new_address", "is_known"),
    [(False, "", True), (True, "", False), (False, "10.0.0.7:2", False)],
)
def test_an_aggregator_is_known_only_with_its_digest(is_leaving, new_address, is_known):
    """A host's exchange with all others failed as its zone's aggregator stopped.

    The totals of a host that drains list the host itself as live.
    """
    peers, listed = Peers(OWN), (digest("a").sender, OWN)
    totals = digest("a", scope=Scope.FLEET, members=listed, is_leaving=is_leaving)
    peers.merge(totals, 0.0)
    if new_address:
        peers.add(Member("a", "z", new_address), 0.0)
    aggregator = peers.aggregator(0.1, 1.0)
    assert (aggregator is not None) is is_known
    assert aggregator is None or aggregator.digest is totals
