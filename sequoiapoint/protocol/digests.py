"""Codec of the messages between gateway hosts."""

import enum
import functools
import ipaddress
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import capnp

from sequoiapoint.protocol.gateway import Incarnation, ModelDemand, StoreRecord
from sequoiapoint.protocol.packed import DECODE_ERRORS, read_packed
from sequoiapoint.protocol.readers import read_fields, struct_fields

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("digest.capnp")))


_COUNT = struct_fields(_SCHEMA.Count, "server", "startedMs", "running")
_PROCESS = struct_fields(_SCHEMA.Process, "server", "startedMs")
_DEMAND = struct_fields(
    _SCHEMA.Demand,
    *("service", "model", "adapter", "inWork", "waiting"),
    *("goalMs", "priority", "unservedMs"),
)
_MEMBER = struct_fields(_SCHEMA.Member, "host", "zone", "address", "capacity")
_HOLDING = struct_fields(_SCHEMA.Holding, "server", "startedMs", "models")
_HELD_MODEL = struct_fields(_SCHEMA.HeldModel, "model", "adapters")
_SUSPICION = struct_fields(_SCHEMA.Suspicion, "fingerprint", "deaths")
_SUSPECT_PART = struct_fields(_SCHEMA.SuspectPart, "part", "crashes", "isCleared")
_LIMIT = struct_fields(_SCHEMA.Limit, "server", "startedMs", "perS", "ageMs")
_SERVER_AGE = struct_fields(_SCHEMA.ServerAge, "server", "startedMs", "ageMs")
_SPEED = struct_fields(
    _SCHEMA.Speed, "process", "slownessPercent", "ageCs", "workPermille", "samples"
)
_DIGEST = dict(_SCHEMA.Digest.schema.fields)

NO_LIMIT_PER_S = -1.0
"""Stands for a server that names no limit."""
UNKNOWN_AGE_MS = -1
"""Stands for an age that the sender does not know."""
MAX_UINT16 = 65_535
MAX_PRIORITY = 255
"""The least urgent priority that a digest can carry."""
MAX_KNOWN_MEMBERS = 4_096
"""Number of members of digests that are kept; far more than hosts are intended."""
MAX_KNOWN_ADDRESSES = 4_096
"""Number of addresses of hosts that are checked once."""
MAX_PER_S = 1e9
"""Highest rate that a server can name; its header has at most nine digits."""
MAX_UINT32 = 2**32 - 1
"""Highest count or age in a message.  Sums of what other hosts report may be higher."""
MAX_TOPIC_STATE_BYTES = 64_000_000
"""Maximum size of a topic, far above the configuration of the largest intended site."""
TRAVERSAL_LIMIT_WORDS = MAX_TOPIC_STATE_BYTES // 8
"""The same as a read limit."""
COMPRESSION_LEVEL = 1
"""Level of the fastest compression, which reduces a configuration to a fifth."""


Item = TypeVar("Item")


class Scope(enum.Enum):
    """The set of hosts whose requests a digest counts."""

    HOST = "host"
    ZONE = "zone"
    FLEET = "fleet"
    NONE = "none"


_SCOPES = {scope.value: scope for scope in Scope}


@dataclass(frozen=True)
class Member:
    """A gateway host and its address for digests and calls from other hosts.

    :param capacity: The host's processor capacity in thousandths of a core.
    """

    host: str
    zone: str
    address: str
    capacity: int = 0


_known_member = functools.lru_cache(MAX_KNOWN_MEMBERS)(Member)
"""Digests list the same members twice a second; equal ones become one object."""


@dataclass(frozen=True)
class ServerLimit:
    """What a server process has said of its limit.

    :param per_s: Requests a second from all hosts together; None for no limit.
    :param age_s: The time since the response that said so, in seconds.
    """

    server: Incarnation
    per_s: float | None
    age_s: float


@dataclass(frozen=True)
class SpeedSample:
    """What one or many hosts know of the speed of a server process.

    :param slowness: What the server stated last, as a multiple of its usual time.
    :param age_s: The time since then, in seconds.
    :param mean_work: Mean of the observed times at the usual speed, as multiples of the
        times expected of the requests.
    :param samples: Number of observations in the mean; older ones count less.
    """

    slowness: float
    age_s: float
    mean_work: float
    samples: float


@dataclass(frozen=True)
class Digest:
    """The state that a host sends to other hosts a few times a second.

    :param address: The sender's address for digests and calls from other hosts.
    :param started_ms: The Unix time of the sender's start, in milliseconds; it
        distinguishes successive processes of one host.
    :param configuration_end: The offset after the last record that the sender knows of
        the configuration topic.
    :param server_end: The same for the server topic.
    :param is_store_reachable: Whether the sender reaches the platform's store.
    :param fence: The leader's fencing token; 0 if the sender is not the leader.
    :param counts: Running requests at each server, from the hosts in ``scope``.
    :param demands: The sender's demand for models.
    :param holdings: Resident models and adapters by engine, sent by the leader.
    :param suspicions: Request fingerprints with the server processes that crashed while
        running them.
    :param host_count: The number of hosts that the counts cover.
    :param members: The hosts of the sender's zone, if it aggregates for them.
    :param relays: The aggregators of the zones and their successors.
    :param is_demand_report: Whether the demands replace those of the last report.
    :param is_heartbeat: Whether the digest carries no counts, members and relays, and
        those of the sender's last digest remain valid.
    :param capacity: The sender's processor capacity in thousandths of a core.
    :param leaving_servers: Server processes that have announced that they leave.
    :param server_age_s: Time since the read of the store that brought the sender to
        ``server_end``, or confirmed it, in seconds; None if it is not known.
    :param suspect_parts: Parts of prompts with the numbers of the engine processes that
        crashed with them in flight, and whether they are cleared.
    :param limits: What server processes have said of their limits.
    :param live_zones: The zones with live hosts, if the sender is an aggregator.
    :param brittle: How many requests a second server processes have said that they can
        turn away; None for those that are not brittle.
    :param fallen: Server processes that fell over for want of room.
    :param turned_away: Server processes that have turned requests away, and the time
        since then in seconds.
    :param contested: Aggregators, heard by the sender, beside which a host of lower
        precedence aggregates for the same zone.
    :param speeds: How long work takes at server processes, by their numbers, as known
        to the hosts in ``scope``.
    :param repeated_crashes: Those of the crashes in ``suspicions`` of processes that
        were sent the request as a suspect.
    :param cleared_requests: Fingerprints of suspect requests that have been answered.
    :param sent_at: When it was sent by the sender's clock, which includes the
        suspension of the system, in seconds; None if that is not stated.
    """

    host: str
    zone: str
    address: str
    started_ms: int
    is_leaving: bool = False
    configuration_end: int = -1
    server_end: int = -1
    is_store_reachable: bool = False
    fence: int = 0
    counts: tuple[tuple[Incarnation, int], ...] = ()
    demands: tuple[ModelDemand, ...] = ()
    holdings: tuple[tuple[Incarnation, dict[str, frozenset[str]]], ...] = ()
    suspicions: tuple[tuple[str, frozenset[str]], ...] = ()
    scope: Scope = Scope.HOST
    host_count: int = 1
    members: tuple[Member, ...] = ()
    relays: tuple[Member, ...] = ()
    is_demand_report: bool = False
    is_heartbeat: bool = False
    capacity: int = 0
    leaving_servers: tuple[Incarnation, ...] = ()
    server_age_s: float | None = None
    suspect_parts: tuple[tuple[str, frozenset[int], bool], ...] = ()
    limits: tuple[ServerLimit, ...] = ()
    live_zones: tuple[str, ...] = ()
    brittle: tuple[ServerLimit, ...] = ()
    fallen: tuple[Incarnation, ...] = ()
    turned_away: tuple[tuple[Incarnation, float], ...] = ()
    contested: tuple[Member, ...] = ()
    speeds: tuple[tuple[int, SpeedSample], ...] = ()
    repeated_crashes: tuple[tuple[str, frozenset[str]], ...] = ()
    cleared_requests: tuple[str, ...] = ()
    sent_at: float | None = None

    @property
    def sender(self) -> Member:
        """Return the host that sent the digest."""
        return _known_member(self.host, self.zone, self.address, self.capacity)


def _decode_each(
    decode: Callable[[Any], Item], messages: Sequence[Any]
) -> tuple[Item, ...]:
    return tuple(map(decode, messages)) if len(messages) else ()


def _encode_age(age_s: float | None) -> int:
    return UNKNOWN_AGE_MS if age_s is None else round(1000 * age_s)


def _decode_age(age_ms: int) -> float | None:
    return None if age_ms < 0 else age_ms / 1000


def _new_items(message: Any, name: str, values: Sequence[Item]) -> Iterable[Any]:
    """Return pairs of an item of a new list of structs and the value to set in it.

    A list without items is not written, which readers take for an empty one.
    """
    return zip(message.init(name, len(values)), values, strict=True) if values else ()


def _encode_members(message: Any, name: str, members: Sequence[Member]) -> None:
    for item, member in _new_items(message, name, members):
        item.host, item.zone = member.host, member.zone
        item.address, item.capacity = member.address, member.capacity


def _encode_processes(
    message: Any, name: str, processes: Sequence[Incarnation]
) -> None:
    for item, process in _new_items(message, name, processes):
        item.server, item.startedMs = process


def _decode_member(message: Any) -> Member:
    host, zone, address, capacity = read_fields(message, _MEMBER)
    return _known_member(host, zone, checked_address(address), capacity)


def _encode_counts(message: Any, counts: Sequence[tuple[Incarnation, int]]) -> None:
    server_field, started_field, running_field = _COUNT
    for item, ((server, started_ms), running) in _new_items(message, "counts", counts):
        put = item._set_by_field
        put(server_field, server)
        put(started_field, started_ms)
        put(running_field, _uint32(running))


def _decode_counts(counts: Iterable[Any]) -> tuple[tuple[Incarnation, int], ...]:
    server, started_ms, running = _COUNT
    return tuple(
        ((get(server), get(started_ms)), get(running))
        for get in (count._get_by_field for count in counts)
    )


def _decode_process(message: Any) -> Incarnation:
    server, started_ms = read_fields(message, _PROCESS)
    return server, started_ms


def _decode_demand(message: Any) -> ModelDemand:
    *names, running, waiting, goal_ms, priority, unserved_ms = read_fields(
        message, _DEMAND
    )
    return ModelDemand(
        *names, running, waiting, goal_ms / 1000, priority, unserved_ms / 1000
    )


def _encode_suspicions(
    message: Any, name: str, suspicions: Sequence[tuple[str, frozenset[str]]]
) -> None:
    for item, (fingerprint, deaths) in _new_items(message, name, suspicions):
        item.fingerprint, item.deaths = fingerprint, sorted(deaths)


def _decode_suspicion(message: Any) -> tuple[str, frozenset[str]]:
    fingerprint, deaths = read_fields(message, _SUSPICION)
    return fingerprint, frozenset(deaths)


def _decode_suspect_part(message: Any) -> tuple[str, frozenset[int], bool]:
    part, crashes, is_cleared = read_fields(message, _SUSPECT_PART)
    return part, frozenset(crashes), is_cleared


def _decode_server_age(message: Any) -> tuple[Incarnation, float]:
    server, started_ms, age_ms = read_fields(message, _SERVER_AGE)
    return (server, started_ms), age_ms / 1000


def _encode_holdings(
    message: Any,
    holdings: Sequence[tuple[Incarnation, Mapping[str, frozenset[str]]]],
) -> None:
    for item, (process, held) in _new_items(message, "holdings", holdings):
        item.server, item.startedMs = process
        for model, (name, adapters) in _new_items(item, "models", list(held.items())):
            model.model, model.adapters = name, sorted(adapters)


def _decode_holdings(
    holdings: Iterable[Any],
) -> tuple[tuple[Incarnation, dict[str, frozenset[str]]], ...]:
    server, started_ms, models = _HOLDING
    name, adapters = _HELD_MODEL
    return tuple(
        (
            (get(server), get(started_ms)),
            {
                get_model(name): frozenset(get_model(adapters))
                for get_model in (model._get_by_field for model in get(models))
            },
        )
        for get in (holding._get_by_field for holding in holdings)
    )


@functools.lru_cache(MAX_KNOWN_ADDRESSES)
def checked_address(address: str) -> str:
    """Return the address of a host if it is an IP address and a port.

    The sockets raise errors for any other, and the loop that sends would end.

    :raises ValueError: It is not.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 2**16):
        raise ValueError(f"not a port: {port!r}")
    return address


def _uint32(number: int) -> int:
    return number if 0 <= number <= MAX_UINT32 else max(0, min(MAX_UINT32, number))


def _encode_demands(message: Any, demands: Sequence[ModelDemand]) -> None:
    for item, demand in _new_items(message, "demands", demands):
        item.service, item.model = demand.service, demand.model
        item.adapter = demand.adapter
        item.inWork, item.waiting = _uint32(demand.running), _uint32(demand.waiting)
        item.goalMs = _uint32(round(demand.goal_s * 1000))
        item.priority = min(demand.priority, MAX_PRIORITY)
        item.unservedMs = _uint32(round(demand.unserved_s * 1000))


def _encode_limits(message: Any, name: str, limits: Sequence[ServerLimit]) -> None:
    for item, limit in _new_items(message, name, limits):
        item.server, item.startedMs = limit.server
        item.perS = NO_LIMIT_PER_S if limit.per_s is None else limit.per_s
        item.ageMs = _uint32(round(1000 * limit.age_s))


def checked_rate(per_s: float) -> float:
    """Return a rate if a server can have named it.

    :raises ValueError: It is not a number, or too high.
    """
    if not per_s <= MAX_PER_S:
        raise ValueError(f"not a rate: {per_s}")
    return per_s


def _decode_limit(message: Any) -> ServerLimit:
    server, started_ms, per_s, age_ms = read_fields(message, _LIMIT)
    limit = None if per_s < 0 else checked_rate(per_s)
    return ServerLimit((server, started_ms), limit, age_ms / 1000)


def _cut(value: float) -> int:
    if 0.0 <= value <= MAX_UINT16:
        return round(value)
    return MAX_UINT16 if value > 0.0 else 0


def _encode_speeds(message: Any, speeds: Sequence[tuple[int, SpeedSample]]) -> None:
    process_field, slowness_field, age_field, work_field, samples_field = _SPEED
    for item, (process, sample) in _new_items(message, "speeds", speeds):
        put = item._set_by_field
        put(process_field, process)
        put(slowness_field, _cut(100 * sample.slowness))
        put(age_field, _cut(100 * sample.age_s))
        put(work_field, _cut(1000 * sample.mean_work))
        put(samples_field, _cut(10 * sample.samples))


def _decode_speeds(speeds: Iterable[Any]) -> tuple[tuple[int, SpeedSample], ...]:
    process, slowness_percent, age_cs, work_permille, samples = _SPEED
    return tuple(
        (
            get(process),
            SpeedSample(
                get(slowness_percent) / 100,
                get(age_cs) / 100,
                get(work_permille) / 1000,
                get(samples) / 10,
            ),
        )
        for get in (speed._get_by_field for speed in speeds)
    )


def encode_digest(digest: Digest) -> bytes:
    """Encode a digest as a datagram."""
    message = _SCHEMA.Digest.new_message()
    message.host, message.zone = digest.host, digest.zone
    message.address, message.capacity = digest.address, digest.capacity
    message.startedMs, message.isLeaving = digest.started_ms, digest.is_leaving
    message.configurationEnd = digest.configuration_end
    message.serverEnd = digest.server_end
    message.serverAgeMs = _encode_age(digest.server_age_s)
    message.sentMs = _encode_age(digest.sent_at)
    message.isStoreReachable = digest.is_store_reachable
    message.fence = digest.fence
    message.scope, message.hostCount = digest.scope.value, _uint32(digest.host_count)
    message.isDemandReport = digest.is_demand_report
    message.isHeartbeat = digest.is_heartbeat
    _encode_demands(message, digest.demands)
    _encode_suspicions(message, "suspicions", digest.suspicions)
    _encode_suspicions(message, "repeatedCrashes", digest.repeated_crashes)
    if digest.cleared_requests:
        message.clearedRequests = list(digest.cleared_requests)
    _encode_processes(message, "leavingServers", digest.leaving_servers)
    for item, (part, crashes, is_cleared) in _new_items(
        message, "suspectParts", digest.suspect_parts
    ):
        item.part, item.crashes = part, sorted(crashes)
        item.isCleared = is_cleared
    _encode_limits(message, "limits", digest.limits)
    if digest.live_zones:
        message.liveZones = list(digest.live_zones)
    _encode_limits(message, "brittle", digest.brittle)
    _encode_processes(message, "fallen", digest.fallen)
    for item, (process, age_s) in _new_items(message, "turnedAway", digest.turned_away):
        item.server, item.startedMs = process
        item.ageMs = _uint32(round(1000 * age_s))
    _encode_speeds(message, digest.speeds)
    _encode_counts(message, digest.counts)
    _encode_holdings(message, digest.holdings)
    _encode_members(message, "members", digest.members)
    _encode_members(message, "relays", digest.relays)
    _encode_members(message, "contested", digest.contested)
    return message.to_bytes_packed()


def decode_digest(data: bytes) -> Digest:
    """Decode a datagram.

    :raises ValueError: The data is not a digest.
    """
    try:
        message = read_packed(_SCHEMA.Digest, data)
        get, fields = message._get_by_field, _DIGEST
        return Digest(
            host=get(fields["host"]),
            zone=get(fields["zone"]),
            address=checked_address(get(fields["address"])),
            started_ms=get(fields["startedMs"]),
            is_leaving=get(fields["isLeaving"]),
            configuration_end=get(fields["configurationEnd"]),
            server_end=get(fields["serverEnd"]),
            is_store_reachable=get(fields["isStoreReachable"]),
            fence=get(fields["fence"]),
            counts=_decode_counts(get(fields["counts"])),
            demands=_decode_each(_decode_demand, get(fields["demands"])),
            holdings=_decode_holdings(get(fields["holdings"])),
            suspicions=_decode_each(_decode_suspicion, get(fields["suspicions"])),
            scope=_SCOPES[str(get(fields["scope"]))],
            host_count=get(fields["hostCount"]),
            members=_decode_each(_decode_member, get(fields["members"])),
            relays=_decode_each(_decode_member, get(fields["relays"])),
            contested=_decode_each(_decode_member, get(fields["contested"])),
            is_demand_report=get(fields["isDemandReport"]),
            is_heartbeat=get(fields["isHeartbeat"]),
            capacity=get(fields["capacity"]),
            leaving_servers=_decode_each(
                _decode_process, get(fields["leavingServers"])
            ),
            server_age_s=_decode_age(get(fields["serverAgeMs"])),
            suspect_parts=_decode_each(
                _decode_suspect_part, get(fields["suspectParts"])
            ),
            limits=_decode_each(_decode_limit, get(fields["limits"])),
            live_zones=tuple(get(fields["liveZones"])),
            brittle=_decode_each(_decode_limit, get(fields["brittle"])),
            fallen=_decode_each(_decode_process, get(fields["fallen"])),
            turned_away=_decode_each(_decode_server_age, get(fields["turnedAway"])),
            speeds=_decode_speeds(get(fields["speeds"])),
            repeated_crashes=_decode_each(
                _decode_suspicion, get(fields["repeatedCrashes"])
            ),
            cleared_requests=tuple(get(fields["clearedRequests"])),
            sent_at=_decode_age(get(fields["sentMs"])),
        )
    except (*DECODE_ERRORS, ValueError) as error:
        raise ValueError(f"not a digest: {error}") from error


@dataclass(frozen=True)
class TopicState:
    """The records of a store topic that one host sends to another.

    :param end: The offset after the last record that the sender knows.
    :param is_complete: Whether all keys are present, not only the changed ones.
    :param age_s: Time since the last read of the store that the state contains, in
        seconds; None if it is not known.
    """

    records: tuple[StoreRecord, ...]
    end: int
    is_complete: bool
    age_s: float | None = None


def _decompress(data: bytes) -> bytes:
    """Decompress data of at most ``MAX_TOPIC_STATE_BYTES``.

    :raises ValueError: The data is incomplete or too large.
    """
    decompressor = zlib.decompressobj()
    state = decompressor.decompress(data, MAX_TOPIC_STATE_BYTES)
    if not decompressor.eof:
        raise ValueError("not a topic's state: incomplete or too large")
    return state


def encode_topic_state(state: TopicState) -> bytes:
    """Encode and compress the state of a topic."""
    message = _SCHEMA.TopicState.new_message(
        end=state.end,
        records=[
            {"offset": r.offset, "key": r.key, "value": r.value or b""}
            for r in state.records
        ],
        isWhole=state.is_complete,
        ageMs=_encode_age(state.age_s),
    )
    return zlib.compress(message.to_bytes(), COMPRESSION_LEVEL)


def decode_topic_state(data: bytes) -> TopicState:
    """Decode the state of a topic.

    :raises ValueError: The data is not the state of a topic.
    """
    try:
        with _SCHEMA.TopicState.from_bytes(
            _decompress(data), traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as message:
            records = tuple(
                StoreRecord(r.offset, r.key, bytes(r.value) or None)
                for r in message.records
            )
            age_s = _decode_age(message.ageMs)
            return TopicState(records, message.end, message.isWhole, age_s)
    except (*DECODE_ERRORS, zlib.error) as error:
        raise ValueError(f"not a topic's state: {error}") from error
