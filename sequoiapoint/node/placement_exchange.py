"""Digests between the leader and the other hosts: fencing token, holdings and demand.

The leader is the host that sends orders to engines.  It sends the engines' holdings,
that is, their resident models and adapters, to all relays, which forward them unchanged
to the hosts of their zones.  A change of only adapters goes just to the hosts whose
requests wait for them.  All hosts report their demand to the leader directly.
"""

from collections.abc import Callable, Hashable, Iterable, Mapping, Set

from sequoiapoint.node.digest_sender import DigestSender
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.digests import Digest, Scope, encode_digest
from sequoiapoint.protocol.gateway import Incarnation
from sequoiapoint.state.demand import ClusterDemand
from sequoiapoint.state.peers import Peers

DEMAND_INTERVAL_PER_HOST_S = 0.012
"""Interval between a host's demand reports, per host in the cluster.  With up to 80
hosts, the leader receives about 80 reports per second."""
MAX_DEMAND_INTERVAL_S = 1.0
"""Maximum interval between a host's demand reports; two in a row may be lost."""
MIN_URGENT_INTERVAL_PER_HOST_S = 0.002
"""Minimum interval between a host's urgent demand reports, per host in the cluster.
The leader receives at most 500 per second, which takes a twentieth of a core."""
MIN_HOLDINGS_INTERVAL_S = 1.0
"""Minimum interval at which all holdings are sent again, and thus the delay caused by a
lost datagram."""
HOLDINGS_INTERVAL_PER_HOST_S = 0.025
"""The same per host in the cluster: 1.8 s with 72 hosts, about 6 KB/s to each host."""
MAX_HOLDINGS_PER_DIGEST = 60
"""Maximum number of engines in a digest; it takes about 12 KB, a fifth of the maximum
size of a datagram."""
MAX_LEADER_CANDIDATES = 3
"""Number of hosts that may become the leader after the current one.  If they fall
silent too, others take their place."""

Holding = tuple[Incarnation, Mapping[str, frozenset[str]]]
"""A process of an engine, and its resident models with their resident adapters."""


class PlacementExchange:
    """Sends and handles the digests about placement.

    :param on_urgent_update: Called when there is an update to be sent at once.
    :ivar cluster_demand: The demand that other hosts have reported to this host, and
        its own.
    """

    def __init__(
        self,
        state: GatewayState,
        peers: Peers,
        sender: DigestSender,
        on_urgent_update: Callable[[], None],
    ) -> None:
        self._state = state
        self._peers = peers
        self._sender = sender
        self._on_urgent_update = on_urgent_update
        self._pending_broadcasts: set[Incarnation] = set()
        self._pending_adapter_changes: set[Incarnation] = set()
        self._is_demand_pending = False
        self._urgent_demand_sent_at = 0.0
        self._announced_fence = 0
        self._holdings_sent_at = 0.0
        self._demand_sent_at = 0.0
        self._has_reported_demand = False
        self.cluster_demand = ClusterDemand()

    @property
    def fence(self) -> int:
        """Return this host's fencing token, 0 if it is not the leader."""
        return self._sender.fence

    @fence.setter
    def fence(self, fence: int) -> None:
        self._sender.fence = fence

    @property
    def demand_interval_s(self) -> float:
        """Return the interval between a host's regular demand reports, in seconds."""
        interval_s = DEMAND_INTERVAL_PER_HOST_S * self._state.host_count
        return min(MAX_DEMAND_INTERVAL_S, interval_s)

    def has_other_leader(self, now: float, max_age_s: float) -> bool:
        """Tell whether another host has recently announced that it is the leader.

        :param max_age_s: Maximum age of its last digest, in seconds.
        """
        return any(
            peer.digest.fence > 0 and now - peer.digest_at < max_age_s
            for peer in self._peers.live(now)
        )

    def schedule_holding_update(
        self, incarnation: Incarnation, is_broadcast: bool
    ) -> None:
        """Send an engine's changed holdings at once.

        :param is_broadcast: Whether to send them to all hosts, not only to those whose
            requests wait for the engine's models and adapters.
        """
        changes = (
            self._pending_broadcasts if is_broadcast else self._pending_adapter_changes
        )
        changes.add(incarnation)
        self._on_urgent_update()

    def schedule_demand_report(self) -> None:
        """Send a demand report to the leader at once, as requests wait."""
        self._is_demand_pending = True
        self._on_urgent_update()

    def send_periodic(self, now: float) -> None:
        """Announce the fencing token, and send holdings and demand if they are due."""
        self.broadcast_holdings(now)
        if now - self._demand_sent_at >= self.demand_interval_s:
            self.send_demand(now)

    def send_pending(self, now: float) -> None:
        """Send the updates that have been scheduled."""
        if self._pending_broadcasts or self.fence != self._announced_fence:
            changed, self._pending_broadcasts = self._pending_broadcasts, set()
            self._send_holdings(
                now, tuple(h for h in self._all_holdings() if h[0] in changed)
            )
        if self._pending_adapter_changes:
            changed, self._pending_adapter_changes = (
                self._pending_adapter_changes,
                set(),
            )
            holdings = [h for h in self._all_holdings() if h[0] in changed]
            for host, wanted in self.cluster_demand.waiting(now).items():
                self._send_relevant_holdings(host, wanted, holdings)
        min_interval_s = MIN_URGENT_INTERVAL_PER_HOST_S * self._state.host_count
        if (
            self._is_demand_pending
            and now - self._urgent_demand_sent_at >= min_interval_s
        ):
            self._is_demand_pending = False
            self._urgent_demand_sent_at = now
            self.send_demand(now)

    def handle_digest(self, digest: Digest, now: float) -> None:
        """Handle the demand of another host, or the holdings sent by the leader."""
        if digest.is_demand_report:
            self.cluster_demand.set_report(digest.host, digest.demands, now)
            if any(demand.waiting for demand in digest.demands):
                self._state.replan_requested.set()
            wanted = self.cluster_demand.waiting(now).get(digest.host)
            if wanted and self.fence:
                self._send_relevant_holdings(digest.host, wanted, self._all_holdings())
        self._apply_holdings(digest, now)

    def _all_holdings(self) -> tuple[Holding, ...]:
        if not self.fence:
            return ()
        fleet = self._state.fleet
        return tuple(
            (entry.incarnation, held)
            for entry in fleet.entries.values()
            if (held := fleet.held_by(entry))
        )

    def broadcast_holdings(self, now: float) -> None:
        """Announce the fencing token to all hosts, and all holdings if due."""
        interval_s = max(
            MIN_HOLDINGS_INTERVAL_S,
            HOLDINGS_INTERVAL_PER_HOST_S * self._state.host_count,
        )
        if now - self._holdings_sent_at < interval_s:
            self._send_holdings(now, ())
            return
        self._holdings_sent_at = now
        holdings = self._all_holdings()
        for start in range(0, max(1, len(holdings)), MAX_HOLDINGS_PER_DIGEST):
            self._send_holdings(now, holdings[start : start + MAX_HOLDINGS_PER_DIGEST])

    def _send_relevant_holdings(
        self, host: str, wanted: Set[tuple[str, str]], holdings: Iterable[Holding]
    ) -> None:
        """Send a host the holdings with the models and adapters its requests need."""
        relevant = tuple(h for h in holdings if _holds_any(h[1], wanted))
        member = self._peers.member(host)
        if relevant and member is not None:
            self._sender.send(
                self._sender.build_digest(scope=Scope.NONE, holdings=relevant), [member]
            )

    def _send_holdings(self, now: float, holdings: tuple[Holding, ...]) -> None:
        """Send the fencing token and holdings to all hosts, through the relays.

        Sent once more after this host has lost the lease, with the fencing token 0.
        """
        if not self.fence and not self._announced_fence:
            return
        self._announced_fence = self.fence
        digest = self._sender.build_digest(scope=Scope.NONE, holdings=holdings)
        members = list(self._peers.all_relays(now))
        if self._peers.is_aggregator(now):
            members += [peer.member for peer in self._peers.zone_members(now)]
        self._sender.spread(broadcast_kind(digest), encode_digest(digest), members)

    def send_demand(self, now: float) -> None:
        """Report this host's demand to the leader, or to the candidates without one."""
        demands = tuple(self._state.demand.report(now))
        self._demand_sent_at = now
        self.cluster_demand.set_report(self._sender.local_member.host, demands, now)
        if not demands and not self._has_reported_demand:
            return
        self._has_reported_demand = bool(demands)
        if self.fence:
            return
        leader = self._peers.leader(now)
        if leader is not None:
            members = [leader.member]
        else:
            hosts = self._peers.leader_candidates(MAX_LEADER_CANDIDATES, now)
            members = [p.member for p in self._peers.retained(now) if p.host in hosts]
        report = self._sender.build_digest(
            scope=Scope.NONE, demands=demands, is_demand_report=True
        )
        self._sender.send(report, members)

    def _apply_holdings(self, digest: Digest, now: float) -> None:
        if not digest.holdings or self.fence:
            return
        leader = self._peers.leader(now)
        if leader is None or leader.host != digest.host:
            return
        for incarnation, held in digest.holdings:
            self._state.fleet.set_held(incarnation, held, now)


def broadcast_kind(digest: Digest) -> Hashable:
    """Return what a leader's broadcast is about; a newer one replaces an older one."""
    return ("holdings", frozenset(incarnation for incarnation, _ in digest.holdings))


def _holds_any(
    held: Mapping[str, frozenset[str]], wanted: Iterable[tuple[str, str]]
) -> bool:
    """Tell whether an engine holds any of the given pairs of model and adapter.

    :param wanted: The pairs; an adapter of "" stands for the model alone.
    """
    return any(
        model in held and (not adapter or adapter in held[model])
        for model, adapter in wanted
    )
