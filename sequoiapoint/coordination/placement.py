"""Decides what a zone owner loads and unloads next.

Home copies take precedence: every model whose home is the zone gets a copy with its
adapters, the largest model first.  A copy is only unloaded once its replacement can
serve requests.
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
    """The next loads and unloads of one zone.

    :param state: The shared state.
    :param document: The configuration in force.
    :param zone: The zone.
    :param blocked: Servers that accept no loads at the moment.
    :param leaving: Servers whose copies have to be replaced.
    :param stalled: Reserved copies that may never load.
    """

    def __init__(
        self,
        state: ControlState,
        document: Document,
        zone: str,
        blocked: frozenset[str] = frozenset(),
        leaving: frozenset[str] = frozenset(),
        stalled: frozenset[str] = frozenset(),
    ) -> None:
        self._state = state
        self._ledger = state.ledger
        self._document = document
        self._zone = zone
        self._artifacts = state.configuration.artifacts
        remaining = [
            s
            for s in engines(document, zone)
            if self._ledger.server(s.name).is_up and s.name not in leaving
        ]
        self._servers = [s for s in remaining if s.name not in blocked]
        self._holdings = [
            holding
            for server in remaining
            for holding in self._ledger.on_server(server.name)
            if holding.holding not in stalled
        ]
        self._servers_by_artifact: dict[str, set[str]] = {}
        for holding in self._holdings:
            if holding.state in LOADING_OR_RESIDENT:
                servers = self._servers_by_artifact.setdefault(holding.artifact, set())
                servers.add(holding.server)

    def free_mb(self, server: Server) -> int:
        """Return the uncommitted memory of a server, in megabytes."""
        usable = usable_memory_mb(self._document, server)
        return usable - self._ledger.committed_mb(server.name)

    def missing(self) -> list[Artifact]:
        """Return the artifacts that lack home copies in the zone.

        Artifacts without any copy come first, and the largest models among them.
        """
        home = [a for a in self._artifacts.values() if a.home_zone == self._zone]
        models = sorted((a for a in home if not a.base), key=lambda a: -a.mb)
        adapters = [a for a in home if a.base]
        lacking = [a for a in (*models, *adapters) if self._lacks_copies(a)]
        return sorted(lacking, key=lambda a: bool(self._servers_of(a.artifact)))

    def load(self, artifact: Artifact) -> Load | None:
        """Return where to load an artifact, or None if it does not fit."""
        if artifact.base:
            return self._load_adapter(artifact)
        return self._load_model(artifact)

    def unloads(self) -> Iterator[Unload]:
        """Yield unneeded copies: old versions, and artifacts no longer configured.

        The last copy of an old version is kept until the current one serves instead.
        """
        current = {a.artifact for a in self._artifacts.values()}
        for holding in self._holdings:
            is_old = holding.artifact not in current
            is_resident = holding.state is HoldingState.RESIDENT
            if is_old and is_resident and not self._state.is_last_copy(holding):
                yield Unload(holding)

    def evictions(self, needed: Artifact) -> Iterator[Unload]:
        """Yield surplus copies whose memory a home copy needs.

        :param needed: The artifact that fits on no server.
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
        """Tell whether a copy may be evicted for a needed artifact.

        It has to be resident, and so does another copy of its artifact on one of the
        zone's servers that are up and not leaving.  A copy without which a model or
        adapter could not be served is never surplus, nor is a copy of the needed
        artifact's base model.
        """
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
        """Tell whether fewer servers than configured hold or will hold a copy.

        An adapter counts only on servers that also hold its base model.
        """
        servers = self._servers_of(artifact.artifact)
        if artifact.base:
            servers = servers & self._servers_of(artifact.base)
        return len(servers) < artifact.copies

    def _servers_of(self, artifact: str) -> set[str]:
        """Return the servers that hold or will hold a copy."""
        return self._servers_by_artifact.get(artifact, set())

    def _load_model(self, artifact: Artifact) -> Load | None:
        """Choose a server, preferably with enough memory for the adapters too."""
        adapters = sum(
            a.mb for a in self._artifacts.values() if a.base == artifact.artifact
        )
        occupied = self._servers_of(artifact.artifact)
        servers = [s for s in self._servers if s.name not in occupied]
        with_adapters = self._most_free(servers, artifact, adapters)
        return with_adapters or self._most_free(servers, artifact)

    def _load_adapter(self, artifact: Artifact) -> Load | None:
        base_servers = self._servers_of(artifact.base) - self._servers_of(
            artifact.artifact
        )
        return self._most_free(
            [s for s in self._servers if s.name in base_servers], artifact
        )

    def _most_free(
        self, servers: list[Server], artifact: Artifact, extra_mb: int = 0
    ) -> Load | None:
        """Choose a server with the most free memory, on a tie one that checks fencing.

        On such a server, a lost order can be fenced off, so that its memory is soon
        free again.
        """
        fitting = [s for s in servers if self.free_mb(s) >= artifact.mb + extra_mb]
        if not fitting:
            return None
        best = max(fitting, key=lambda s: (self.free_mb(s), s.checks_fencing))
        return Load(best, artifact)
