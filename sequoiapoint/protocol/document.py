"""The operators' document: the complete configuration of a site.

Both the console's forms and the command line submit such a document.  It is validated
as a whole: an inconsistency between two parts makes the document invalid.
"""

from typing import Literal

import pydantic

from sequoiapoint.protocol.addresses import Address
from sequoiapoint.protocol.jsonc import InvalidModelError, Location

Name = pydantic.constr(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")


class _DocumentPart(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Server(_DocumentPart):
    """A backend server.

    :param accelerators: The number of accelerators; a loaded model occupies an equal
        share of each one's memory.
    :param memory_mb: The total memory of all accelerators, in megabytes.
    :param checks_fencing: Whether it rejects orders with an outdated fencing token.
    """

    name: Name
    address: Address
    zone: Name
    kind: Literal["engine", "service"] = "engine"
    accelerators: int = pydantic.Field(default=0, ge=0)
    memory_mb: int = pydantic.Field(default=0, ge=0)
    checks_fencing: bool = False


class Model(_DocumentPart):
    """A language model; at least one copy is always kept in its home zone.

    :param copies: The minimum number of servers in the home zone that hold it; more
        than one keeps responses from being interrupted when a server crashes.
    """

    name: Name
    version: Name = "1"
    memory_mb: int = pydantic.Field(gt=0)
    home_zone: Name
    copies: int = pydantic.Field(default=1, ge=1, le=16)


class Adapter(_DocumentPart):
    """An adapter, loaded on a server that holds its base model."""

    name: Name
    version: Name = "1"
    model: Name
    memory_mb: int = pydantic.Field(gt=0)


class Service(_DocumentPart):
    """A service without models and the backend servers that run it.

    :param home_zone: The availability zone whose log records its idempotency keys.
    :param promise: The name of the service class that applies to its requests.
    """

    name: Name
    servers: list[Name] = pydantic.Field(min_length=1)
    home_zone: Name
    promise: Name


class Promise(_DocumentPart):
    """A service class: the guarantees for one kind of request.

    :param deadline_ms: The time within which a request must end, in milliseconds.
    :param first_token_ms: The target time to the first token, in milliseconds.
    :param priority: The urgency; smaller numbers are more urgent.
    :param repeatable: Whether a request may be executed more than once.
    :param where: The zones in which a request may be executed.
    """

    name: Name
    deadline_ms: int = pydantic.Field(gt=0, le=3_600_000)
    first_token_ms: int = pydantic.Field(default=690, gt=0)
    priority: int = pydantic.Field(default=5, ge=0, le=9)
    repeatable: bool = True
    where: Literal["anywhere", "own_zone", "home_zone"] = "anywhere"


class WeightStore(_DocumentPart):
    """The weight store's limits for the whole site."""

    loads_per_s: float = pydantic.Field(gt=0)
    concurrent: int = pydantic.Field(gt=0)


class OlderSystem(_DocumentPart):
    """Capacity reserved for the older system until it is switched off."""

    memory_mb_per_server: int = pydantic.Field(default=0, ge=0)
    loads_per_s: float = pydantic.Field(default=0.0, ge=0)
    orders_per_s: float = pydantic.Field(default=0.0, ge=0)


class Document(_DocumentPart):
    """The complete configuration."""

    zones: list[Name] = pydantic.Field(min_length=1)
    servers: list[Server]
    models: list[Model] = []
    adapters: list[Adapter] = []
    services: list[Service] = []
    promises: list[Promise] = pydantic.Field(min_length=1)
    weight_store: WeightStore
    older_system: OlderSystem = OlderSystem()
    move_price: float = pydantic.Field(default=1.0, ge=0)

    @pydantic.model_validator(mode="after")
    def _check_consistency(self) -> "Document":
        problems = [
            *_duplicate_names(self),
            *_unknown_references(self),
            *_memory_problems(self),
        ]
        if problems:
            raise InvalidModelError(problems)
        return self


def usable_memory_mb(document: Document, server: Server) -> int:
    """Return the server memory available to this system, in megabytes."""
    return max(0, server.memory_mb - document.older_system.memory_mb_per_server)


def model_memory_mb(document: Document, model: Model) -> int:
    """Return the memory of a model and all its adapters, in megabytes."""
    adapters = (a.memory_mb for a in document.adapters if a.model == model.name)
    return model.memory_mb + sum(adapters)


Problem = tuple[Location, str]


def _duplicate_names(document: Document) -> list[Problem]:
    """Report parts of one kind that share a name."""
    problems: list[Problem] = []
    for field in ("servers", "models", "adapters", "services", "promises"):
        seen: set[str] = set()
        for index, part in enumerate(getattr(document, field)):
            if part.name in seen:
                message = f"{field}: name {part.name!r} stands twice"
                problems.append(((field, index, "name"), message))
            seen.add(part.name)
    names = {m.name for m in document.models}
    for index, adapter in enumerate(document.adapters):
        if adapter.name in names:
            message = f"adapters: {adapter.name!r} is a model's name"
            problems.append((("adapters", index, "name"), message))
    return problems


def _unknown_references(document: Document) -> list[Problem]:
    """Report references to names that the document does not define."""
    zones = set(document.zones)
    models = {m.name for m in document.models}
    promises = {p.name for p in document.promises}
    services = {s.name for s in document.servers if s.kind == "service"}
    checks = (
        ("servers", "zone", zones),
        ("models", "home_zone", zones),
        ("adapters", "model", models),
        ("services", "home_zone", zones),
        ("services", "promise", promises),
    )
    problems: list[Problem] = []
    for field, attribute, known in checks:
        for index, part in enumerate(getattr(document, field)):
            value = getattr(part, attribute)
            if value not in known:
                message = f"{field}: {part.name!r} has unknown {attribute} {value!r}"
                problems.append(((field, index, attribute), message))
    for index, service in enumerate(document.services):
        for position, name in enumerate(service.servers):
            if name not in services:
                message = f"services: {service.name!r} names no service server {name!r}"
                problems.append((("services", index, "servers", position), message))
    return problems


def _memory_problems(document: Document) -> list[Problem]:
    """Report models whose home copies do not fit their zone, placed largest first."""
    problems: list[Problem] = []
    free_by_zone = {
        zone: [
            usable_memory_mb(document, s)
            for s in document.servers
            if s.zone == zone and s.kind == "engine"
        ]
        for zone in document.zones
    }
    sized = [
        (model_memory_mb(document, m), i, m) for i, m in enumerate(document.models)
    ]
    for size, index, model in sorted(sized, key=lambda item: -item[0]):
        free_mb = free_by_zone.get(model.home_zone)
        if free_mb is None:
            continue
        free_mb.sort(reverse=True)
        fitting = sum(1 for mb in free_mb[: model.copies] if mb >= size)
        if fitting < model.copies:
            message = (
                f"models: memory overcommitted: {model.name!r} with its adapters needs "
                f"{size} MB on {model.copies} servers of zone {model.home_zone!r}, "
                f"but only {fitting} have room"
            )
            problems.append((("models", index, "memory_mb"), message))
            continue
        free_mb[: model.copies] = [mb - size for mb in free_mb[: model.copies]]
    return problems
