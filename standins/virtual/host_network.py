"""Exchange of digests between many hosts on a simulated network and clock."""

import functools
import math
import random
from collections import Counter
from types import SimpleNamespace

from sequoiapoint.coordination.fan_out import BYTES_PER_MBIT
from sequoiapoint.coordination.prompt_quarantine import PromptQuarantine
from sequoiapoint.coordination.quarantine import Quarantine
from sequoiapoint.node import (
    allowance_exchange,
    digest_sender,
    origin_exchange,
    origin_store,
    peer_exchange,
    permit_exchange,
    slot_exchange,
    topic_exchange,
    version_history,
)
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.host_capacity import ConnectionLimits
from sequoiapoint.node.peer_exchange import DIGEST_INTERVAL_S, PeerExchange
from sequoiapoint.protocol.gateway import ServerEntry, ServerState
from sequoiapoint.protocol.gateway_settings import Bounds
from sequoiapoint.state.brittle_servers import BrittleServers
from sequoiapoint.state.demand import LocalDemand
from sequoiapoint.state.fleet import Fleet
from sequoiapoint.state.keyed_topic import KeyedTopic
from sequoiapoint.state.server_limits import ServerLimits
from sequoiapoint.state.server_load import ServerLoads
from sequoiapoint.state.server_speed import ServerSpeeds
from sequoiapoint.state.topic_freshness import TopicFreshness
from sequoiapoint.transport.caller_budget import CallerBudget

SERVER = ("s-1", 1)
LINK_QUEUE_S = 0.1
"""Time for which a host's link can hold datagrams before it drops more."""
STEP_S = 0.05
"""Time step of the simulation, in which the hosts with due digests send them."""


class SimulatedHost:
    """One host's exchange, with test doubles for the rest of the process."""

    def __init__(self, network, name, zone):
        self.address = f"10.0.{len(network.hosts)}.1:7"
        settings = SimpleNamespace(
            host=name,
            zone=zone,
            peer_address=self.address,
            link_mbps=network.link_mbps,
            cpu_share=0.5,
            cpu_speed=1.0 + (len(network.hosts) % 7 == 0),
            bounds=network.bounds,
        )
        self.state = SimpleNamespace(
            settings=settings,
            started_ms=1,
            rng=random.Random(3),
            is_draining=False,
            loads=ServerLoads(),
            fleet=Fleet(),
            demand=LocalDemand(),
            quarantine=Quarantine(3),
            prompt_quarantine=PromptQuarantine(),
            apply_rejected_parts=lambda source: None,
            limits=ServerLimits(),
            brittle=BrittleServers(),
            speeds=ServerSpeeds(),
            shared_state_changed=lambda: None,
            wait_queue=SimpleNamespace(notify=lambda: None),
            replan_requested=SimpleNamespace(set=lambda: None),
            configuration=None,
            host_count=1,
            recent_max_host_count=1,
            caller_budget=CallerBudget(math.inf),
            connection_limits=ConnectionLimits(callers=1_000, peers=1_000, checks=1),
            log=SimpleNamespace(event=self._log),
            metrics=SimpleNamespace(event=lambda *a: None),
            note_server_leaving=lambda entry, source, now: (
                self.state.fleet.note_leaving(entry.incarnation, now)
            ),
        )
        self.state.note_server_limit = functools.partial(
            GatewayState.note_server_limit, self.state
        )
        for method in ("note_server_brittle", "note_turned_away", "note_fall"):
            function = getattr(GatewayState, method)
            setattr(self.state, method, functools.partial(function, self.state))
        topics = [
            SimpleNamespace(
                topic=name,
                content=KeyedTopic(),
                freshness=TopicFreshness(),
            )
            for name in ("c", "s")
        ]
        self.watch = watch = SimpleNamespace(
            configuration=topics[0],
            servers=topics[1],
            reads_via_relay=None,
            on_advance=None,
            handle_announcement=lambda *a: None,
        )
        store = SimpleNamespace(is_reachable=True, era=0, on_era_change=[])
        self.store = store
        self.zone = zone
        self.exchange = PeerExchange(self.state, store, watch)
        self.exchange._sender.transport = SimpleNamespace(
            sendto=lambda data, to: network.send(self, to, data)
        )
        self.link_free_at = 0.0
        self.followed_aggregators = []
        self.next_digest_at = network.rng.uniform(0.0, DIGEST_INTERVAL_S)

    def _log(self, event, *outcome, **fields):
        if event == "aggregator":
            self.followed_aggregators.append(fields["followed"])

    def entry(self):
        """Return the entry of the one server of the deployment."""
        return ServerEntry(
            SERVER[0], "lm", "10.1.0.1:9", "z0", ServerState.READY, SERVER[1], 8
        )

    def run(self, requests):
        """Start requests at the server."""
        load = self.state.loads.get_or_create(SERVER)
        for number in range(requests):
            load.note_sent(number, 0.0)

    def send_digests(self, now):
        """Send the digests that a host sends twice a second."""
        exchange = self.exchange
        self.state.host_count = exchange.peers.record_host_count(now)
        self.state.recent_max_host_count = exchange.peers.recent_max_host_count()
        exchange._send_counts(now)
        exchange.allowances.refresh()
        exchange.placement.broadcast_holdings(now)
        exchange.placement.send_demand(now)


class HostNetwork:
    """Hosts in zones, each of which knows the others' addresses from the store."""

    def __init__(self, monkeypatch, zones, hosts_in_zone, link_mbps=20.0, bounds=None):
        self.link_mbps = link_mbps
        self.bounds = bounds or Bounds()
        self.rng = random.Random(7)
        self.now = 100.0
        self.hosts, self.sent, self.stopped_hosts = [], [], set()
        self.received = Counter()
        self.lost = 0
        self.cross_zone_bytes = 0
        self.isolated_zones, self.isolated_hosts = set(), set()
        self.blocked_pairs = set()
        """Pairs of hosts that do not hear each other, each as a frozenset."""
        for module in (allowance_exchange, digest_sender, topic_exchange):
            monkeypatch.setattr(module, "since_boot_s", lambda: self.now)
        for module in (
            allowance_exchange,
            peer_exchange,
            topic_exchange,
            digest_sender,
            permit_exchange,
            slot_exchange,
            origin_exchange,
            origin_store,
            version_history,
        ):
            monkeypatch.setattr(module, "monotonic_s", lambda: self.now)
        for number in range(zones * hosts_in_zone):
            self.hosts.append(SimulatedHost(self, f"h-{number}", f"z{number % zones}"))
        for host in self.hosts:
            for other in self.hosts:
                if other is not host:
                    member = other.exchange._sender.local_member
                    host.exchange.peers.add(member, self.now)

    def run(self, seconds):
        """Advance the clock; send digests when they are due."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def step(self):
        """Advance the clock by one step."""
        self.now += STEP_S
        for host in self.hosts:
            is_due = host.next_digest_at <= self.now - 100.0
            if is_due and host not in self.stopped_hosts:
                host.next_digest_at += DIGEST_INTERVAL_S
                host.send_digests(self.now)
            host.exchange._sender.flush()
        self.deliver_pending()

    def send(self, sender, to, data):
        """Put a datagram on the sender's link, unless the link's queue is full."""
        start = max(self.now, sender.link_free_at)
        if start - self.now > LINK_QUEUE_S:
            self.lost += 1
            return
        link_bytes_per_s = self.link_mbps * BYTES_PER_MBIT
        sender.link_free_at = start + len(data) / link_bytes_per_s
        self.sent.append((sender, to, data))

    def deliver_pending(self):
        """Deliver the datagrams on their way, and those sent in return."""
        by_address = {h.address: h for h in self.hosts}
        while self.sent:
            batch, self.sent = self.sent, []
            for sender, to, data in batch:
                receiver = by_address.get("{}:{}".format(*to))
                if receiver is not None:
                    self._deliver(sender, receiver, data)

    def _deliver(self, sender, receiver, data):
        if receiver in self.stopped_hosts or sender in self.stopped_hosts:
            return
        if {sender, receiver} & self.isolated_hosts:
            return
        if frozenset((sender, receiver)) in self.blocked_pairs:
            return
        if sender.zone != receiver.zone:
            if {sender.zone, receiver.zone} & self.isolated_zones:
                return
            self.cross_zone_bytes += len(data)
        self.received[receiver] += 1
        host, _, port = sender.address.rpartition(":")
        receiver.exchange.handle_datagram(data, (host, int(port)))

    def aggregators(self):
        """Return the running hosts that aggregate for their zone."""
        return [
            host
            for host in self.hosts
            if host not in self.stopped_hosts
            and host.exchange.peers.is_aggregator(self.now)
        ]

    def live(self):
        """Return the running hosts."""
        return [host for host in self.hosts if host not in self.stopped_hosts]
