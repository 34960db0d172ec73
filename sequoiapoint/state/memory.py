"""The memory ledger: the copies that each backend server holds or may come to hold.

Every load is reserved in the log before its order is sent.  A reservation is released
only on proof of absence, so the memory that a delayed order could still take is always
counted.  The ledger keeps the total of each server within its limit.
"""

import enum
from dataclasses import asdict, dataclass, replace
from typing import Any

from sequoiapoint.protocol import artifacts, invariants
from sequoiapoint.protocol.records import (
    HoldingAbsent,
    HoldingResident,
    LoadResent,
    LoadReserved,
    ServerDown,
    ServerSeen,
    UnloadCancelled,
    UnloadStarted,
)
from sequoiapoint.state.outcome import Outcome, applied, rejected

PROOF_FENCED = "fenced"
"""Proof that a copy is absent and that the server rejects delayed orders for it."""


class HoldingState(enum.StrEnum):
    """The state of a copy."""

    RESERVED = "reserved"
    RESIDENT = "resident"
    UNLOADING = "unloading"
    LINGERING = "lingering"
    """Not in memory, but a load order that was sent repeatedly may load it again."""


@dataclass(frozen=True)
class Holding:
    """A copy of an artifact on a backend server.

    :param holding: The unique id of the copy.
    :param artifact: The name and version, as in ``desk-small@3``.
    :param mb: The reserved memory, in megabytes.
    :param fence: The fencing token of the latest order: the position of the record that
        permits it.
    :param claim: The owner's claim under which that record was written.
    :param report: The sequence number of the report that showed it resident.
    :param sends: How many times its load order may have been sent.
    """

    holding: str
    zone: str
    server: str
    incarnation: str
    artifact: str
    mb: int
    state: HoldingState
    fence: int
    claim: int
    report: int = 0
    sends: int = 1


@dataclass(frozen=True)
class ServerState:
    """The ledger's state of a backend server.

    :param is_up: Whether the zone's owner can reach it.
    """

    incarnation: str = ""
    is_up: bool = False


class MemoryLedger:
    """The copies on all backend servers."""

    def __init__(self) -> None:
        self._holdings: dict[str, Holding] = {}
        self._by_server: dict[str, dict[str, Holding]] = {}
        self._by_name: dict[str, dict[str, Holding]] = {}
        self._servers: dict[str, ServerState] = {}

    @property
    def holdings(self) -> tuple[Holding, ...]:
        """Return all copies."""
        return tuple(self._holdings.values())

    def server(self, name: str) -> ServerState:
        """Return the state of a server."""
        return self._servers.get(name, ServerState())

    def get(self, holding: str) -> Holding | None:
        """Return a copy by its id."""
        return self._holdings.get(holding)

    def on_server(self, name: str) -> tuple[Holding, ...]:
        """Return the copies on a server."""
        return tuple(self._by_server.get(name, {}).values())

    def committed_mb(self, name: str) -> int:
        """Return the memory that a server's copies take or may take, in megabytes."""
        return sum(h.mb for h in self._by_server.get(name, {}).values())

    def copies_of(self, name: str) -> tuple[Holding, ...]:
        """Return the copies of a model or adapter, in any version and state."""
        return tuple(self._by_name.get(name, {}).values())

    def usable_copies(self, name: str) -> list[Holding]:
        """Return the copies of a model or adapter that can serve requests."""
        return [
            h
            for h in self.copies_of(name)
            if h.state is HoldingState.RESIDENT and self.server(h.server).is_up
        ]

    def mark_up(self, position: int, record: ServerSeen) -> Outcome:
        """Mark a server as reachable; the memory of a new incarnation is empty."""
        known = self.server(record.server)
        if known.incarnation != record.incarnation:
            for holding in self.on_server(record.server):
                self._remove(holding)
        self._servers[record.server] = ServerState(record.incarnation, True)
        return applied(position)

    def mark_down(self, position: int, record: ServerDown) -> Outcome:
        """Mark a server as unreachable."""
        state = replace(self.server(record.server), is_up=False)
        self._servers[record.server] = state
        return applied(position)

    def reserve(self, position: int, record: LoadReserved) -> Outcome:
        """Reserve memory for a load, if it fits within the server's limit."""
        if record.holding in self._holdings:
            return rejected(position, "holding_exists")
        if self.server(record.server).incarnation != record.incarnation:
            return rejected(position, "other_incarnation")
        if self.committed_mb(record.server) + record.mb > record.limit_mb:
            return rejected(position, "no_memory")
        self._put(
            Holding(
                holding=record.holding,
                zone=record.zone,
                server=record.server,
                incarnation=record.incarnation,
                artifact=record.artifact,
                mb=record.mb,
                state=HoldingState.RESERVED,
                fence=position,
                claim=record.claim,
            )
        )
        committed = self.committed_mb(record.server)
        fits = committed <= record.limit_mb
        invariants.check(fits, "memory_overcommitted", record.server)
        return applied(position)

    def mark_resident(self, position: int, record: HoldingResident) -> Outcome:
        """Mark a reserved copy as resident."""
        holding = self._holdings.get(record.holding)
        if holding is None or holding.state is not HoldingState.RESERVED:
            return rejected(position, "not_reserved")
        resident = HoldingState.RESIDENT
        self._put(replace(holding, state=resident, report=record.report))
        return applied(position)

    def resend(self, position: int, record: LoadResent) -> Outcome:
        """Permit the load order of a reserved copy to be sent once more."""
        holding = self._holdings.get(record.holding)
        if holding is None or holding.state is not HoldingState.RESERVED:
            return rejected(position, "not_reserved")
        sends = holding.sends + 1
        self._put(replace(holding, fence=position, claim=record.claim, sends=sends))
        return applied(position)

    def start_unload(
        self, position: int, record: UnloadStarted, is_last: bool
    ) -> Outcome:
        """Take a copy out of service, unless it is the last one that callers need.

        :param is_last: Whether no copy would be left to serve callers.
        """
        holding = self._holdings.get(record.holding)
        if holding is None or holding.state is HoldingState.RESERVED:
            return rejected(position, "not_resident")
        if holding.state is HoldingState.RESIDENT and is_last:
            return rejected(position, "last_copy")
        unloading = HoldingState.UNLOADING
        self._put(replace(holding, state=unloading, fence=position, claim=record.claim))
        return applied(position)

    def cancel_unload(self, position: int, record: UnloadCancelled) -> Outcome:
        """Return a copy to service.

        An unload order that is still in transit may remove it nevertheless; it is then
        found absent like any other copy that its server lost.
        """
        holding = self._holdings.get(record.holding)
        if holding is None or holding.state is not HoldingState.UNLOADING:
            return rejected(position, "not_unloading")
        self._put(replace(holding, state=HoldingState.RESIDENT))
        return applied(position)

    def mark_absent(self, position: int, record: HoldingAbsent) -> Outcome:
        """Release the memory of a copy that is proved to be permanently absent.

        A copy whose load order was sent more than once may be loaded again, unless the
        server has fenced off the order; its memory stays reserved.
        """
        holding = self._holdings.get(record.holding)
        if holding is None:
            return rejected(position, "no_holding")
        if holding.sends > 1 and record.proof != PROOF_FENCED:
            self._put(replace(holding, state=HoldingState.LINGERING))
            return applied(position)
        self._remove(holding)
        return applied(position)

    def _put(self, holding: Holding) -> None:
        self._holdings[holding.holding] = holding
        self._by_server.setdefault(holding.server, {})[holding.holding] = holding
        name = artifacts.artifact_name(holding.artifact)
        self._by_name.setdefault(name, {})[holding.holding] = holding

    def _remove(self, holding: Holding) -> None:
        del self._holdings[holding.holding]
        del self._by_server[holding.server][holding.holding]
        del self._by_name[artifacts.artifact_name(holding.artifact)][holding.holding]

    def to_json(self) -> dict[str, Any]:
        """Return the state for a snapshot."""
        return {
            "holdings": [asdict(h) for h in self._holdings.values()],
            "servers": {name: asdict(s) for name, s in self._servers.items()},
        }

    @classmethod
    def from_json(cls, state: dict[str, Any]) -> "MemoryLedger":
        """Restore the state from a snapshot."""
        result = cls()
        for entry in state["holdings"]:
            result._put(Holding(**{**entry, "state": HoldingState(entry["state"])}))
        for name, entry in state["servers"].items():
            result._servers[name] = ServerState(**entry)
        return result
