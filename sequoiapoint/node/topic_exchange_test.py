"""Fetches of topics from other hosts, with test doubles for connections."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from sequoiapoint.node import topic_exchange
from sequoiapoint.node.topic_exchange import TopicExchange
from sequoiapoint.protocol.digests import TopicState, encode_topic_state
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.gateway import StoreRecord
from sequoiapoint.protocol.gateway_settings import Bounds
from sequoiapoint.state.keyed_topic import KeyedTopic
from sequoiapoint.state.topic_freshness import TopicFreshness
from sequoiapoint.transport.async_http_client import Response
from sequoiapoint.transport.clock import monotonic_s

MAX_FETCH_S = 1.2
"""Two seconds, the shortest limit for applying a configuration, without a digest's
interval and 0.3 s for the network."""
CHANGE = StoreRecord(6, "config", b"new")


def watch_of(name, end):
    content = KeyedTopic()
    content.replace([], end)
    watch = SimpleNamespace(topic=name, content=content, freshness=TopicFreshness())
    watch.freshness.note_read(monotonic_s() + 60.0)
    watch.merge_peer_state = lambda state: content.apply(state.records)
    return watch


@pytest.mark.parametrize("silent", [(), ("near",)])
def test_a_host_gets_a_change_in_time_although_one_peer_does_not_respond(
    monkeypatch, silent
):
    """Guards against a configuration that takes effect too late.

    Both the host's read of the store and its connection to the nearest peer have gone
    silent; another peer has the change.
    """
    watch = SimpleNamespace(
        configuration=watch_of("config", 6), servers=watch_of("servers", 9)
    )
    digest = SimpleNamespace(configuration_end=7, server_end=9)
    peers = [
        SimpleNamespace(host=name, zone=zone, address=f"{name}:1", digest=digest)
        for name, zone in (("near", "z"), ("far", "y"))
    ]

    async def call(pool, address, request, timeout_s):
        if address.partition(":")[0] in silent:
            await asyncio.sleep(timeout_s)
            return Failure(FailureKind.UNKNOWN, "timed_out", "topics", address)
        body = encode_topic_state(TopicState((CHANGE,), 7, False))
        return Response(200, [], body)

    monkeypatch.setattr(topic_exchange, "call", call)
    state = SimpleNamespace(
        settings=SimpleNamespace(
            host="h", zone="z", peer_address="127.0.0.1:1", bounds=Bounds()
        ),
        rng=random.Random(1),
        log=SimpleNamespace(event=lambda *a, **fields: None),
        metrics=SimpleNamespace(event=lambda name: None),
    )
    network = SimpleNamespace(
        is_aggregator=lambda now: True,
        is_relay=lambda now: True,
        listed_members=lambda: [],
        aggregator=lambda now, max_age_s: None,
        live=lambda now: peers,
    )

    async def run():
        exchange = TopicExchange(state, None, watch, network)
        task = asyncio.create_task(exchange.run())
        started_at = monotonic_s()
        while watch.configuration.content.end < 7:
            await asyncio.sleep(0.01)
            assert monotonic_s() - started_at < MAX_FETCH_S
        task.cancel()

    asyncio.run(run())
