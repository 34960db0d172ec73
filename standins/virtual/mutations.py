"""The product with one mechanism disabled, to show that the checks can fail."""

import enum
from collections.abc import Iterator
from typing import Any

from sequoiapoint.coordination import claims
from sequoiapoint.coordination.claims import ClaimDecision, ClaimTracker
from sequoiapoint.coordination.zone_owner import Action, Append, SendOrder, ZoneOwner
from sequoiapoint.protocol.document import Server
from sequoiapoint.protocol.engine import Order, Report
from sequoiapoint.protocol.records import Envelope
from sequoiapoint.state.configuration import Configuration
from sequoiapoint.state.control import ControlState
from sequoiapoint.state.memory import Holding, MemoryLedger
from sequoiapoint.state.outcome import Outcome

LOADS_PER_S = 2.0
CONCURRENT_LOADS = 3


class Mutation(enum.Enum):
    """A mechanism that can be disabled, and the property that it guards."""

    NONE = ("none", "")
    DISPATCH_BEFORE_READ_BACK = ("dispatch_before_read_back", "at most once")
    LATER_CLAIM_WINS = ("later_claim_wins", "at most once")
    GIVE_UP_WITHOUT_ABANDON = ("give_up_without_abandon", "told not run")
    ORDER_TO_ANY_PROCESS = ("order_to_any_process", "memory")
    RESERVATION_TIMES_OUT = ("reservation_times_out", "memory")
    ORDER_BEFORE_READ_BACK = ("order_before_read_back", "memory")
    STALE_OWNER_RESERVES = ("stale_owner_reserves", "memory")
    LAST_COPY_MAY_GO = ("last_copy_may_go", "reachable")
    LAST_WRITE_WINS = ("last_write_wins", "configuration")

    def __init__(self, label: str, guarded_property: str) -> None:
        self.label = label
        self.guarded_property = guarded_property


RARE_SEEDS = {Mutation.ORDER_TO_ANY_PROCESS: (24, 52, 79, 94, 177)}
"""Seeds whose runs expose a mutation that few runs expose."""


class _TimeoutOwner(ZoneOwner):
    """Ends reservations after a timeout, without proof of the load order's outcome."""

    def _check_reserved(
        self, server: Server, holding: Holding, report: Report | None, now: float
    ) -> Iterator[Action]:
        since = self._sent.load_sent_at.get(holding.holding)
        if since is not None and now - since > 6.0:
            yield from self._append_absent(holding, "fenced")
            return
        yield from super()._check_reserved(server, holding, report, now)


class _UncheckedUnloadOwner(ZoneOwner):
    """Unloads copies without checking whether callers need them."""

    def _may_unload(self, holding: Holding, state: ControlState, now: float) -> bool:
        return True


class _EarlyOrderOwner(ZoneOwner):
    """Sends an order together with its reservation, before the read-back."""

    def tick(self, state: ControlState, now: float) -> list[Action]:
        actions = super().tick(state, now)
        document = state.configuration.document
        for action in list(actions):
            record = getattr(action, "record", None)
            if not isinstance(action, Append) or record.kind != "load_reserved":
                continue
            server = next(s for s in document.servers if s.name == record.server)
            order = Order(
                action="load",
                fence=self.claim,
                holding=record.holding,
                artifact=record.artifact,
                mb=record.mb,
            )
            self._sent.load_sent_at[record.holding] = now
            actions.append(SendOrder(server, order, record.incarnation))
        return actions


class _UnfencedState(ControlState):
    """Applies records of an owner that has been replaced."""

    def apply(self, position: int, envelope: Envelope) -> Outcome:
        zone = getattr(envelope.record, "zone", None)
        owner = self._owners.get(zone)
        if getattr(envelope.record, "claim", None) and owner is not None:
            return self._apply_record(envelope.record, position, envelope)
        return super().apply(position, envelope)


class _ResidentOnlyLedger(MemoryLedger):
    """Counts only resident copies, like an owner that has not read the reservations."""

    def committed_mb(self, name: str) -> int:
        return sum(h.mb for h in self.on_server(name) if h.state.value == "resident")


class _NoLastCopyState(ControlState):
    """Treats no copy as the last one, so that any copy may be unloaded."""

    def is_last_copy(self, holding: Holding) -> bool:
        return False


class _LastWriteConfiguration(Configuration):
    """Accepts every submission, whichever version it is based on."""

    def apply(self, position: int, record: Any) -> Outcome:
        object.__setattr__(record, "base", self._version)
        return super().apply(position, record)


class Mutations:
    """Builds the parts of a host with one mechanism disabled.

    :param mutation: The mechanism that is disabled.
    """

    def __init__(self, mutation: Mutation = Mutation.NONE) -> None:
        self._mutation = mutation

    @property
    def skips_read_back(self) -> bool:
        """Tell whether a claim is dispatched without waiting for its read-back."""
        return self._mutation is Mutation.DISPATCH_BEFORE_READ_BACK

    @property
    def ignores_incarnation(self) -> bool:
        """Tell whether an order may reach a later process of the server."""
        return self._mutation is Mutation.ORDER_TO_ANY_PROCESS

    def control_state(self) -> ControlState:
        """Return the initial state of the control stream."""
        if self._mutation is Mutation.LAST_COPY_MAY_GO:
            return _NoLastCopyState()
        state = ControlState()
        if self._mutation is Mutation.STALE_OWNER_RESERVES:
            state = _UnfencedState()
            state._ledger = _ResidentOnlyLedger()
        if self._mutation is Mutation.LAST_WRITE_WINS:
            state._configuration = _LastWriteConfiguration()
        return state

    def zone_owner(self, zone: str, owner: Any, now: float) -> ZoneOwner:
        """Return the owner logic of a zone."""
        owner_classes = {
            Mutation.RESERVATION_TIMES_OUT: _TimeoutOwner,
            Mutation.ORDER_BEFORE_READ_BACK: _EarlyOrderOwner,
            Mutation.LAST_COPY_MAY_GO: _UncheckedUnloadOwner,
        }
        owner_class = owner_classes.get(self._mutation, ZoneOwner)
        return owner_class(zone, owner, LOADS_PER_S, CONCURRENT_LOADS, now)

    @property
    def skips_abandon(self) -> bool:
        """Tell whether a claim that timed out is still dispatched when it wins."""
        return self._mutation is Mutation.GIVE_UP_WITHOUT_ABANDON

    def abandon_claim(self, tracker: ClaimTracker, nonce: str) -> None:
        """Abandon a claim that was not read back in time."""
        if not self.skips_abandon:
            tracker.abandon(nonce)

    def decide(
        self, entry: Any, nonce: str, body_hash: str, is_alive: bool
    ) -> ClaimDecision:
        """Decide on a claim from the entry that was read back."""
        if self._mutation is Mutation.LATER_CLAIM_WINS and not entry.fate:
            return ClaimDecision.DISPATCH
        return claims.decide(entry, nonce, body_hash, is_alive)
