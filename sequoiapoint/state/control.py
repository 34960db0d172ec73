"""The state machine of the control stream: configuration, zone owners and memory.

All hosts apply the same records in the same order, so they all agree on which
submission, claim or reservation came first.
"""

from dataclasses import asdict, dataclass
from functools import singledispatchmethod
from typing import Any

from sequoiapoint.protocol import artifacts
from sequoiapoint.protocol.records import (
    DocumentSubmitted,
    Envelope,
    FenceRaised,
    HoldingAbsent,
    HoldingResident,
    LoadResent,
    LoadReserved,
    OwnerClaimed,
    Record,
    ServerDown,
    ServerSeen,
    Snapshot,
    UnloadCancelled,
    UnloadStarted,
)
from sequoiapoint.state.configuration import Configuration
from sequoiapoint.state.memory import Holding, MemoryLedger
from sequoiapoint.state.outcome import Outcome, applied, rejected
from sequoiapoint.state.sequences import AppliedSequences


@dataclass(frozen=True)
class Owner:
    """The process that owns a zone and may send orders to its backend servers.

    :param claim: The position of its ownership claim in the log.
    """

    host: str
    incarnation: str
    claim: int


class ControlState:
    """The replicated state that all hosts derive from the control stream."""

    def __init__(self) -> None:
        self._sequences = AppliedSequences()
        self._configuration = Configuration()
        self._ledger = MemoryLedger()
        self._owners: dict[str, Owner] = {}

    @property
    def configuration(self) -> Configuration:
        """Return the configuration."""
        return self._configuration

    @property
    def ledger(self) -> MemoryLedger:
        """Return the memory ledger."""
        return self._ledger

    @property
    def owners(self) -> dict[str, Owner]:
        """Return the zone owners by zone."""
        return dict(self._owners)

    def owner(self, zone: str) -> Owner | None:
        """Return the owner of a zone, None if it has none."""
        return self._owners.get(zone)

    def serving_copies(self, name: str, without: str = "") -> list[Holding]:
        """Return the copies that can serve a model or adapter, in any version.

        A copy of an adapter can serve only on a server that also has a usable copy of
        its base model.

        :param without: The id of a copy to disregard.
        """
        copies = [h for h in self._ledger.usable_copies(name) if h.holding != without]
        base = self._base_of(name)
        if base is None:
            return copies
        servers = {
            h.server for h in self._ledger.usable_copies(base) if h.holding != without
        }
        return [h for h in copies if h.server in servers]

    def _base_of(self, name: str) -> str | None:
        artifact = self._configuration.artifacts.get(name)
        return (
            artifacts.artifact_name(artifact.base)
            if artifact and artifact.base
            else None
        )

    def names_served_by(self, holding: Holding) -> list[str]:
        """Return the configured models and adapters, by name, that depend on a copy.

        For a copy of a model, these include its adapters on the same server.
        """
        configured = self._configuration.artifacts
        name = artifacts.artifact_name(holding.artifact)
        names_on_server = {
            artifacts.artifact_name(h.artifact)
            for h in self._ledger.on_server(holding.server)
        }
        adapters = [
            other
            for other in sorted(names_on_server)
            if other in configured
            and artifacts.artifact_name(configured[other].base) == name
        ]
        return ([name] if name in configured else []) + adapters

    def is_last_copy(self, holding: Holding) -> bool:
        """Tell whether a model or adapter can be served only with this copy."""
        return any(
            self.serving_copies(name) and not self.serving_copies(name, holding.holding)
            for name in self.names_served_by(holding)
        )

    def apply(self, position: int, envelope: Envelope) -> Outcome:
        """Apply one record.

        :param position: The record's position in the stream.
        """
        is_new = self._sequences.record_if_new(
            envelope.host, envelope.incarnation, envelope.sequence
        )
        if not is_new:
            return rejected(position, "repeated")
        claim = getattr(envelope.record, "claim", None)
        if claim is not None:
            owner = self._owners.get(envelope.record.zone)
            if owner is None or owner.claim != claim:
                return rejected(position, "old_claim")
        return self._apply_record(envelope.record, position, envelope)

    @singledispatchmethod
    def _apply_record(
        self, _record: Record, position: int, _envelope: Envelope
    ) -> Outcome:
        return rejected(position, "unknown_kind")

    @_apply_record.register
    def _(
        self, record: DocumentSubmitted, position: int, _envelope: Envelope
    ) -> Outcome:
        return self._configuration.apply(position, record)

    @_apply_record.register
    def _(self, record: OwnerClaimed, position: int, envelope: Envelope) -> Outcome:
        current = self._owners.get(record.zone)
        if (current.claim if current else 0) != record.base:
            return rejected(position, "stale_base")
        owner = Owner(envelope.host, envelope.incarnation, position)
        self._owners[record.zone] = owner
        return applied(position)

    @_apply_record.register
    def _(self, record: ServerSeen, position: int, _envelope: Envelope) -> Outcome:
        return self._ledger.mark_up(position, record)

    @_apply_record.register
    def _(self, record: ServerDown, position: int, _envelope: Envelope) -> Outcome:
        return self._ledger.mark_down(position, record)

    @_apply_record.register
    def _(self, record: LoadReserved, position: int, _envelope: Envelope) -> Outcome:
        return self._ledger.reserve(position, record)

    @_apply_record.register
    def _(self, record: LoadResent, position: int, _envelope: Envelope) -> Outcome:
        return self._ledger.resend(position, record)

    @_apply_record.register
    def _(self, record: HoldingResident, position: int, _envelope: Envelope) -> Outcome:
        return self._ledger.mark_resident(position, record)

    @_apply_record.register
    def _(self, record: UnloadStarted, position: int, _envelope: Envelope) -> Outcome:
        holding = self._ledger.get(record.holding)
        is_last = holding is not None and self.is_last_copy(holding)
        return self._ledger.start_unload(position, record, is_last)

    @_apply_record.register
    def _(self, record: UnloadCancelled, position: int, _envelope: Envelope) -> Outcome:
        return self._ledger.cancel_unload(position, record)

    @_apply_record.register
    def _(self, record: HoldingAbsent, position: int, _envelope: Envelope) -> Outcome:
        return self._ledger.mark_absent(position, record)

    @_apply_record.register
    def _(
        self, _record: FenceRaised | Snapshot, position: int, _envelope: Envelope
    ) -> Outcome:
        return applied(position)

    def to_json(self) -> dict[str, Any]:
        """Return the state for a snapshot."""
        return {
            "sequences": self._sequences.to_json(),
            "configuration": self._configuration.to_json(),
            "ledger": self._ledger.to_json(),
            "owners": {zone: asdict(o) for zone, o in self._owners.items()},
        }

    @classmethod
    def from_json(cls, state: dict[str, Any]) -> "ControlState":
        """Restore the state from a snapshot."""
        result = cls()
        result._sequences = AppliedSequences(state["sequences"])
        result._configuration = Configuration.from_json(state["configuration"])
        result._ledger = MemoryLedger.from_json(state["ledger"])
        result._owners = {z: Owner(**o) for z, o in state["owners"].items()}
        return result
