"""Control of a zone's backend servers by the zone's owner.

It derives records to append and orders to send from the shared state and the engines'
reports.  An order is sent once, and only after its record has been read back.  Memory
that an unanswered order may still take stays reserved until its outcome is proven.
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
LOAD_RESEND_S = 8.0
MAX_SENDS = 3
"""Maximum number of times that the load order of a copy is sent to a server that does
not check fencing."""
UNLOAD_RESEND_S = 5.0
FENCE_DELAY_S = 3.0
"""Time after which an order without visible effect is fenced off."""
FENCE_INTERVAL_S = 5.0
LOAD_TIMEOUT_S = 15.0
"""Time for which a reserved copy that is in no report counts as loading."""


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
class _ServerStatus:
    """What this owner knows of one server.

    :param last_report_at: When the last report arrived, in seconds.
    :param fence_raised_at: When the last record that raises the server's fencing token
        was appended, in seconds.
    :param last_touch_fence: The fencing token of the last touch order.
    """

    report: Report | None = None
    last_report_at: float = float("-inf")
    has_order_in_flight: bool = False
    fence_raised_at: float = float("-inf")
    last_touch_fence: int = 0


@dataclass
class _Sent:
    """The orders that this owner has sent.

    :param load_fences: The fencing token of the last load order of each copy.
    :param load_sent_at: When that order was sent, in seconds.
    :param rejected: The copies whose load order was rejected.
    :param unload_sent_at: When the last unload order of each copy was sent, in seconds.
    :param raised_fences: The highest raised fencing token of each server.
    """

    load_fences: dict[str, int] = field(default_factory=dict)
    load_sent_at: dict[str, float] = field(default_factory=dict)
    rejected: set[str] = field(default_factory=set)
    unload_sent_at: dict[str, float] = field(default_factory=dict)
    raised_fences: dict[str, int] = field(default_factory=dict)


class ZoneOwner:
    """Controls a zone for the duration of one ownership claim.

    :param zone: The zone.
    :param owner: This process's claim.
    :param loads_per_s: The zone's share of the weight store's rate limit.
    :param concurrent_loads: Maximum number of concurrent loads in the zone.
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
        self._statuses: dict[str, _ServerStatus] = {}
        self._sent = _Sent()
        self._pending: set[tuple[str, str]] = set()
        self._ids = itertools.count(1)

    @property
    def claim(self) -> int:
        """Return the log position of the claim."""
        return self._owner.claim

    def _status(self, server: str) -> _ServerStatus:
        return self._statuses.setdefault(server, _ServerStatus())

    def note_report(self, server: str, report: Report, now: float) -> None:
        """Handle a report; drop it if it is older than the last of its incarnation."""
        status = self._status(server)
        status.last_report_at = now
        previous = status.report
        is_same_incarnation = (
            previous is not None and previous.incarnation == report.incarnation
        )
        if not is_same_incarnation or report.sequence >= previous.sequence:
            status.report = report

    def note_order_response(self, server: str, order: Order, is_rejected: bool) -> None:
        """Handle the outcome of an order.

        :param is_rejected: Whether the server has certainly not executed it.  An order
            with any other outcome may still take effect later.
        """
        self._status(server).has_order_in_flight = False
        if is_rejected and order.action == "load":
            self._sent.rejected.add(order.holding)
        if is_rejected and order.action == "unload":
            self._sent.unload_sent_at[order.holding] = float("-inf")

    def tick(self, state: ControlState, now: float) -> list[Action]:
        """Decide what to do now.

        :param state: The shared state as read from the log so far.
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
        """Record servers that come up, restart or go down."""
        status = self._status(server.name)
        recorded = state.ledger.server(server.name)
        last_heard_at = max(status.last_report_at, self._started_at)
        if now - last_heard_at > DOWN_TIMEOUT_S:
            if recorded.is_up:
                record = ServerDown(self._zone, self.claim, server.name)
                yield from self._append_once(record)
            return
        report = status.report
        if report is None or status.last_report_at < now - DOWN_TIMEOUT_S:
            return
        if recorded.incarnation != report.incarnation or not recorded.is_up:
            record = ServerSeen(self._zone, self.claim, server.name, report.incarnation)
            yield from self._append_once(record)

    def _current_report(self, server: Server, holding: Holding) -> Report | None:
        """Return the latest report of the incarnation that holds a copy, if known."""
        report = self._status(server.name).report
        if report is None or report.incarnation != holding.incarnation:
            return None
        return report

    # Copies

    def _check_holding(
        self, server: Server, holding: Holding, state: ControlState, now: float
    ) -> Iterator[Action]:
        """Update a copy's state from the latest report, or send its order."""
        report = self._current_report(server, holding)
        if holding.state is HoldingState.RESERVED:
            yield from self._check_reserved(server, holding, report, now)
        elif holding.state is HoldingState.RESIDENT:
            if self._is_gone(holding, report):
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
        """Advance a reserved copy.

        The copy is recorded as absent if its load order was certainly not executed, and
        as resident once a report shows it so.  Otherwise its order is sent, or an order
        without visible effect is resolved.
        """
        # A rejection proves nothing if the order may have been sent more than once: the
        # server may have executed another attempt, or may still do so.
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
        # Each record that authorises a load order gives the copy a new fencing token.
        # If the last order that was sent had another token, or none was sent, the order
        # of the latest record is still to be sent.
        is_own_reservation = holding.claim == self.claim
        if (
            is_own_reservation
            and self._sent.load_fences.get(holding.holding) != holding.fence
        ):
            yield from self._send_load(server, holding, now)
        elif reported is None and report is not None:
            yield from self._resolve_pending_load(server, holding, report, now)

    def _resolve_pending_load(
        self, server: Server, holding: Holding, report: Report, now: float
    ) -> Iterator[Action]:
        """Resolve a load order that has had no visible effect."""
        since = self._sent.load_sent_at.get(holding.holding, self._started_at)
        if server.checks_fencing:
            if now - since > FENCE_DELAY_S:
                yield from self._resolve_by_fence(server, holding, report, now)
            return
        if now - since > LOAD_RESEND_S and holding.sends < MAX_SENDS:
            yield from self._append_once(
                LoadResent(self._zone, self.claim, holding.holding)
            )

    def _send_load(
        self, server: Server, holding: Holding, now: float
    ) -> Iterator[Action]:
        """Send a load order, once for each record that authorises it.

        Nothing is sent while another order to the server is in flight, or before the
        rate limit of the weight store allows it.
        """
        status = self._status(server.name)
        if status.has_order_in_flight or now < self._next_load_at:
            return
        self._next_load_at = now + self._load_interval_s
        status.has_order_in_flight = True
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
        """Fence off a load order whose outcome is unknown.

        Once the server has accepted a higher fencing token and does not hold the copy,
        the order can no longer take effect.
        """
        if report.highest_fence > holding.fence:
            yield from self._append_absent(holding, PROOF_FENCED)
            return
        status = self._status(server.name)
        if status.has_order_in_flight:
            return
        fence = self._sent.raised_fences.get(server.name, 0)
        if fence > max(holding.fence, status.last_touch_fence):
            status.has_order_in_flight = True
            status.last_touch_fence = fence
            order = Order(action="touch", fence=fence)
            yield SendOrder(server, order, holding.incarnation)
            return
        if now - status.fence_raised_at > FENCE_INTERVAL_S:
            status.fence_raised_at = now
            yield Append(FenceRaised(self._zone, self.claim, server.name))

    def note_fence(self, server: str, position: int) -> None:
        """Note a raised fencing token that was read back.

        :param position: The log position of its record, which is the token.
        """
        recorded = self._sent.raised_fences.get(server, 0)
        self._sent.raised_fences[server] = max(recorded, position)

    def _is_gone(self, holding: Holding, report: Report | None) -> bool:
        """Tell whether a copy that was resident is gone.

        The latest report may predate the one in which a previous owner saw the copy, so
        only a later report counts.
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
        if self._is_gone(holding, report):
            yield from self._append_absent(holding, "unloaded")
            return
        if not self._may_unload(holding, state, now):
            yield from self._append_once(
                UnloadCancelled(self._zone, self.claim, holding.holding)
            )
            return
        status = self._status(server.name)
        sent_at = self._sent.unload_sent_at.get(holding.holding, float("-inf"))
        if status.has_order_in_flight or now - sent_at < UNLOAD_RESEND_S:
            return
        is_fenced_off = report is not None and report.highest_fence > holding.fence
        if holding.claim != self.claim or is_fenced_off:
            record = UnloadStarted(self._zone, self.claim, holding.holding)
            yield from self._append_once(record)
            return
        status.has_order_in_flight = True
        self._sent.unload_sent_at[holding.holding] = now
        order = Order(action="unload", fence=holding.fence, holding=holding.holding)
        yield SendOrder(server, order, holding.incarnation)

    def _may_unload(self, holding: Holding, state: ControlState, now: float) -> bool:
        """Tell whether callers can do without a copy.

        Each model or adapter that depends on it must have another copy in its home zone
        that can serve.  In its own zone, the owner counts only copies that recent
        reports show.  For models whose home is another zone, it relies on the log
        alone.
        """
        for name in state.names_served_by(holding):
            others = state.serving_copies(name, holding.holding)
            home = state.configuration.artifacts[name].home_zone
            at_home = [h for h in others if h.zone == home]
            if home == self._zone:
                at_home = [h for h in at_home if self._is_reported(h, now)]
            if not at_home:
                return False
        return True

    def _is_reported(self, holding: Holding, now: float) -> bool:
        """Tell whether a recent report shows a copy."""
        status = self._status(holding.server)
        report = status.report
        is_fresh = (
            report is not None and now - status.last_report_at < MAX_FRESH_REPORT_AGE_S
        )
        if not is_fresh or report.incarnation != holding.incarnation:
            return False
        return report.holding(holding.holding) is not None

    # Placement

    def _place(
        self, document: Document, state: ControlState, now: float
    ) -> Iterator[Action]:
        """Reserve the next load, and start the unloads of unneeded copies."""
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
        stalled = self._stalled(reserved, now)
        plan = Plan(state, document, self._zone, blocked, leaving, stalled)
        for unload in plan.unloads():
            if self._may_unload(unload.holding, state, now):
                yield from self._start_unload(unload)
        if self._may_reserve(len(reserved) - len(stalled)):
            yield from self._reserve_next(document, plan, state, now)

    def _reserve_next(
        self, document: Document, plan: Plan, state: ControlState, now: float
    ) -> Iterator[Action]:
        """Reserve the first missing copy that fits, or free memory for one."""
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
        report = self._status(server.name).report
        return report is not None and report.leaving

    def _takes_no_loads(self, document: Document, server: Server) -> bool:
        """Tell whether the older system's memory use rules out loads on a server.

        A server without a report takes no loads either, since the use is unknown.
        """
        report = self._status(server.name).report
        if report is None:
            return True
        own_mb = sum(h.mb for h in report.holdings)
        other_mb = report.used_mb - own_mb
        return other_mb > document.older_system.memory_mb_per_server

    def _stalled(self, reserved: list[Holding], now: float) -> frozenset[str]:
        """Return the reserved copies that may never load; their memory stays counted.

        A copy that a report shows as loading is not stalled, however long it takes.
        """
        return frozenset(h.holding for h in reserved if self._is_stalled(h, now))

    def _is_stalled(self, holding: Holding, now: float) -> bool:
        report = self._status(holding.server).report
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

    def _may_reserve(self, reserved_count: int) -> bool:
        """Tell whether another load may be reserved.

        The limit on concurrent loads has to allow it, and no record of a reservation
        may still have to be read back.  The rate limit of the weight store is applied
        when a load order is sent.

        :param reserved_count: The number of reserved copies that are not stalled,
            including those whose load order has not been sent yet.
        """
        is_pending = any(kind == "load_reserved" for kind, _ in self._pending)
        return reserved_count < self._concurrent_loads and not is_pending

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
        """Append a record, unless an equivalent one is still in flight."""
        key = _record_key(record)
        if key not in self._pending:
            self._pending.add(key)
            yield Append(record)

    def note_applied(self, record: Record) -> None:
        """Note that a record of this owner was read back, whatever its outcome."""
        self._pending.discard(_record_key(record))


def _record_key(record: Record) -> tuple[str, str]:
    """Return a key that is equal for records that request the same change."""
    subject = getattr(record, "holding", None) or getattr(record, "server", "")
    return (record.kind, subject)
