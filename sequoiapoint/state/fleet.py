"""What is believed of the backend servers: entries, and what engines hold.

Entries come from the platform's store.  What an engine holds comes from its entry and,
between entries, from the host that gives orders; a server's own answer goes before
both.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sequoiapoint.protocol.gateway import Incarnation, ServerEntry, ServerState

Held = Mapping[str, frozenset[str]]


@dataclass
class EngineContents:
    """What one engine holds: models with their adapters.

    :param denied: What the engine itself said it lacks, with how long that holds.

    """

    held: dict[str, set[str]] = field(default_factory=dict)
    denied: dict[tuple[str, str], float] = field(default_factory=dict)


NOT_HELD_TTL_S = 0.3
"""How long a server's word that it lacks an artifact goes before other sources: some
round trips, after which those have caught up."""


class Fleet:
    """The servers by id."""

    def __init__(self) -> None:
        self._entries: dict[str, ServerEntry] = {}
        self._by_service: dict[str, list[ServerEntry]] = {}
        self._residency: dict[Incarnation, EngineContents] = {}
        self._vanished_at: dict[str, float] = {}

    @property
    def entries(self) -> Mapping[str, ServerEntry]:
        """Return all entries by server."""
        return self._entries

    def put(self, entry: ServerEntry) -> bool:
        """Take in an entry.

        :return: Whether it was news; an entry of an earlier process of the same
            server is not.
        """
        known = self._entries.get(entry.server)
        if known is not None and known.started_ms > entry.started_ms:
            return False
        if known is not None and known.started_ms < entry.started_ms:
            self._residency.pop(known.incarnation, None)
        self._vanished_at.pop(entry.server, None)
        self._entries[entry.server] = entry
        if entry.models is not None:
            residency = self._residency.setdefault(entry.incarnation, EngineContents())
            previous = residency.held
            residency.held = {
                model.name: set(model.adapters) | previous.get(model.name, set())
                for model in entry.models
            }
        self._index()
        return True

    def remove(self, server: str) -> None:
        """Drop a server whose entry is gone."""
        entry = self._entries.pop(server, None)
        self._vanished_at.pop(server, None)
        if entry is not None:
            self._residency.pop(entry.incarnation, None)
            self._index()

    def mark_missing(self, server: str, now: float) -> None:
        """Note that an entry is gone while it may still come back."""
        if server in self._entries:
            self._vanished_at.setdefault(server, now)

    def remove_missing(self, before: float) -> list[str]:
        """Drop the servers whose entries went before a time and did not come back."""
        gone = [s for s, at in self._vanished_at.items() if at < before]
        for server in gone:
            self.remove(server)
        return gone

    def ready_servers(self, service: str) -> list[ServerEntry]:
        """Return the servers of a service that take new work."""
        entries = self._by_service.get(service, ())
        return [e for e in entries if e.state is ServerState.READY]

    def holds(self, entry: ServerEntry, model: str, adapter: str, now: float) -> bool:
        """Tell whether an engine is believed to hold a model and an adapter of it."""
        residency = self._residency.get(entry.incarnation)
        if residency is None or model not in residency.held:
            return False
        if residency.denied.get((model, adapter), 0.0) > now:
            return False
        return not adapter or adapter in residency.held[model]

    def held_by(self, entry: ServerEntry) -> Held:
        """Return what an engine is believed to hold."""
        residency = self._residency.get(entry.incarnation)
        if residency is None:
            return {}
        return {model: frozenset(names) for model, names in residency.held.items()}

    def set_held(
        self, incarnation: Incarnation, held: Mapping[str, Iterable[str]]
    ) -> bool:
        """Take in what the giver of orders knows of an engine; tell if it is news."""
        entry = self._entries.get(incarnation[0])
        if entry is None or entry.incarnation != incarnation:
            return False
        residency = self._residency.setdefault(incarnation, EngineContents())
        news = {model: set(adapters) for model, adapters in held.items()}
        is_news = news != residency.held
        residency.held = news
        residency.denied.clear()
        return is_news

    def note_not_held(
        self, entry: ServerEntry, model: str, adapter: str, now: float
    ) -> None:
        """Note a server's own word that it does not hold an artifact."""
        residency = self._residency.setdefault(entry.incarnation, EngineContents())
        residency.denied[(model, adapter)] = now + NOT_HELD_TTL_S

    def _index(self) -> None:
        by_service: dict[str, list[ServerEntry]] = {}
        for entry in self._entries.values():
            by_service.setdefault(entry.service, []).append(entry)
        self._by_service = by_service
