"""Selects the backend servers that can run a request, from the replicated state."""

from sequoiapoint.coordination.routing import Candidate, allowed_zone
from sequoiapoint.node.runtime import HostRuntime
from sequoiapoint.protocol.document import Document, Promise, Server, Service


def is_known_model(runtime: HostRuntime, name: str) -> bool:
    """Tell whether the configuration has a model or adapter with the given name."""
    with runtime.control.state() as state:
        return name in state.configuration.artifacts


def model_candidates(
    runtime: HostRuntime, name: str, service_class: Promise
) -> list[Candidate]:
    """Return the servers that hold a usable copy of a model or adapter.

    Copies of other versions are used while no copy of the current version is usable.
    """
    with runtime.control.state() as state:
        document = state.configuration.document
        artifact = state.configuration.artifacts[name]
        copies = state.serving_copies(name)
    current = [h for h in copies if h.artifact == artifact.artifact]
    servers = {h.server for h in current or copies}
    zone = allowed_zone(service_class, runtime.settings.zone, artifact.home_zone)
    by_name = {s.name: s for s in document.servers if s.name in servers}
    return [_candidate(s) for s in by_name.values() if zone in (None, s.zone)]


def service_candidates(
    runtime: HostRuntime, document: Document, service: Service, service_class: Promise
) -> list[Candidate]:
    """Return the servers that run a plain service and are in an allowed zone."""
    zone = allowed_zone(service_class, runtime.settings.zone, service.home_zone)
    names = set(service.servers)
    return [
        _candidate(s)
        for s in document.servers
        if s.name in names and zone in (None, s.zone)
    ]


def _candidate(server: Server) -> Candidate:
    return Candidate(server.name, server.zone, server.address)
