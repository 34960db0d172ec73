"""The known backend servers: their entries, and the models that engines hold.

A server that leaves says so in its entry or, often earlier, in its responses; either is
enough, and only a new process of the server ends it.

A process of a server is the current one as long as the list of entries says so; the
list is complete up to a moment in the past, which is stated after each update.

Entries come from the platform's store.  The models and adapters of an engine come from
its entry and, between entries, from the leader; a server's own response takes
precedence over both.

An engine that evicts a model lists it in its entries until the last request for it has
ended, and turns new ones away.  So what the leader has withdrawn is not taken from
entries again for a while.
"""

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence, Set
from dataclasses import dataclass, field, replace

from sequoiapoint.protocol.gateway import Incarnation, ServerEntry, ServerState

Held = Mapping[str, Set[str]]


@dataclass
class EngineContents:
    """The models in one engine's memory, with their adapters.

    :param held: The adapters by model.
    :param not_held_until: Pairs of model and adapter that the server reported as not
        held, each with the time until which its report takes precedence.
    :param not_held_count: How often in a row the server has reported so.
    :param withdrawn_until: Models that the leader has withdrawn, each with the time
        until which entries that list it do not count.
    """

    held: dict[str, set[str]] = field(default_factory=dict)
    not_held_until: dict[tuple[str, str], float] = field(default_factory=dict)
    not_held_count: dict[tuple[str, str], int] = field(default_factory=dict)
    withdrawn_until: dict[str, float] = field(default_factory=dict)

    def withdraw(self, held: Mapping[str, Iterable[str]], until: float) -> None:
        """Note which models are withdrawn if the leader names these as held."""
        withdrawn = self.held.keys() - held.keys()
        for model in held:
            self.withdrawn_until.pop(model, None)
        self.withdrawn_until.update(dict.fromkeys(withdrawn, until))

    def listed(self, entry: ServerEntry, now: float) -> dict[str, set[str]]:
        """Return the models that an entry lists, except withdrawn ones."""
        return {
            model.name: set(model.adapters) | self.held.get(model.name, set())
            for model in entry.models
            if self.withdrawn_until.get(model.name, -math.inf) <= now
        }


MAX_FORMER = 512
"""Number of former processes, and of former versions, that are remembered."""
LEAVING_MEMORY_S = 60.0
"""Time for which a leaving process is remembered: longer than servers take to stop, and
longer than an entry may be missing from the store."""
NOT_HELD_TTL_S = 0.3
"""Time for which a server's response that it lacks a model or adapter takes precedence:
some round trips, after which the other sources are up to date.  It doubles with each
such response in a row, as the other sources may lag by seconds."""
MAX_NOT_HELD_TTL_S = 2.4
"""Maximum of that time."""
WITHDRAWN_TTL_S = 4.0
"""Time for which a model that the leader has withdrawn is not taken from entries: its
last requests end, and the engine writes an entry without it.  A zone that is cut off
from the leader uses what entries list afterwards."""


class Fleet:
    """The backend servers by id.

    :ivar known_since: The first moment at which the list of entries was complete.
    :ivar complete_until: The last such moment that is known.
    :ivar on_change: Called with a service and the names of models after a change of
        the servers that can run requests for these models; with None in place of the
        models if it concerns all requests for the service.
    """

    def __init__(self) -> None:
        self._entries: dict[str, ServerEntry] = {}
        self._by_service: dict[str, dict[str, ServerEntry]] = {}
        self._ready: dict[str, list[ServerEntry]] = {}
        self._holders: dict[tuple[str, str], dict[str, ServerEntry]] = {}
        self.on_change: Callable[[str, Collection[str] | None], None] = _ignore_change
        self._contents: dict[Incarnation, EngineContents] = {}
        self._missing_since: dict[str, float] = {}
        self._leaving_since: dict[Incarnation, float] = {}
        self._former_until: dict[Incarnation, float] = {}
        # Processes of which no entry has been written since they seemed to have ended.
        self._ended_at: dict[Incarnation, float] = {}
        self._versions_until: dict[tuple[str, str], float] = {}
        self._unconfirmed_versions: set[tuple[str, str]] = set()
        self.known_since = math.inf
        self.complete_until = -math.inf

    @property
    def entries(self) -> Mapping[str, ServerEntry]:
        """Return all entries by server."""
        return self._entries

    def put(self, entry: ServerEntry, now: float = -math.inf) -> bool:
        """Add or update an entry.

        :param now: The time, in seconds; no withdrawn model counts as held before it.
        :return: Whether it was applied; an entry of an earlier process of the same
            server is ignored.
        """
        known = self._entries.get(entry.server)
        if known is not None and known.started_ms > entry.started_ms:
            return False
        held_before = self._remove_from_holders(known)
        if self._ended_at.get(entry.incarnation, math.inf) <= self.complete_until:
            # The list was complete up to then, so this entry was written later.
            del self._ended_at[entry.incarnation]
        if known is not None and known.started_ms < entry.started_ms:
            self._contents.pop(known.incarnation, None)
            self._note_former(known)
        self._missing_since.pop(entry.server, None)
        if known is not None and known.service != entry.service:
            self._remove_from_service(known)
        self._entries[entry.server] = entry
        self._by_service.setdefault(entry.service, {})[entry.server] = entry
        if entry.models is not None:
            contents = self._contents.setdefault(entry.incarnation, EngineContents())
            contents.held = contents.listed(entry, now)
        self._ready.pop(entry.service, None)
        held = self._add_to_holders(entry)
        if known is None or _is_changed(known, entry):
            if known is not None and known.service != entry.service:
                self.on_change(known.service, None)
            self.on_change(entry.service, None)
        elif held != held_before:
            self.on_change(entry.service, _changed_models(held_before, held))
        return True

    def remove(self, server: str) -> None:
        """Remove a server whose entry was deleted."""
        entry = self._entries.pop(server, None)
        self._missing_since.pop(server, None)
        if entry is not None:
            self._remove_from_holders(entry)
            self._contents.pop(entry.incarnation, None)
            self._note_former(entry)
            self._remove_from_service(entry)
            self.on_change(entry.service, None)

    def _remove_from_service(self, entry: ServerEntry) -> None:
        self._ready.pop(entry.service, None)
        servers = self._by_service[entry.service]
        del servers[entry.server]
        if not servers:
            del self._by_service[entry.service]

    def _add_to_holders(self, entry: ServerEntry) -> Held:
        """Add an engine to the index of those that hold a model; return its models."""
        contents = self._contents.get(entry.incarnation)
        if contents is None:
            return {}
        for model in contents.held:
            holders = self._holders.setdefault((entry.service, model), {})
            holders[entry.server] = entry
        return contents.held

    def _remove_from_holders(self, entry: ServerEntry | None) -> Held:
        """Remove an engine from that index; return the models under which it was."""
        contents = None if entry is None else self._contents.get(entry.incarnation)
        if contents is None:
            return {}
        for model in contents.held:
            key = (entry.service, model)
            holders = self._holders[key]
            del holders[entry.server]
            if not holders:
                del self._holders[key]
        return contents.held

    def _note_former(self, entry: ServerEntry) -> None:
        """Remember until when a process was certainly the current one."""
        self._former_until[entry.incarnation] = self.complete_until
        while len(self._former_until) > MAX_FORMER:
            del self._former_until[next(iter(self._former_until))]
        self._unconfirmed_versions.add((entry.service, entry.version))

    def confirm(self, until: float) -> None:
        """Note that the list contains every change up to a moment, in seconds."""
        if until <= self.complete_until:
            return
        self.complete_until = until
        self.known_since = min(self.known_since, until)
        for key in self._unconfirmed_versions:
            self._versions_until[key] = until
        self._unconfirmed_versions = set()
        while len(self._versions_until) > MAX_FORMER:
            del self._versions_until[next(iter(self._versions_until))]

    def current_until(self, incarnation: Incarnation) -> float:
        """Return until when a process was certainly the current one of its server.

        :return: -inf if it is not known.
        """
        if self.is_listed(incarnation):
            return self.complete_until
        return self._former_until.get(incarnation, -math.inf)

    def is_listed(self, incarnation: Incarnation) -> bool:
        """Tell whether a process is the current one of its server."""
        current = self._entries.get(incarnation[0])
        return current is not None and current.incarnation == incarnation

    def note_ended(self, incarnation: Incarnation, now: float) -> None:
        """Record that a process seems to have ended, as connections to it fail."""
        self._ended_at.pop(incarnation, None)
        self._ended_at[incarnation] = now
        while len(self._ended_at) > MAX_FORMER:
            del self._ended_at[next(iter(self._ended_at))]

    def may_have_restarted(self, incarnation: Incarnation, connected_at: float) -> bool:
        """Tell whether a connection may lead to a process that is not listed yet.

        A server that restarts accepts connections before it writes its first entry.  It
        has not restarted if its former process still writes entries.

        :param connected_at: When the connection was opened, in seconds.
        """
        return connected_at >= self._ended_at.get(incarnation, math.inf)

    def versions(self, service: str, since: float) -> frozenset[str]:
        """Return the software versions of a service's servers since a moment."""
        current = {entry.version for entry in self._service_entries(service)}
        former = {
            version
            for (name, version), until in self._versions_until.items()
            if name == service and until >= since
        }
        pending = {v for name, v in self._unconfirmed_versions if name == service}
        return frozenset(current | former | pending)

    def note_leaving(self, incarnation: Incarnation, now: float) -> bool:
        """Record that a server's process has announced that it leaves.

        :return: Whether this was not known.
        """
        self._leaving_since = {
            known: since
            for known, since in self._leaving_since.items()
            if now - since < LEAVING_MEMORY_S
        }
        if incarnation in self._leaving_since:
            return False
        self._leaving_since[incarnation] = now
        return True

    def leaving(self) -> Collection[Incarnation]:
        """Return the processes that are known to leave."""
        return self._leaving_since.keys()

    def leaving_s(self, entry: ServerEntry, now: float) -> float | None:
        """Return since when a process is known to leave, in seconds; None if not."""
        since = self._leaving_since.get(entry.incarnation)
        return None if since is None else now - since

    def is_staying(self, entry: ServerEntry) -> bool:
        """Tell whether a server is ready and has not announced that it leaves."""
        return (
            entry.state is ServerState.READY
            and entry.incarnation not in self._leaving_since
        )

    def mark_missing(self, server: str, now: float) -> None:
        """Record that an entry is missing, although it may reappear."""
        if server in self._entries:
            self._missing_since.setdefault(server, now)

    @property
    def has_missing(self) -> bool:
        """Tell whether any entry is missing that may reappear."""
        return bool(self._missing_since)

    def remove_missing(self, before: float) -> list[str]:
        """Remove and return the servers that have been missing since before a time."""
        removed = [s for s, at in self._missing_since.items() if at < before]
        for server in removed:
            self.remove(server)
        return removed

    def ready_servers(self, service: str) -> Sequence[ServerEntry]:
        """Return the servers of a service that accept new requests."""
        ready = self._ready.get(service)
        if ready is None:
            entries = self._service_entries(service)
            ready = [e for e in entries if e.state is ServerState.READY]
            if entries:
                self._ready[service] = ready
        return ready

    def ready_holders(
        self, service: str, model: str, adapter: str, now: float
    ) -> list[ServerEntry]:
        """Return the engines for which ``holds`` is true and which accept requests."""
        holders = self._holders.get((service, model))
        if holders is None:
            return []
        pair, ready = (model, adapter), []
        for entry in holders.values():
            contents = self._contents[entry.incarnation]
            if (
                entry.state is ServerState.READY
                and (not adapter or adapter in contents.held[model])
                and contents.not_held_until.get(pair, 0.0) <= now
            ):
                ready.append(entry)
        return ready

    def held_again_at(
        self, service: str, model: str, adapter: str, now: float
    ) -> float:
        """Return when the first report of a server that it lacks a model expires.

        :return: The time in seconds; infinity if no such report is in force.
        """
        holders = self._holders.get((service, model), {}).values()
        pair = (model, adapter)
        untils = (
            self._contents[entry.incarnation].not_held_until.get(pair, -math.inf)
            for entry in holders
        )
        return min((until for until in untils if until > now), default=math.inf)

    def _service_entries(self, service: str) -> Collection[ServerEntry]:
        return self._by_service.get(service, {}).values()

    def is_ready(self, entry: ServerEntry) -> bool:
        """Tell whether the process that an entry names still accepts new requests."""
        current = self._entries.get(entry.server)
        return (
            current is not None
            and current.incarnation == entry.incarnation
            and current.state is ServerState.READY
        )

    def holds(self, entry: ServerEntry, model: str, adapter: str, now: float) -> bool:
        """Tell whether an engine is known to hold a model, and an adapter if given."""
        contents = self._contents.get(entry.incarnation)
        if contents is None or model not in contents.held:
            return False
        if contents.not_held_until.get((model, adapter), 0.0) > now:
            return False
        return not adapter or adapter in contents.held[model]

    def held_by(self, entry: ServerEntry) -> Held:
        """Return the adapters that an engine is known to hold, by model."""
        contents = self._contents.get(entry.incarnation)
        if contents is None:
            return {}
        return {model: frozenset(names) for model, names in contents.held.items()}

    def set_held(
        self,
        incarnation: Incarnation,
        held: Mapping[str, Iterable[str]],
        now: float = -math.inf,
    ) -> bool:
        """Replace the models of an engine by those that the leader reports.

        :param now: The time, in seconds.
        :return: Whether they changed; a report about another process is ignored.
        """
        entry = self._entries.get(incarnation[0])
        if entry is None or entry.incarnation != incarnation:
            return False
        contents = self._contents.setdefault(incarnation, EngineContents())
        new_held = {model: set(adapters) for model, adapters in held.items()}
        has_changed = new_held != contents.held
        contents.withdraw(new_held, now + WITHDRAWN_TTL_S)
        for pair in _pairs(new_held) - _pairs(contents.held):
            contents.not_held_until.pop(pair, None)
            contents.not_held_count.pop(pair, None)
        if has_changed:
            held_before = self._remove_from_holders(entry)
            contents.held = new_held
            self._add_to_holders(entry)
            changed = _changed_models(held_before, new_held)
            self.on_change(entry.service, changed)
        return has_changed

    def note_not_held(
        self, entry: ServerEntry, model: str, adapter: str, now: float
    ) -> None:
        """Record a server's response that it lacks a model or an adapter."""
        contents = self._contents.setdefault(entry.incarnation, EngineContents())
        pair = (model, adapter)
        if contents.not_held_until.get(pair, -math.inf) > now:
            # Requests that were sent before the first such response.
            return
        count = contents.not_held_count.get(pair, 0)
        contents.not_held_count[pair] = count + 1
        ttl_s = min(MAX_NOT_HELD_TTL_S, NOT_HELD_TTL_S * 2.0**count)
        contents.not_held_until[pair] = now + ttl_s
        self.on_change(entry.service, {model})

    def note_served(self, entry: ServerEntry, model: str, adapter: str) -> None:
        """Record that a server has run a request for a model and adapter."""
        contents = self._contents.get(entry.incarnation)
        if contents is not None:
            contents.not_held_count.pop((model, adapter), None)
            if contents.not_held_until.pop((model, adapter), None) is not None:
                self.on_change(entry.service, {model})


def _ignore_change(service: str, models: Collection[str] | None) -> None:
    """Do nothing; stands for ``on_change`` if nothing has to learn of changes."""


def _is_changed(known: ServerEntry, entry: ServerEntry) -> bool:
    """Tell whether an entry differs in more than what the server reports regularly."""
    return known != replace(entry, models=known.models, report_count=known.report_count)


def _changed_models(before: Held, after: Held) -> set[str]:
    """Return the models that are held with other adapters, or held or not any more."""
    return {
        model
        for model in before.keys() | after.keys()
        if before.get(model) != after.get(model)
    }


def _pairs(held: Mapping[str, Iterable[str]]) -> set[tuple[str, str]]:
    """Return all pairs of model and adapter; those without adapter have ""."""
    return {
        (model, name) for model, adapters in held.items() for name in ("", *adapters)
    }
