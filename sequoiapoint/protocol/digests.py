"""Codec of the messages between gateway hosts."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from sequoiapoint.protocol.gateway import Incarnation, ModelDemand, StoreRecord

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("digest.capnp")))

MAX_PRIORITY = 255
"""The least urgent rank that a digest can carry."""
TRAVERSAL_LIMIT_WORDS = 8 * 1024 * 1024
"""64 MB, far above the configuration of the target."""


class Scope(enum.Enum):
    """Whose requests a digest counts."""

    HOST = "host"
    ZONE = "zone"
    FLEET = "fleet"
    NONE = "none"


@dataclass(frozen=True)
class Member:
    """A host and where it takes digests and calls from other hosts."""

    host: str
    zone: str
    address: str


@dataclass(frozen=True)
class Digest:
    """What a host tells others a few times a second.

    :param address: Where it takes digests and calls from other hosts.
    :param started_ms: The Unix time of its start; tells one process from the next.
    :param configuration_end: How much it knows of the topic with the configuration.
    :param server_end: How much it knows of the topic with the servers.
    :param fence: The number under which it gives orders, 0 where it does not.
    :param counts: Requests at each server, of the hosts that ``scope`` says.
    :param demands: Its demand for models.
    :param holdings: What engines hold, from the host that gives orders.
    :param suspicions: Fingerprints with the server processes that died on them.
    :param host_count: How many hosts the counts are of.
    :param members: The hosts of its zone, where it sums up for them.
    :param relays: The hosts that sum up for their zones, or would next.
    :param is_demand_report: Whether the demands replace those of its last report.
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

    @property
    def sender(self) -> Member:
        """Return the host that sent it."""
        return Member(self.host, self.zone, self.address)


def _encode_members(members: Iterable[Member]) -> list[dict[str, str]]:
    return [vars(member) for member in members]


def _decode_members(members: Iterable[Any]) -> tuple[Member, ...]:
    return tuple(Member(m.host, m.zone, m.address) for m in members)


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
        counts=[
            {"server": server, "startedMs": started, "running": running}
            for (server, started), running in digest.counts
        ],
        demands=[
            {
                "service": demand.service,
                "model": demand.model,
                "adapter": demand.adapter,
                "inWork": demand.running,
                "waiting": demand.waiting,
                "goalMs": round(demand.goal_s * 1000),
                "priority": min(demand.priority, MAX_PRIORITY),
            }
            for demand in digest.demands
        ],
        holdings=[
            {
                "server": server,
                "startedMs": started,
                "models": [
                    {"model": model, "adapters": sorted(adapters)}
                    for model, adapters in held.items()
                ],
            }
            for (server, started), held in digest.holdings
        ],
        suspicions=[
            {"fingerprint": fingerprint, "deaths": sorted(deaths)}
            for fingerprint, deaths in digest.suspicions
        ],
        scope=digest.scope.value,
        hostCount=digest.host_count,
        members=_encode_members(digest.members),
        relays=_encode_members(digest.relays),
        isDemandReport=digest.is_demand_report,
    )
    return message.to_bytes_packed()


def decode_digest(data: bytes) -> Digest:
    """Decode a datagram.

    :raises ValueError: It is no digest.
    """
    try:
        message = _SCHEMA.Digest.from_bytes_packed(data)
        return Digest(
            host=message.host,
            zone=message.zone,
            address=message.address,
            started_ms=message.startedMs,
            is_leaving=message.isLeaving,
            configuration_end=message.configurationEnd,
            server_end=message.serverEnd,
            is_store_reachable=message.isStoreReachable,
            fence=message.fence,
            counts=tuple(((c.server, c.startedMs), c.running) for c in message.counts),
            demands=tuple(
                ModelDemand(
                    d.service,
                    d.model,
                    d.adapter,
                    d.inWork,
                    d.waiting,
                    d.goalMs / 1000,
                    d.priority,
                )
                for d in message.demands
            ),
            holdings=tuple(
                (
                    (h.server, h.startedMs),
                    {m.model: frozenset(m.adapters) for m in h.models},
                )
                for h in message.holdings
            ),
            suspicions=tuple(
                (s.fingerprint, frozenset(s.deaths)) for s in message.suspicions
            ),
            scope=Scope(str(message.scope)),
            host_count=message.hostCount,
            members=_decode_members(message.members),
            relays=_decode_members(message.relays),
            is_demand_report=message.isDemandReport,
        )
    except capnp.KjException as error:
        raise ValueError(f"not a digest: {error}") from error


@dataclass(frozen=True)
class TopicState:
    """What a host tells another one of a topic of the platform's store.

    :param end: The offset after the last record that it knows.
    :param is_whole: Whether all keys are there, not only those that have changed.
    """

    records: tuple[StoreRecord, ...]
    end: int
    is_complete: bool


def encode_topic_state(state: TopicState) -> bytes:
    """Encode records of a topic."""
    message = _SCHEMA.TopicState.new_message(
        end=state.end,
        records=[
            {"offset": r.offset, "key": r.key, "value": r.value or b""}
            for r in state.records
        ],
        isWhole=state.is_complete,
    )
    return message.to_bytes_packed()


def decode_topic_state(data: bytes) -> TopicState:
    """Decode records of a topic.

    :raises ValueError: It is no state of a topic.
    """
    try:
        message = _SCHEMA.TopicState.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        records = tuple(
            StoreRecord(r.offset, r.key, bytes(r.value) or None)
            for r in message.records
        )
        return TopicState(records, message.end, message.isWhole)
    except capnp.KjException as error:
        raise ValueError(f"not a topic's state: {error}") from error
