"""Codec of calls to the platform's store and of operators' and servers' records."""

import base64
import ipaddress
import json
import re
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Annotated, Any, Literal, TypeVar
from urllib.parse import urlencode

import pydantic

from sequoiapoint.platform import headers as names
from sequoiapoint.platform.servers import ModelStatus
from sequoiapoint.protocol.api_keys import key_digest
from sequoiapoint.protocol.gateway import (
    Allowance,
    CallerLimits,
    EngineSpec,
    GatewayConfiguration,
    GroupMembership,
    ModelSpec,
    Organisation,
    Repeatability,
    Route,
    ServerEntry,
    ServerState,
    ServiceSpec,
    StoreRecord,
    Unreadable,
)
from sequoiapoint.protocol.ports import Headers, HttpCall
from sequoiapoint.protocol.positions import MAX_ERA

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
SERVER_TOPIC = "keyed.servers"
TOKEN_UNIT = "token_count"
"""Unit of allowances that count tokens."""
_CALL_PREFIX = "/sequoiapoint/log-"
_JSON = [(b"Content-Type", b"application/json")]
_READ_HEADER = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
_REPORT_COUNT = re.compile(rb'"seq"\s*:\s*(0|[1-9][0-9]{0,17})(?=\s*[,}])')
"""The number of reports in an entry.  A quote within a string has a backslash before
it, so in valid JSON this is always a key."""
MAX_KNOWN_ENTRIES = 4096
"""Number of servers whose last entry is kept in decoded form."""

MAX_SLOTS = 1_000_000
MAX_COUNT = 2**53
"""Maximum of a time in milliseconds and of a number of reports: messages between hosts
carry integers of 64 bits, and an entry may come from another writer."""
MAX_START_MS = 10**13
"""Latest start of a server, in Unix milliseconds; a later one would outdate all further
entries of the server itself."""
_SERVER_ID = re.compile(r"[\x21-\x7e]+")
"""Server ids that a header can carry."""


def _usable_address(address: str) -> str:
    """Return an address.

    :raises ValueError: No connection can be opened to it.
    """
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not 0 < int(port) < 2**16:
        raise ValueError(f"port {port} is not valid")
    return address


Slots = Annotated[pydantic.StrictInt, pydantic.Field(gt=0, le=MAX_SLOTS)]
Count = Annotated[pydantic.StrictInt, pydantic.Field(ge=0, le=MAX_COUNT)]
Address = Annotated[
    pydantic.StrictStr,
    pydantic.Field(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"),
    pydantic.AfterValidator(_usable_address),
]


class _WireModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        alias_generator=lambda name: name.replace("_", "-"), populate_by_name=True
    )


WireModelT = TypeVar("WireModelT", bound=_WireModel)


class _Split(_WireModel):
    service: str
    weight: float


class _Route(_WireModel):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    goal_ms: float
    attempts: int = 1
    priority: int = 0
    can_resume: bool = False
    gap_aim_ms: float = 0.0
    service: str = ""
    split: list[_Split] = []
    public: bool = False

    def route(self) -> Route:
        """Convert to the gateway's data model."""
        is_stream = self.kind == "stream"
        may_repeat = self.kind == "idempotent" or (is_stream and self.can_resume)
        targets = tuple((s.service, s.weight) for s in self.split)
        return Route(
            name=self.name,
            host=self.host.lower(),
            prefix=self.prefix,
            targets=targets or ((self.service, 1.0),),
            repeatability=Repeatability.IDEMPOTENT
            if may_repeat
            else Repeatability.AT_MOST_ONCE,
            is_stream=is_stream,
            is_resumable=is_stream and self.can_resume,
            timeout_s=self.timeout_ms / 1000.0,
            goal_s=self.goal_ms / 1000.0,
            max_event_gap_s=self.gap_aim_ms / 1000.0,
            attempts=max(1, self.attempts),
            priority=self.priority,
            is_public=self.public,
        )


class _Model(_WireModel):
    name: str
    mb: float
    load_s: float
    warm_s: float = 0.0
    disk_s: float = 0.0
    # The number of adapters; in a server's entry this key lists names.
    adapters: int = 0
    adapter_mb: float = 0.0

    def spec(self) -> ModelSpec:
        """Convert to the gateway's data model."""
        return ModelSpec(
            name=self.name,
            size_mb=self.mb,
            load_s=self.load_s,
            host_load_s=self.warm_s or self.load_s,
            disk_load_s=self.disk_s or self.load_s,
            # The wire format gives only their number; their names are a1, a2, ...
            adapters=tuple(f"a{number}" for number in range(1, self.adapters + 1)),
            adapter_mb=self.adapter_mb,
        )


class _Engine(_WireModel):
    slots: int
    mb: float = 0.0
    adapter_slots: int = 0
    loads_per_s: float = 1.0
    models: list[_Model] = []

    def spec(self) -> EngineSpec:
        """Convert to the gateway's data model."""
        return EngineSpec(
            slots=self.slots,
            memory_mb=self.mb,
            adapter_slots=self.adapter_slots,
            store_loads_per_s=self.loads_per_s,
            models={model.name: model.spec() for model in self.models},
        )


class _Service(_WireModel):
    name: str
    max_conns: int = 64
    engine: _Engine | None = None


class _Tenant(_WireModel):
    # Sent to servers in a header.
    name: Annotated[str, pydantic.Field(pattern=r"^[^\x00-\x1f\x7f]+$")]
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = ""
    plain_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0

    def organisation(self) -> Organisation:
        """Convert to the gateway's data model."""
        allowance = None
        if self.rate_per_s > 0:
            counts_tokens = self.unit == TOKEN_UNIT
            allowance = Allowance(
                rate_per_s=self.rate_per_s,
                burst=max(0.0, self.burst),
                counts_tokens=counts_tokens,
                plain_cost=self.plain_tokens if counts_tokens else 1.0,
            )
        return Organisation(self.name, self.priority, allowance)


class _Limits(_WireModel):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Configuration(_WireModel):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None

    def _organisations(self) -> dict[bytes, Organisation] | None:
        """Return the organisation of each key by the key's digest."""
        if self.tenants is None:
            return None
        organisations = {}
        for tenant in self.tenants:
            organisation = tenant.organisation()
            for key in tenant.api_keys:
                organisations[key_digest(key.encode())] = organisation
        return organisations

    def configuration(self) -> GatewayConfiguration:
        """Convert to the gateway's data model."""
        return GatewayConfiguration(
            version=self.version,
            routes=tuple(route.route() for route in self.routes),
            services={
                service.name: ServiceSpec(
                    service.name,
                    service.max_conns,
                    service.engine.spec() if service.engine else None,
                )
                for service in self.services
            },
            limits=CallerLimits(
                max_header_bytes=self.limits.max_header_bytes,
                max_body_bytes=self.limits.max_body_bytes,
                header_timeout_s=self.limits.header_timeout_ms / 1000.0,
                idle_timeout_s=self.limits.idle_timeout_ms / 1000.0,
            ),
            organisations=self._organisations(),
        )


class _ServerEntry(_WireModel):
    service: pydantic.StrictStr
    addr: Address
    zone: pydantic.StrictStr
    state: Literal["ready", "draining"]
    slots: Slots
    version: pydantic.StrictStr
    # The number of reports since the start; in a report "seq" counts orders.
    seq: Count
    # The Unix time of the process's start, in milliseconds.
    born: Annotated[Count, pydantic.Field(le=MAX_START_MS)] = 0
    models: list[ModelStatus] | None = None
    # Only validated: a server about to be reclaimed also has the state "draining".
    remaining_ms: pydantic.StrictInt | pydantic.StrictFloat | None = None

    def entry(self, server: str) -> ServerEntry:
        """Convert to the gateway's data model."""
        held = None if self.models is None else tuple(m.held() for m in self.models)
        return ServerEntry(
            server=server,
            service=self.service,
            address=self.addr,
            zone=self.zone,
            state=ServerState(self.state),
            started_ms=self.born,
            slots=self.slots,
            models=held,
            report_count=self.seq,
            version=self.version,
        )


class _Newest(_WireModel):
    items: list[Any]
    end: pydantic.StrictInt
    has_more: bool = False


class _Item(_WireModel):
    key: pydantic.StrictStr
    value: pydantic.StrictStr
    offset: pydantic.StrictInt

    def record(self) -> StoreRecord:
        """Convert to the gateway's data model.

        :raises ValueError: The value is not valid base64.
        """
        return StoreRecord(self.offset, self.key, base64.b64decode(self.value) or None)


class _Join(_WireModel):
    generation: pydantic.StrictInt
    parts: list[Any]


def _validated(model: type[WireModelT], body: bytes) -> WireModelT:
    """Decode a response.

    :raises ValueError: The response cannot be read.
    """
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise ValueError(_reason(error)) from error


def _reason(error: ValueError) -> str:
    if isinstance(error, pydantic.ValidationError):
        detail = error.errors()[0]
        return f"{'.'.join(map(str, detail['loc']))}: {detail['msg']}"
    return str(error)


def _get(call: str, **query: object) -> HttpCall:
    return HttpCall("GET", f"{_CALL_PREFIX}{call}?{urlencode(query)}")


def _post(call: str, body: dict[str, Any]) -> HttpCall:
    return HttpCall("POST", f"{_CALL_PREFIX}{call}", _JSON, json.dumps(body).encode())


def _keyed_record(key: str, value: bytes) -> bytes:
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(content)) + content


def _split_records(body: bytes) -> Iterator[bytes]:
    position = _READ_HEADER.size
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        yield body[position : position + length]
        position += length


@dataclass(frozen=True)
class _KnownEntry:
    """A decoded entry, and its bytes before and after the number of reports."""

    prefix: bytes
    suffix: bytes
    entry: ServerEntry


class PlatformStoreCodec:
    """Encodes calls to the store and decodes its responses."""

    def __init__(self) -> None:
        self._known_entries: dict[str, _KnownEntry] = {}

    def decode_era(self, headers: Headers) -> int | None:
        """Decode how often the store has come back from an older copy.

        :raises ValueError: The value cannot be read.
        """
        value = names.first_value(headers, names.STORE_ERA)
        if value is None:
            return None
        era = names.parse_integer(value)
        if era is None or era > MAX_ERA:
            raise ValueError(f"{names.STORE_ERA.decode()}: {value[:40]!r}")
        return era

    def configuration_topic(self) -> str:
        """Return the topic with the operators' configuration."""
        return CONFIGURATION_TOPIC

    def server_topic(self) -> str:
        """Return the topic with the servers' entries."""
        return SERVER_TOPIC

    def newest_call(self, topic: str, after: str | None) -> HttpCall:
        """Encode a request for the latest record of each key of a topic."""
        query = {"topic": topic, "part": 0} | ({"after": after} if after else {})
        return _get("newest", **query)

    def decode_newest(
        self, body: bytes, skip: Callable[[str], None]
    ) -> tuple[list[StoreRecord], int, bool]:
        """Return the records, the topic's end offset and whether more pages follow.

        :param skip: Called with the reason for each item that cannot be read.
        :raises ValueError: The response as a whole cannot be read.
        """
        response = _validated(_Newest, body)
        records = []
        for item in response.items:
            try:
                records.append(_Item.model_validate(item).record())
            except ValueError as error:
                skip(_reason(error))
        return records, response.end, response.has_more

    def read_call(self, topic: str, offset: int, wait_s: float) -> HttpCall:
        """Encode a read that waits up to ``wait_s`` seconds for records."""
        query = {"topic": topic, "part": 0, "from": offset}
        return _get("read", **query, **{"wait-ms": int(wait_s * 1000)})

    def decode_read(self, topic: str, offset: int, body: bytes) -> list[StoreRecord]:
        """Decode the records returned by a read.

        :raises ValueError: The response is invalid.
        """
        if len(body) < _READ_HEADER.size:
            raise ValueError(f"read of {topic} has {len(body)} bytes")
        records = []
        for position, content in enumerate(_split_records(body)):
            key_length = content[0] if content else 0
            key = content[1 : 1 + key_length].decode("utf-8", "replace")
            value = content[1 + key_length :]
            records.append(StoreRecord(offset + position, key, value or None))
        return records

    def put_call(self, topic: str, key: str, value: bytes) -> HttpCall:
        """Encode the write of one keyed record."""
        query = urlencode({"topic": topic, "part": 0})
        return HttpCall(
            "POST", f"{_CALL_PREFIX}append?{query}", [], _keyed_record(key, value)
        )

    def join_call(
        self, group: str, topic: str, member: str, lease_s: float, generation: int
    ) -> HttpCall:
        """Encode a request to join a group or to renew the membership.

        :param lease_s: The duration of the membership, in seconds.
        """
        body = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttl-ms": int(lease_s * 1000),
            "generation": generation,
        }
        return _post("join", body)

    def decode_join(self, body: bytes, skip: Callable[[str], None]) -> GroupMembership:
        """Decode the response to a join.

        :param skip: Called with the reason for each row that cannot be read.
        :raises ValueError: The response as a whole cannot be read.
        """
        response = _validated(_Join, body)
        partitions = set()
        for row in response.parts:
            # Each row contains topic, partition and committed offset.
            if isinstance(row, list) and len(row) > 1 and type(row[1]) is int:
                partitions.add(row[1])
            else:
                skip("a row without a partition number")
        return GroupMembership(response.generation, frozenset(partitions))

    def leave_call(self, group: str, member: str) -> HttpCall:
        """Encode a request to leave a group."""
        return _post("leave", {"group": group, "member": member})

    def decode_configuration(
        self, record: StoreRecord
    ) -> GatewayConfiguration | Unreadable | None:
        """Decode a configuration; return None if the record has another key."""
        if record.key != CONFIGURATION_KEY:
            return None
        try:
            wire = _Configuration.model_validate_json(record.value or b"")
        except pydantic.ValidationError as error:
            return Unreadable(record.key, _first_error(error))
        return wire.configuration()

    def decode_server(self, record: StoreRecord) -> ServerEntry | Unreadable:
        """Decode a server's entry.

        Each server writes its entry about once a second, mostly with nothing new but
        the number of reports; the rest is then taken from its last entry.
        """
        value = record.value or b""
        counts = list(_REPORT_COUNT.finditer(value))
        if len(counts) != 1 or b"\\" in value:
            return self._decode_changed_server(record.key, value)
        start, end = counts[0].span(1)
        known = self._known_entries.get(record.key)
        if (
            known is not None
            and int(value[start:end]) <= MAX_COUNT
            and value[:start] == known.prefix
            and value[end:] == known.suffix
        ):
            return replace(known.entry, report_count=int(value[start:end]))
        entry = self._decode_changed_server(record.key, value)
        # Otherwise the count that was found is not the entry's own.
        if isinstance(entry, ServerEntry) and (
            entry.report_count == int(value[start:end])
        ):
            self._known_entries.pop(record.key, None)
            self._known_entries[record.key] = _KnownEntry(
                value[:start], value[end:], entry
            )
            if len(self._known_entries) > MAX_KNOWN_ENTRIES:
                del self._known_entries[next(iter(self._known_entries))]
        return entry

    def _decode_changed_server(
        self, server: str, value: bytes
    ) -> ServerEntry | Unreadable:
        if not _SERVER_ID.fullmatch(server):
            return Unreadable(server, "the key is no server id")
        try:
            return _ServerEntry.model_validate_json(value).entry(server)
        except pydantic.ValidationError as error:
            return Unreadable(server, _first_error(error))


def _first_error(error: pydantic.ValidationError) -> str:
    first = error.errors()[0]
    return f"{'.'.join(str(part) for part in first['loc'])}: {first['msg']}"
