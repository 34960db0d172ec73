"""Codec of the messages between gateway hosts."""

import enum
import functools
import ipaddress
import zlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from sequoiapoint.protocol.gateway import Incarnation, ModelDemand, StoreRecord
from sequoiapoint.protocol.packed import DECODE_ERRORS, read_packed

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("digest.capnp")))


def _fields(struct: str, *names: str) -> list[Any]:
    """Return fields of a struct, by which its readers are read fastest.

    A look-up by name takes three times as long, and digests have hundreds of values.
    """
    fields = getattr(_SCHEMA, struct).schema.fields
    return [fields[name] for name in names]


_COUNT = _fields("Count", "server", "startedMs", "running")
_MEMBER = _fields("Member", "host", "zone", "address", "capacity")
_HOLDING = _fields("Holding", "server", "startedMs", "models")
_HELD_MODEL = _fields("HeldModel", "model", "adapters")

NO_LIMIT_PER_S = -1.0
"""Stands for a server that names no limit."""
UNKNOWN_AGE_MS = -1
"""Stands for an age that the sender does not know."""
MAX_UINT16 = 65_535
MAX_PRIORITY = 255
"""The least urgent priority that a digest can carry."""
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


class Scope(enum.Enum):
    """The set of hosts whose requests a digest counts."""

    HOST = "host"
    ZONE = "zone"
    FLEET = "fleet"
    NONE = "none"


@dataclass(frozen=True)
class Member:
    """A gateway host and its address for digests and calls from other hosts.

    :param capacity: The host's processor capacity in thousandths of a core.
    """

    host: str
    zone: str
    address: str
    capacity: int = 0


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

    @property
    def sender(self) -> Member:
        """Return the host that sent the digest."""
        return Member(self.host, self.zone, self.address, self.capacity)


def _encode_age(age_s: float | None) -> int:
    return UNKNOWN_AGE_MS if age_s is None else round(1000 * age_s)


def _decode_age(age_ms: int) -> float | None:
    return None if age_ms < 0 else age_ms / 1000


def _encode_members(message: Any, name: str, members: Sequence[Member]) -> None:
    for item, member in zip(message.init(name, len(members)), members, strict=True):
        item.host, item.zone = member.host, member.zone
        item.address, item.capacity = member.address, member.capacity


def _decode_members(members: Iterable[Any]) -> tuple[Member, ...]:
    host, zone, address, capacity = _MEMBER
    return tuple(
        Member(get(host), get(zone), checked_address(get(address)), get(capacity))
        for get in (member._get_by_field for member in members)
    )


def _encode_counts(message: Any, counts: Sequence[tuple[Incarnation, int]]) -> None:
    items = message.init("counts", len(counts))
    for item, ((server, started_ms), running) in zip(items, counts, strict=True):
        item.server, item.startedMs = server, started_ms
        item.running = _uint32(running)


def _decode_counts(message: Any) -> tuple[tuple[Incarnation, int], ...]:
    server, started_ms, running = _COUNT
    return tuple(
        ((get(server), get(started_ms)), get(running))
        for get in (count._get_by_field for count in message.counts)
    )


def _encode_holdings(
    message: Any,
    holdings: Sequence[tuple[Incarnation, Mapping[str, frozenset[str]]]],
) -> None:
    items = message.init("holdings", len(holdings))
    for item, ((server, started_ms), held) in zip(items, holdings, strict=True):
        item.server, item.startedMs = server, started_ms
        models = item.init("models", len(held))
        for model, (name, adapters) in zip(models, held.items(), strict=True):
            model.model, model.adapters = name, sorted(adapters)


def _decode_holdings(
    message: Any,
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
        for get in (holding._get_by_field for holding in message.holdings)
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
    return max(0, min(MAX_UINT32, number))


def _encode_limit(limit: ServerLimit) -> dict[str, Any]:
    server, started_ms = limit.server
    return {
        "server": server,
        "startedMs": started_ms,
        "perS": NO_LIMIT_PER_S if limit.per_s is None else limit.per_s,
        "ageMs": _uint32(round(1000 * limit.age_s)),
    }


def checked_rate(per_s: float) -> float:
    """Return a rate if a server can have named it.

    :raises ValueError: It is not a number, or too high.
    """
    if not per_s <= MAX_PER_S:
        raise ValueError(f"not a rate: {per_s}")
    return per_s


def _decode_limit(message: Any) -> ServerLimit:
    per_s = None if message.perS < 0 else checked_rate(message.perS)
    return ServerLimit((message.server, message.startedMs), per_s, message.ageMs / 1000)


def _cut(value: float) -> int:
    return min(MAX_UINT16, max(0, round(value)))


def _encode_speed(process: int, sample: SpeedSample) -> dict[str, int]:
    return {
        "process": process,
        "slownessPercent": _cut(100 * sample.slowness),
        "ageCs": _cut(100 * sample.age_s),
        "workPermille": _cut(1000 * sample.mean_work),
        "samples": _cut(10 * sample.samples),
    }


def _decode_speed(message: Any) -> tuple[int, SpeedSample]:
    return message.process, SpeedSample(
        message.slownessPercent / 100,
        message.ageCs / 100,
        message.workPermille / 1000,
        message.samples / 10,
    )


def encode_digest(digest: Digest) -> bytes:
    """Encode a digest as a datagram."""
    message = _SCHEMA.Digest.new_message(
        host=digest.host,
        zone=digest.zone,
        address=digest.address,
        startedMs=digest.started_ms,
        isLeaving=digest.is_leaving,
        configurationEnd=digest.configuration_end,
        serverEnd=digest.server_end,
        isStoreReachable=digest.is_store_reachable,
        fence=digest.fence,
        demands=[
            {
                "service": demand.service,
                "model": demand.model,
                "adapter": demand.adapter,
                "inWork": _uint32(demand.running),
                "waiting": _uint32(demand.waiting),
                "goalMs": _uint32(round(demand.goal_s * 1000)),
                "priority": min(demand.priority, MAX_PRIORITY),
                "unservedMs": _uint32(round(demand.unserved_s * 1000)),
            }
            for demand in digest.demands
        ],
        suspicions=[
            {"fingerprint": fingerprint, "deaths": sorted(deaths)}
            for fingerprint, deaths in digest.suspicions
        ],
        scope=digest.scope.value,
        hostCount=_uint32(digest.host_count),
        isDemandReport=digest.is_demand_report,
        isHeartbeat=digest.is_heartbeat,
        capacity=digest.capacity,
        leavingServers=[
            {"server": server, "startedMs": started}
            for server, started in digest.leaving_servers
        ],
        serverAgeMs=_encode_age(digest.server_age_s),
        suspectParts=[
            {"part": part, "crashes": sorted(crashes), "isCleared": is_cleared}
            for part, crashes, is_cleared in digest.suspect_parts
        ],
        limits=[_encode_limit(limit) for limit in digest.limits],
        liveZones=list(digest.live_zones),
        brittle=[_encode_limit(limit) for limit in digest.brittle],
        fallen=[
            {"server": server, "startedMs": started}
            for server, started in digest.fallen
        ],
        turnedAway=[
            {
                "server": server,
                "startedMs": started,
                "ageMs": _uint32(round(1000 * age_s)),
            }
            for (server, started), age_s in digest.turned_away
        ],
        speeds=[_encode_speed(process, sample) for process, sample in digest.speeds],
    )
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
        return Digest(
            host=message.host,
            zone=message.zone,
            address=checked_address(message.address),
            started_ms=message.startedMs,
            is_leaving=message.isLeaving,
            configuration_end=message.configurationEnd,
            server_end=message.serverEnd,
            is_store_reachable=message.isStoreReachable,
            fence=message.fence,
            counts=_decode_counts(message),
            demands=tuple(
                ModelDemand(
                    d.service,
                    d.model,
                    d.adapter,
                    d.inWork,
                    d.waiting,
                    d.goalMs / 1000,
                    d.priority,
                    d.unservedMs / 1000,
                )
                for d in message.demands
            ),
            holdings=_decode_holdings(message),
            suspicions=tuple(
                (s.fingerprint, frozenset(s.deaths)) for s in message.suspicions
            ),
            scope=Scope(str(message.scope)),
            host_count=message.hostCount,
            members=_decode_members(message.members),
            relays=_decode_members(message.relays),
            contested=_decode_members(message.contested),
            is_demand_report=message.isDemandReport,
            is_heartbeat=message.isHeartbeat,
            capacity=message.capacity,
            leaving_servers=tuple(
                (p.server, p.startedMs) for p in message.leavingServers
            ),
            server_age_s=_decode_age(message.serverAgeMs),
            suspect_parts=tuple(
                (s.part, frozenset(s.crashes), s.isCleared)
                for s in message.suspectParts
            ),
            limits=tuple(_decode_limit(limit) for limit in message.limits),
            live_zones=tuple(message.liveZones),
            brittle=tuple(_decode_limit(limit) for limit in message.brittle),
            fallen=tuple((p.server, p.startedMs) for p in message.fallen),
            turned_away=tuple(
                ((a.server, a.startedMs), a.ageMs / 1000) for a in message.turnedAway
            ),
            speeds=tuple(_decode_speed(s) for s in message.speeds),
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
