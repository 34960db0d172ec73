"""What the host that gives orders tells the others, and what they tell it.

It tells all relays what engines hold, and they pass that on unchanged; what changes
with each adapter it tells only the hosts whose requests wait for it.  Demand goes
straight to it.
"""

from collections.abc import Callable, Iterable, Mapping, Set

from sequoiapoint.node.digest_sender import DigestSender
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.protocol.digests import Digest, Scope
from sequoiapoint.protocol.gateway import Incarnation
from sequoiapoint.state.demand import ClusterDemand
from sequoiapoint.state.peers import Peers

DEMAND_INTERVAL_PER_HOST_S = 0.012
"""Time between a host's reports of demand, for each host that reports: up to 80 hosts
the one that gives orders takes in 80 a second."""
MAX_DEMAND_INTERVAL_S = 1.0
"""Longest time between a host's reports of demand; two of them may get lost."""
URGENT_DEMAND_PER_HOST_S = 0.002
"""Least time between a host's reports of requests that wait, for each host: 500 a
second at most over all hosts, a twentieth of a core."""
HOLDINGS_INTERVAL_S = 1.0
"""Least time between repetitions of what all engines hold; a lost datagram costs as
much."""
HOLDINGS_INTERVAL_PER_HOST_S = 0.025
"""The same for each host: with 72 of them 1.8 s, and some 6 KB a second to each."""
HOLDINGS_IN_DIGEST = 60
"""Engines in a digest, about 12 KB; a datagram can hold five times that."""
MAX_LEADER_CANDIDATES = 3
"""Hosts that may follow a silent holder of the orders; others do when these fall silent
too."""

Holding = tuple[Incarnation, Mapping[str, frozenset[str]]]
"""An engine's process, and the models that it holds with their adapters."""


class PlacementExchange:
    """Digests between the host that gives orders and the others.

    :param on_news: Called when something is to be told at once.
    :ivar fleet_demand: The demand of all hosts, as far as they have reported it here.
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
        self._on_news = on_urgent_update
        self._urgent_holdings: set[Incarnation] = set()
        self._adapter_changes: set[Incarnation] = set()
        self._has_urgent_demand = False
        self._urgent_demand_at = 0.0
        self._told_fence = 0
        self._holdings_at = 0.0
        self._demand_at = 0.0
        self._has_reported_demand = False
        self.cluster_demand = ClusterDemand()

    @property
    def fence(self) -> int:
        """Return the number under which this host gives orders, 0 where it does not."""
        return self._sender.fence

    @fence.setter
    def fence(self, fence: int) -> None:
        self._sender.fence = fence

    def has_other_leader(self, now: float, max_age_s: float) -> bool:
        """Tell whether another host has said lately that it gives orders.

        :param age_s: How old its word may be, in seconds.
        """
        return any(
            peer.digest.fence > 0 and now - peer.digest_at < max_age_s
            for peer in self._peers.live(now)
        )

    def schedule_holding_update(
        self, incarnation: Incarnation, is_for_all: bool
    ) -> None:
        """Tell at once what an engine holds.

        :param is_for_all: Tell all hosts, not only those whose requests wait for it.
        """
        changes = self._urgent_holdings if is_for_all else self._adapter_changes
        changes.add(incarnation)
        self._on_news()

    def schedule_demand_report(self) -> None:
        """Tell the host that gives orders at once what requests wait for."""
        self._has_urgent_demand = True
        self._on_news()

    def send_periodic(self, now: float) -> None:
        """Repeat what engines hold and report demand, as far as that is due."""
        self.broadcast_holdings(now)
        interval_s = DEMAND_INTERVAL_PER_HOST_S * self._state.host_count
        if now - self._demand_at >= min(MAX_DEMAND_INTERVAL_S, interval_s):
            self.send_demand(now)

    def send_pending(self, now: float) -> None:
        """Tell what was asked to be told at once."""
        if self._urgent_holdings or self.fence != self._told_fence:
            changed, self._urgent_holdings = self._urgent_holdings, set()
            self._send_holdings(
                now, tuple(h for h in self._all_holdings() if h[0] in changed)
            )
        if self._adapter_changes:
            changed, self._adapter_changes = self._adapter_changes, set()
            holdings = [h for h in self._all_holdings() if h[0] in changed]
            for host, wanted in self.cluster_demand.waiting(now).items():
                self._tell_waiting(host, wanted, holdings)
        least_s = URGENT_DEMAND_PER_HOST_S * self._state.host_count
        if self._has_urgent_demand and now - self._urgent_demand_at >= least_s:
            self._has_urgent_demand = False
            self._urgent_demand_at = now
            self.send_demand(now)

    def handle_digest(self, digest: Digest, now: float) -> None:
        """Take in a host's demand, or what the giver of orders says of engines."""
        if digest.is_demand_report:
            self.cluster_demand.set_report(digest.host, digest.demands, now)
            if any(demand.waiting for demand in digest.demands):
                self._state.replan_requested.set()
            wanted = self.cluster_demand.waiting(now).get(digest.host)
            if wanted and self.fence:
                self._tell_waiting(digest.host, wanted, self._all_holdings())
        self._take_holdings(digest, now)

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
        """Tell all hosts who gives orders, and what engines hold if that is due."""
        interval_s = max(
            HOLDINGS_INTERVAL_S, HOLDINGS_INTERVAL_PER_HOST_S * self._state.host_count
        )
        if now - self._holdings_at < interval_s:
            self._send_holdings(now, ())
            return
        self._holdings_at = now
        holdings = self._all_holdings()
        for start in range(0, max(1, len(holdings)), HOLDINGS_IN_DIGEST):
            self._send_holdings(now, holdings[start : start + HOLDINGS_IN_DIGEST])

    def _tell_waiting(
        self, host: str, wanted: Set[tuple[str, str]], holdings: Iterable[Holding]
    ) -> None:
        """Tell a host what holds the models and adapters that its requests wait for."""
        useful = tuple(h for h in holdings if _holds_any(h[1], wanted))
        member = self._peers.member(host)
        if useful and member is not None:
            self._sender.send(
                self._sender.build_digest(scope=Scope.NONE, holdings=useful), [member]
            )

    def _send_holdings(self, now: float, holdings: tuple[Holding, ...]) -> None:
        """Tell all hosts, by their relays, who gives orders and what engines hold."""
        if not self.fence and not self._told_fence:
            return
        self._told_fence = self.fence
        digest = self._sender.build_digest(scope=Scope.NONE, holdings=holdings)
        members = list(self._peers.all_relays(now))
        if self._peers.is_aggregator(now):
            members += [peer.member for peer in self._peers.zone_members(now)]
        self._sender.send(digest, members)

    def send_demand(self, now: float) -> None:
        """Tell the host that gives orders what requests ask for."""
        demands = tuple(self._state.demand.report())
        self._demand_at = now
        self.cluster_demand.set_report(self._sender.self_member.host, demands, now)
        if not demands and not self._has_reported_demand:
            return
        self._has_reported_demand = bool(demands)
        if self.fence:
            return
        holder = self._peers.leader(now)
        if holder is not None:
            members = [holder.member]
        else:
            hosts = self._peers.leader_candidates(MAX_LEADER_CANDIDATES, now)
            members = [p.member for p in self._peers.retained(now) if p.host in hosts]
        report = self._sender.build_digest(
            scope=Scope.NONE, demands=demands, is_demand_report=True
        )
        self._sender.send(report, members)

    def _take_holdings(self, digest: Digest, now: float) -> None:
        holder = self._peers.leader(now)
        if not digest.holdings or self.fence:
            return
        if holder is None or holder.host != digest.host:
            return
        is_news = [self._state.fleet.set_held(i, held) for i, held in digest.holdings]
        if any(is_news):
            self._state.wait_queue.notify()


def _holds_any(
    held: Mapping[str, frozenset[str]], wanted: Iterable[tuple[str, str]]
) -> bool:
    """Tell whether an engine holds any of some pairs of model and adapter."""
    return any(
        model in held and (not adapter or adapter in held[model])
        for model, adapter in wanted
    )
