"""Interleavings of a lease that moves between hosts, searched in virtual time.

The store loses single hosts for a while and moves the lease at any moment, and it comes
back older, with the group as it was some generations ago; digests arrive with a delay.
No two hosts may order within the handover gap, unless one of them was cut off from the
store shortly before: the users' rule counts only hosts in touch with it.  No two hosts
ever order with the same fencing token.
"""

from types import SimpleNamespace

import hypothesis
import hypothesis.strategies as st

from sequoiapoint.node import lease_manager as lease_manager_module
from sequoiapoint.node.lease_manager import (
    CANDIDATE_CHECK_INTERVAL_S,
    CANDIDATE_RENEWAL_INTERVAL_S,
    LEADER_RENEWAL_INTERVAL_S,
    LeaseManager,
)
from sequoiapoint.node.placement_exchange import PlacementExchange
from sequoiapoint.protocol.digests import Digest, Member
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.gateway import GroupMembership
from sequoiapoint.protocol.gateway_settings import Bounds
from sequoiapoint.state.peers import Peers

STEP_S = 0.05
DURATION_S = 12.0
DIGEST_INTERVAL_S = 0.5
CONTACT_S = 3.0
"""Time after which a host that reaches the store again is in touch with it."""
HOSTS = ("h-0", "h-1", "h-2")
GAP_S = Bounds().order_lease_s


class _Group:
    """The group in the store, whose only partition is the lease."""

    def __init__(self, world):
        self._world = world
        self._expires_at = {}
        self._owner = ""
        self._generation = 0
        self.era = 0

    def go_back(self, generations):
        """Come back older: without members, and with a generation from before."""
        self.era += 1
        self._generation = max(0, self._generation - generations)
        self._expires_at, self._owner = {}, ""

    def move(self, choice):
        """Assign the lease to one of the members."""
        self._expires_at = {
            host: at for host, at in self._expires_at.items() if at > self._world.now
        }
        members = sorted(self._expires_at)
        self._generation += 1
        self._owner = members[choice % len(members)] if members else ""

    def join(self, host, lease_s, choice):
        is_new = self._expires_at.get(host, 0.0) <= self._world.now
        self._expires_at[host] = self._world.now + lease_s
        has_owner = self._expires_at.get(self._owner, 0.0) > self._world.now
        if is_new or not has_owner:
            self.move(choice)
        owned = frozenset({0}) if self._owner == host else frozenset()
        return GroupMembership(self._generation, owned, self.era)


class _Host:
    def __init__(self, world, name):
        self.name = name
        self._world = world
        self.era = 0
        self.cut_until = self.silent_until = -100.0
        self.next_turn_at = self.next_digest_at = 0.0
        self.announced = 0
        self.peers = Peers(self.member)
        placement = PlacementExchange(
            None, self.peers, SimpleNamespace(fence=0), lambda: None
        )
        exchange = SimpleNamespace(peers=self.peers, placement=placement)
        settings = SimpleNamespace(host=name, bounds=Bounds())
        state = SimpleNamespace(settings=settings, is_draining=False)
        self.manager = LeaseManager(state, self, exchange, lambda: None)

    @property
    def member(self):
        return Member(self.name, "z", f"10.0.0.{self.name[-1]}:1")

    async def join(self, group, topic, member, lease_s, generation):
        if self._world.now < self.cut_until:
            return Failure(FailureKind.REFUSED, "timed_out", "join", "store", "")
        membership = self._world.group.join(self.name, lease_s, self._world.choice())
        self.era = membership.era
        return membership

    def take_turn(self):
        """Renew the lease or join the group when it is due, as the manager's loop."""
        now = self._world.now
        if now >= self.next_turn_at:
            pause_s = CANDIDATE_CHECK_INTERVAL_S
            if self.manager.is_held or self.manager._is_candidate():
                try:
                    self.manager._join().send(None)
                except StopIteration:
                    pass
                pause_s = (
                    LEADER_RENEWAL_INTERVAL_S
                    if self.manager.is_held
                    else CANDIDATE_RENEWAL_INTERVAL_S
                )
            self.next_turn_at = now + pause_s
        fence = self.manager.fence if self.manager.is_held else 0
        if now >= self.next_digest_at or fence != self.announced:
            self.announced, self.next_digest_at = fence, now + DIGEST_INTERVAL_S
            self._world.send(
                self, Digest(**vars(self.member), started_ms=1, fence=fence)
            )
        if self.manager.is_held and self.manager.may_order():
            order = (now, self.name, self._is_in_touch(now), self.manager.fence)
            self._world.orders.append(order)

    def _is_in_touch(self, now):
        return now - max(self.cut_until, self.silent_until) > CONTACT_S


class _World:
    def __init__(self, events, choices, delay_s):
        self.now = 0.0
        self._events = sorted(events)
        self._choices = choices or [0]
        self._choice_count = 0
        self._delay_s = delay_s
        self._in_transit = []
        self.group = _Group(self)
        self.orders = []
        self.hosts = [_Host(self, name) for name in HOSTS]
        for host in self.hosts:
            for other in self.hosts:
                if other is not host:
                    host.peers.merge(Digest(**vars(other.member), started_ms=1), 0.0)

    def choice(self):
        self._choice_count += 1
        return self._choices[self._choice_count % len(self._choices)]

    def send(self, sender, digest):
        for host in self.hosts:
            if host is not sender and self.now >= sender.silent_until:
                self._in_transit.append((self.now + self._delay_s, host, digest))

    def run(self):
        while self.now < DURATION_S:
            self.now += STEP_S
            while self._events and self._events[0][0] <= self.now:
                _, kind, number, duration_s = self._events.pop(0)
                if kind == "move":
                    self.group.move(number)
                elif kind == "older":
                    self.group.go_back(1 + number)
                elif kind == "cut":
                    self.hosts[number].cut_until = self.now + duration_s
                else:
                    self.hosts[number].silent_until = self.now + duration_s
            arrived = [m for m in self._in_transit if m[0] <= self.now]
            self._in_transit = [m for m in self._in_transit if m[0] > self.now]
            for _, host, digest in arrived:
                host.peers.merge(digest, self.now)
            for host in self.hosts:
                host.take_turn()


EVENTS = st.lists(
    st.tuples(
        st.floats(1.0, DURATION_S - 1.0),
        st.sampled_from(["move", "move", "older", "cut", "silent"]),
        st.integers(0, len(HOSTS) - 1),
        st.sampled_from([0.6, 1.3, 2.5]),
    ),
    max_size=8,
)


@hypothesis.settings(max_examples=150)
@hypothesis.given(
    EVENTS, st.lists(st.integers(0, 2), max_size=6), st.sampled_from([0.05, 0.2])
)
def test_no_two_hosts_in_touch_order_within_the_handover_gap(events, choices, delay_s):
    world = _World(events, choices, delay_s)
    clock = SimpleNamespace(monotonic_s=lambda: world.now, boot=lambda: world.now + 9.0)
    originals = (lease_manager_module.monotonic_s, lease_manager_module.since_boot_s)
    lease_manager_module.monotonic_s = clock.monotonic_s
    lease_manager_module.since_boot_s = clock.boot
    try:
        world.run()
    finally:
        lease_manager_module.monotonic_s, lease_manager_module.since_boot_s = originals
    last, holders = {}, {}
    for at, host, is_in_touch, fence in world.orders:
        assert holders.setdefault(fence, host) == host, (at, host, fence)
        for other, (other_at, other_in_touch) in last.items():
            if other != host and is_in_touch and other_in_touch:
                assert at - other_at >= GAP_S - STEP_S, (at, host, other_at, other)
        last[host] = (at, is_in_touch)
