"""What a zone owner loads and unloads next.

The home copies come first: every model whose home is the zone gets a copy with its
adapters, largest first.  A copy is only taken away after its replacement can work.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from sequoiapoint.protocol.artifacts import Artifact
from sequoiapoint.protocol.document import Document, Server, usable_memory_mb
from sequoiapoint.state.control import ControlState
from sequoiapoint.state.memory import Holding, HoldingState

LOADING_OR_RESIDENT = frozenset({HoldingState.RESERVED, HoldingState.RESIDENT})


@dataclass(frozen=True)
class Load:
    """Load an artifact on a server."""

    server: Server
    artifact: Artifact


@dataclass(frozen=True)
class Unload:
    """Unload a copy."""

    holding: Holding


def engines(document: Document, zone: str) -> list[Server]:
    """Return the engine servers of a zone."""
    return [s for s in document.servers if s.zone == zone and s.kind == "engine"]


class Plan:
    """The next moves of one zone.

    :param state: The shared state.
    :param document: The configuration in force.
    :param zone: The zone.
    :param blocked: Servers that take no loads now.
    :param leaving: Servers whose copies have to be replaced.
    :param stuck: Reserved copies that may never come.
    """

    def __init__(
        self,
        state: ControlState,
        document: Document,
        zone: str,
        blocked: frozenset[str] = frozenset(),
        leaving: frozenset[str] = frozenset(),
        stuck: frozenset[str] = frozenset(),
    ) -> None:
        self._state = state
        self._ledger = state.ledger
        self._document = document
        self._zone = zone
        self._artifacts = state.configuration.artifacts
        staying = [
            s
            for s in engines(document, zone)
            if self._ledger.server(s.name).is_up and s.name not in leaving
        ]
        self._servers = [s for s in staying if s.name not in blocked]
        self._holdings = [
            holding
            for server in staying
            for holding in self._ledger.on_server(server.name)
            if holding.holding not in stuck
        ]
        self._servers_by_artifact: dict[str, set[str]] = {}
        for holding in self._holdings:
            if holding.state in LOADING_OR_RESIDENT:
                servers = self._servers_by_artifact.setdefault(holding.artifact, set())
                servers.add(holding.server)

    def free_mb(self, server: Server) -> int:
        """Return the memory of a server that is not spoken for, in megabytes."""
        usable = usable_memory_mb(self._document, server)
        return usable - self._ledger.committed_mb(server.name)

    def missing(self) -> list[Artifact]:
        """Return the home copies that the zone lacks.

        First come those without any copy, and of them the largest models.
        """
        home = [a for a in self._artifacts.values() if a.home_zone == self._zone]
        models = sorted((a for a in home if not a.base), key=lambda a: -a.mb)
        adapters = [a for a in home if a.base]
        wanting = [a for a in (*models, *adapters) if self._lacks_copies(a)]
        return sorted(wanting, key=lambda a: bool(self._servers_of(a.artifact)))

    def load(self, artifact: Artifact) -> Load | None:
        """Return where to load an artifact, None where it does not fit."""
        if artifact.base:
            return self._load_adapter(artifact)
        return self._load_model(artifact)

    def unloads(self) -> Iterator[Unload]:
        """Yield the copies that nothing needs: old versions, and names that are gone.

        Of an old version a copy stays until the current one serves in its place.
        """
        current = {a.artifact for a in self._artifacts.values()}
        for holding in self._holdings:
            is_old = holding.artifact not in current
            is_resident = holding.state is HoldingState.RESIDENT
            if is_old and is_resident and not self._state.is_last_copy(holding):
                yield Unload(holding)

    def evictions(self, needed: Artifact) -> Iterator[Unload]:
        """Yield surplus copies whose memory a home copy needs.

        :param needed: The artifact that fits nowhere.
        """
        for server in self._servers:
            surplus = [
                h
                for h in self._ledger.on_server(server.name)
                if self._is_surplus(h, needed)
            ]
            if self.free_mb(server) + sum(h.mb for h in surplus) < needed.mb:
                continue
            for holding in sorted(surplus, key=lambda h: -h.mb):
                yield Unload(holding)
                return

    def _is_surplus(self, holding: Holding, needed: Artifact) -> bool:
        """Tell whether another copy in the zone makes a copy dispensable."""
        if holding.state is not HoldingState.RESIDENT:
            return False
        if holding.artifact == needed.base or self._state.is_last_copy(holding):
            return False
        return any(
            h.artifact == holding.artifact
            and h.holding != holding.holding
            and h.state is HoldingState.RESIDENT
            for h in self._holdings
        )

    def _lacks_copies(self, artifact: Artifact) -> bool:
        """Tell whether fewer servers than wanted hold a copy, or will.

        An adapter counts only beside its base model.
        """
        servers = self._servers_of(artifact.artifact)
        if artifact.base:
            servers = servers & self._servers_of(artifact.base)
        return len(servers) < artifact.copies

    def _servers_of(self, artifact: str) -> set[str]:
        """Return the servers that hold a copy, or will."""
        return self._servers_by_artifact.get(artifact, set())

    def _load_model(self, artifact: Artifact) -> Load | None:
        """Choose a server with room for the adapters too, where there is one."""
        adapters = sum(
            a.mb for a in self._artifacts.values() if a.base == artifact.artifact
        )
        taken = self._servers_of(artifact.artifact)
        servers = [s for s in self._servers if s.name not in taken]
        with_adapters = self._roomiest(servers, artifact, adapters)
        return with_adapters or self._roomiest(servers, artifact)

    def _load_adapter(self, artifact: Artifact) -> Load | None:
        bases = self._servers_of(artifact.base) - self._servers_of(artifact.artifact)
        return self._roomiest([s for s in self._servers if s.name in bases], artifact)

    def _roomiest(
        self, servers: list[Server], artifact: Artifact, extra_mb: int = 0
    ) -> Load | None:
        """Choose the server with the most room; at a tie one that checks fencing.

        On a server that checks, an order that was lost can be shut out, and its
        memory is soon free again.
        """
        fitting = [s for s in servers if self.free_mb(s) >= artifact.mb + extra_mb]
        if not fitting:
            return None
        best = max(fitting, key=lambda s: (self.free_mb(s), s.checks_fencing))
        return Load(best, artifact)
