"""Codec of the messages between gateway hosts."""

from dataclasses import dataclass
from pathlib import Path

import capnp

from sequoiapoint.protocol.gateway import ModelDemand, StoreRecord

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("digest.capnp")))

Incarnation = tuple[str, int]


@dataclass(frozen=True)
class Digest:
    """What a host tells the others a few times a second.

    :param address: Where it takes digests and calls from other hosts.
    :param started_ms: The Unix time of its start; tells one process from the next.
    :param configuration_end: How much it knows of the topic with the configuration.
    :param server_end: How much it knows of the topic with the servers.
    :param fence: The number under which it gives orders, 0 where it does not.
    :param counts: Its requests at each server.
    :param demands: Its demand for models.
    :param holdings: What engines hold, from the host that gives orders.
    :param suspicions: Fingerprints with the server processes that died on them.
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
                "inWork": demand.in_work,
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
        )
    except capnp.KjException as error:
        raise ValueError(f"not a digest: {error}") from error


def encode_topic_state(records: list[StoreRecord], end: int) -> bytes:
    """Encode the newest records of a topic."""
    message = _SCHEMA.TopicState.new_message(
        end=end,
        records=[
            {"offset": r.offset, "key": r.key, "value": r.value or b""} for r in records
        ],
    )
    return message.to_bytes_packed()


def decode_topic_state(data: bytes) -> tuple[list[StoreRecord], int]:
    """Decode the newest records of a topic, and the offset after the last.

    :raises ValueError: It is no state of a topic.
    """
    try:
        message = _SCHEMA.TopicState.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        records = [
            StoreRecord(r.offset, r.key, bytes(r.value)) for r in message.records
        ]
        return records, message.end
    except capnp.KjException as error:
        raise ValueError(f"not a topic's state: {error}") from error


MAX_PRIORITY = 255
"""The least urgent rank that a digest can carry."""
TRAVERSAL_LIMIT_WORDS = 8 * 1024 * 1024
"""64 MB, far above the configuration of the target."""
