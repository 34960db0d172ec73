"""The owner's control of a zone's backend servers.

It turns the shared state and the engines' reports into records to append and orders
to send.  An order is sent once, only after its record was read back, and what an
unanswered order may still do stays reserved until there is proof.
"""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from sequoiapoint.coordination.placement import Load, Plan, Unload, engines
from sequoiapoint.protocol.document import Document, Server, usable_memory_mb
from sequoiapoint.protocol.engine import Order, Report
from sequoiapoint.protocol.records import (
    FenceRaised,
    HoldingAbsent,
    HoldingResident,
    LoadResent,
    LoadReserved,
    Record,
    ServerDown,
    ServerSeen,
    UnloadCancelled,
    UnloadStarted,
)
from sequoiapoint.state.control import ControlState, Owner
from sequoiapoint.state.memory import PROOF_FENCED, Holding, HoldingState

DOWN_TIMEOUT_S = 3.0
MAX_FRESH_REPORT_AGE_S = 1.0
RESEND_S = 8.0
MAX_SENDS = 3
"""How often the order for one copy may be sent to a server that ignores fencing."""
UNLOAD_RESEND_S = 5.0
FENCE_DELAY_S = 3.0
"""How long an order may show no effect before a server is made to shut it out."""
FENCE_INTERVAL_S = 5.0
LOAD_TIMEOUT_S = 15.0
"""How long a reserved copy that no report shows counts as on its way."""


@dataclass(frozen=True)
class Append:
    """Append a record to the control stream."""

    record: Record


@dataclass(frozen=True)
class SendOrder:
    """Send an order to a backend server.

    :param incarnation: The only process of the server that the order may reach.
    """

    server: Server
    order: Order
    incarnation: str


Action = Append | SendOrder


@dataclass
class _ServerWatch:
    """What this owner has seen of one server."""

    report: Report | None = None
    heard_at: float = float("-inf")
    is_order_out: bool = False
    raised_at: float = float("-inf")
    touched: int = 0


@dataclass
class _Sent:
    """The orders that this owner has sent.

    :param load_fences: The fencing number of the last load order of each copy.
    :param load_sent_at: When that was, in seconds.
    :param unload_sent_at: When the last unload order of a copy was sent, in seconds.
    """

    load_fences: dict[str, int] = field(default_factory=dict)
    load_sent_at: dict[str, float] = field(default_factory=dict)
    rejected: set[str] = field(default_factory=set)
    unload_sent_at: dict[str, float] = field(default_factory=dict)
    raised_fences: dict[str, int] = field(default_factory=dict)


class ZoneOwner:
    """Controls a zone for as long as one claim lasts.

    :param zone: The zone.
    :param owner: This process's claim.
    :param loads_per_s: The share of the weight store's rate.
    :param concurrent_loads: How many loads of the zone may run at a time.
    :param now: The time, in seconds.
    """

    def __init__(
        self,
        zone: str,
        owner: Owner,
        loads_per_s: float,
        concurrent_loads: int,
        now: float,
    ) -> None:
        self._zone = zone
        self._owner = owner
        self._load_interval_s = 1.0 / loads_per_s if loads_per_s > 0 else float("inf")
        self._concurrent_loads = concurrent_loads
        self._next_load_at = now + self._load_interval_s
        self._started_at = now
        self._watches: dict[str, _ServerWatch] = {}
        self._sent = _Sent()
        self._pending: set[tuple[str, str]] = set()
        self._ids = itertools.count(1)

    @property
    def claim(self) -> int:
        """Return the position of the claim."""
        return self._owner.claim

    def _watch(self, server: str) -> _ServerWatch:
        return self._watches.setdefault(server, _ServerWatch())

    def note_report(self, server: str, report: Report, now: float) -> None:
        """Take in a report; one older than the last of its incarnation is dropped."""
        watch = self._watch(server)
        watch.heard_at = now
        last = watch.report
        is_same = last is not None and last.incarnation == report.incarnation
        if not is_same or report.sequence >= last.sequence:
            watch.report = report

    def note_order_response(self, server: str, order: Order, is_rejected: bool) -> None:
        """Take in the end of an order.

        :param is_rejected: The server has certainly not acted on it.  An order with
            any other end may still take effect later.
        """
        self._watch(server).is_order_out = False
        if is_rejected and order.action == "load":
            self._sent.rejected.add(order.holding)
        if is_rejected and order.action == "unload":
            self._sent.unload_sent_at[order.holding] = float("-inf")

    def tick(self, state: ControlState, now: float) -> list[Action]:
        """Decide what to do now.

        :param state: The shared state, as far as it was read back.
        :param now: The time, in seconds.
        """
        document = state.configuration.document
        if document is None:
            return []
        actions: list[Action] = []
        servers = engines(document, self._zone)
        for server in servers:
            actions += self._check_server(server, state, now)
        for server in servers:
            for holding in state.ledger.on_server(server.name):
                actions += self._check_holding(server, holding, state, now)
        actions += self._place(document, state, now)
        return actions

    # Servers

    def _check_server(
        self, server: Server, state: ControlState, now: float
    ) -> Iterator[Action]:
        """Note servers that come up, restart or go down."""
        watch = self._watch(server.name)
        known = state.ledger.server(server.name)
        heard = max(watch.heard_at, self._started_at)
        if now - heard > DOWN_TIMEOUT_S:
            if known.is_up:
                record = ServerDown(self._zone, self.claim, server.name)
                yield from self._append_once(record)
            return
        report = watch.report
        if report is None or watch.heard_at < now - DOWN_TIMEOUT_S:
            return
        if known.incarnation != report.incarnation or not known.is_up:
            record = ServerSeen(self._zone, self.claim, server.name, report.incarnation)
            yield from self._append_once(record)

    def _current_report(self, server: Server, holding: Holding) -> Report | None:
        """Return the latest report of the incarnation that a copy is on."""
        report = self._watch(server.name).report
        if report is None or report.incarnation != holding.incarnation:
            return None
        return report

    # Copies

    def _check_holding(
        self, server: Server, holding: Holding, state: ControlState, now: float
    ) -> Iterator[Action]:
        """Settle a copy by the latest report, or send its order."""
        report = self._current_report(server, holding)
        if holding.state is HoldingState.RESERVED:
            yield from self._check_reserved(server, holding, report, now)
        elif holding.state is HoldingState.RESIDENT:
            if self._has_vanished(holding, report):
                yield from self._append_absent(holding, "vanished")
        elif holding.state is HoldingState.LINGERING:
            if report is not None and report.holding(holding.holding) is not None:
                yield from self._append_once(
                    UnloadStarted(self._zone, self.claim, holding.holding)
                )
        else:
            yield from self._check_unloading(server, holding, report, state, now)

    def _check_reserved(
        self, server: Server, holding: Holding, report: Report | None, now: float
    ) -> Iterator[Action]:
        if holding.holding in self._sent.rejected and holding.sends == 1:
            yield from self._append_absent(holding, "refused")
            return
        reported = report.holding(holding.holding) if report else None
        if reported is not None and reported.state == "resident":
            record = HoldingResident(
                self._zone, self.claim, holding.holding, report.sequence
            )
            yield from self._append_once(record)
            return
        is_mine = holding.claim == self.claim
        if is_mine and self._sent.load_fences.get(holding.holding) != holding.fence:
            yield from self._send_load(server, holding, now)
        elif reported is None and report is not None:
            yield from self._resolve(server, holding, report, now)

    def _resolve(
        self, server: Server, holding: Holding, report: Report, now: float
    ) -> Iterator[Action]:
        """Find out what became of an order that has shown no effect."""
        since = self._sent.load_sent_at.get(holding.holding, self._started_at)
        if server.checks_fencing:
            if now - since > FENCE_DELAY_S:
                yield from self._resolve_by_fence(server, holding, report, now)
            return
        if now - since > RESEND_S and holding.sends < MAX_SENDS:
            yield from self._append_once(
                LoadResent(self._zone, self.claim, holding.holding)
            )

    def _send_load(
        self, server: Server, holding: Holding, now: float
    ) -> Iterator[Action]:
        """Send a load order, once for each record that allows it."""
        watch = self._watch(server.name)
        if watch.is_order_out or now < self._next_load_at:
            return
        self._next_load_at = now + self._load_interval_s
        watch.is_order_out = True
        self._sent.load_fences[holding.holding] = holding.fence
        self._sent.load_sent_at[holding.holding] = now
        order = Order(
            action="load",
            fence=holding.fence,
            holding=holding.holding,
            artifact=holding.artifact,
            mb=holding.mb,
        )
        yield SendOrder(server, order, holding.incarnation)

    def _resolve_by_fence(
        self, server: Server, holding: Holding, report: Report, now: float
    ) -> Iterator[Action]:
        """Have a fencing server shut out an order whose fate is unknown.

        Once it has accepted a higher number and does not hold the copy, the order
        can no longer take effect.
        """
        if report.highest_fence > holding.fence:
            yield from self._append_absent(holding, PROOF_FENCED)
            return
        watch = self._watch(server.name)
        if watch.is_order_out:
            return
        fence = self._sent.raised_fences.get(server.name, 0)
        if fence > max(holding.fence, watch.touched):
            watch.is_order_out = True
            watch.touched = fence
            order = Order(action="touch", fence=fence)
            yield SendOrder(server, order, holding.incarnation)
            return
        if now - watch.raised_at > FENCE_INTERVAL_S:
            watch.raised_at = now
            yield Append(FenceRaised(self._zone, self.claim, server.name))

    def note_fence(self, server: str, position: int) -> None:
        """Note the position of a raised fence that was read back."""
        known = self._sent.raised_fences.get(server, 0)
        self._sent.raised_fences[server] = max(known, position)

    def _has_vanished(self, holding: Holding, report: Report | None) -> bool:
        """Tell whether a copy that was resident is gone.

        A report may be older than the one that showed the copy to a former owner,
        so only a later one counts.
        """
        if report is None or report.sequence <= holding.report:
            return False
        return report.holding(holding.holding) is None

    def _check_unloading(
        self,
        server: Server,
        holding: Holding,
        report: Report | None,
        state: ControlState,
        now: float,
    ) -> Iterator[Action]:
        if self._has_vanished(holding, report):
            yield from self._append_absent(holding, "unloaded")
            return
        if not self._may_unload(holding, state, now):
            yield from self._append_once(
                UnloadCancelled(self._zone, self.claim, holding.holding)
            )
            return
        watch = self._watch(server.name)
        sent_at = self._sent.unload_sent_at.get(holding.holding, float("-inf"))
        if watch.is_order_out or now - sent_at < UNLOAD_RESEND_S:
            return
        is_fenced_out = report is not None and report.highest_fence > holding.fence
        if holding.claim != self.claim or is_fenced_out:
            record = UnloadStarted(self._zone, self.claim, holding.holding)
            yield from self._append_once(record)
            return
        watch.is_order_out = True
        self._sent.unload_sent_at[holding.holding] = now
        order = Order(action="unload", fence=holding.fence, holding=holding.holding)
        yield SendOrder(server, order, holding.incarnation)

    def _may_unload(self, holding: Holding, state: ControlState, now: float) -> bool:
        """Tell whether callers keep a copy that this owner is sure of.

        In its own zone the owner believes only what fresh reports show; of another
        zone, whose models have their home there, it knows only the log.
        """
        for name in state.names_served_by(holding):
            others = state.serving_copies(name, holding.holding)
            home = state.configuration.artifacts[name].home_zone
            at_home = [h for h in others if h.zone == home]
            if home == self._zone:
                at_home = [h for h in at_home if self._is_seen(h, now)]
            if not at_home:
                return False
        return True

    def _is_seen(self, holding: Holding, now: float) -> bool:
        """Tell whether a fresh report shows a copy."""
        watch = self._watch(holding.server)
        report = watch.report
        is_fresh = report is not None and now - watch.heard_at < MAX_FRESH_REPORT_AGE_S
        if not is_fresh or report.incarnation != holding.incarnation:
            return False
        return report.holding(holding.holding) is not None

    # Placement

    def _place(
        self, document: Document, state: ControlState, now: float
    ) -> Iterator[Action]:
        """Reserve the next load, and start unloads that nothing waits for."""
        servers = engines(document, self._zone)
        leaving = frozenset(s.name for s in servers if self._is_leaving(s))
        blocked = frozenset(
            s.name for s in servers if self._takes_no_loads(document, s)
        )
        reserved = [
            holding
            for server in servers
            for holding in state.ledger.on_server(server.name)
            if holding.state is HoldingState.RESERVED
        ]
        stuck = self._stuck(reserved, now)
        plan = Plan(state, document, self._zone, blocked, leaving, stuck)
        for unload in plan.unloads():
            if self._may_unload(unload.holding, state, now):
                yield from self._start_unload(unload)
        if self._may_reserve(len(reserved) - len(stuck)):
            yield from self._reserve_next(document, plan, state, now)

    def _reserve_next(
        self, document: Document, plan: Plan, state: ControlState, now: float
    ) -> Iterator[Action]:
        """Reserve the first missing copy that fits, or make room for one."""
        missing = plan.missing()
        for artifact in missing:
            load = plan.load(artifact)
            if load is not None:
                yield from self._reserve(document, load, state)
                return
        for artifact in missing:
            for unload in plan.evictions(artifact):
                if self._may_unload(unload.holding, state, now):
                    yield from self._start_unload(unload)
                    return

    def _is_leaving(self, server: Server) -> bool:
        report = self._watch(server.name).report
        return report is not None and report.leaving

    def _takes_no_loads(self, document: Document, server: Server) -> bool:
        """Tell whether the older system's use speaks against loading on a server."""
        report = self._watch(server.name).report
        if report is None:
            return True
        ours = sum(h.mb for h in report.holdings)
        others = report.used_mb - ours
        return others > document.older_system.memory_mb_per_server

    def _stuck(self, reserved: list[Holding], now: float) -> frozenset[str]:
        """Return the reserved copies that may never come; their memory stays counted.

        A copy that a report shows as loading is on its way, however long it takes.
        """
        return frozenset(h.holding for h in reserved if self._is_stuck(h, now))

    def _is_stuck(self, holding: Holding, now: float) -> bool:
        report = self._watch(holding.server).report
        if report is not None and report.holding(holding.holding) is not None:
            return False
        if (
            holding.claim == self.claim
            and holding.holding not in self._sent.load_fences
        ):
            return False
        if (LoadResent.kind, holding.holding) in self._pending:
            return False
        since = self._sent.load_sent_at.get(holding.holding, self._started_at)
        return now - since > LOAD_TIMEOUT_S

    def _may_reserve(self, running: int) -> bool:
        """Tell whether the weight store's share allows another load.

        :param running: The loads that are on their way.
        """
        is_pending = any(kind == "load_reserved" for kind, _ in self._pending)
        return running < self._concurrent_loads and not is_pending

    def _reserve(
        self, document: Document, load: Load, state: ControlState
    ) -> Iterator[Action]:
        holding = f"{self.claim}-{next(self._ids)}"
        record = LoadReserved(
            zone=self._zone,
            claim=self.claim,
            server=load.server.name,
            incarnation=state.ledger.server(load.server.name).incarnation,
            holding=holding,
            artifact=load.artifact.artifact,
            mb=load.artifact.mb,
            limit_mb=usable_memory_mb(document, load.server),
        )
        yield from self._append_once(record)

    def _start_unload(self, unload: Unload) -> Iterator[Action]:
        record = UnloadStarted(self._zone, self.claim, unload.holding.holding)
        yield from self._append_once(record)

    # Records

    def _append_absent(self, holding: Holding, proof: str) -> Iterator[Action]:
        record = HoldingAbsent(self._zone, self.claim, holding.holding, proof)
        yield from self._append_once(record)

    def _append_once(self, record: Record) -> Iterator[Action]:
        """Append a record, unless the same is still on its way."""
        identity = _identity(record)
        if identity not in self._pending:
            self._pending.add(identity)
            yield Append(record)

    def note_applied(self, record: Record) -> None:
        """Note that a record of this owner was read back, whatever its outcome."""
        self._pending.discard(_identity(record))


def _identity(record: Record) -> tuple[str, str]:
    """Return what two records that ask for the same have in common."""
    subject = getattr(record, "holding", None) or getattr(record, "server", "")
    return (record.kind, subject)
