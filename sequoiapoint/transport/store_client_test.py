"""The store's era in its responses, with a test double for the connection."""

import asyncio
import json
import struct
from types import SimpleNamespace

import pytest

from sequoiapoint.platform.store import PlatformStoreCodec
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.positions import position
from sequoiapoint.transport import store_client
from sequoiapoint.transport.async_http_client import Response
from sequoiapoint.transport.store_client import StoreClient

NO_RECORDS = struct.pack(">QQ", 3, 0)
JOINED = json.dumps({"generation": 4, "parts": [["t", 0, 0]]}).encode()


@pytest.fixture
def client(monkeypatch):
    """A client with ``responses``, pairs of the era's header and body."""
    logged = []
    client = StoreClient(
        "127.0.0.1:1",
        PlatformStoreCodec(),
        SimpleNamespace(event=lambda name: None),
        SimpleNamespace(event=lambda name, *a, **fields: logged.append(name)),
    )
    client.responses, client.logged = [], logged

    async def call(pool, address, request, timeout_s):
        era, status, body = client.responses.pop(0)
        headers = [] if era is None else [(b"store-era", era)]
        return Response(status, headers, body)

    monkeypatch.setattr(store_client, "call", call)
    return client


def read(client, start, *responses):
    client.responses = list(responses)
    return asyncio.run(client.read("keyed.op", start, 0.0))


def join(client, era):
    client.responses = [(era, 200, JOINED)]
    return asyncio.run(client.join("g", "t", "h", 1.8, 0))


def test_a_rise_of_the_era_is_logged_and_announced_once(client):
    changes = []
    client.on_era_change.append(lambda: changes.append(client.era))
    for era in (b"4", b"4", b"5", b"5"):
        assert join(client, era).era == int(era)
    assert changes == [4, 5]
    assert client.logged == ["store_era_changed"]


def test_a_response_of_an_earlier_era_changes_nothing(client):
    join(client, b"5")
    late = join(client, b"4")
    assert isinstance(late, Failure)
    assert late.reason == "late_era"
    assert client.era == 5
    assert client.is_reachable


def test_a_read_at_an_offset_of_an_earlier_era_is_not_used(client):
    """The offset may have been given out again, for another record."""
    join(client, b"1")
    assert read(client, position(1, 3), (b"1", 200, NO_RECORDS)) == []
    changed = read(client, position(1, 3), (b"2", 200, NO_RECORDS))
    assert changed.reason == "era_changed"
    expired = read(client, position(2, 3), (b"3", 410, b"{}"))
    assert expired.reason == "expired"
    assert client.era == 3


@pytest.mark.parametrize("era", [None, b"", b"soon", b"-1", b"1.5", b"99999999"])
def test_an_era_that_cannot_be_read_is_taken_for_the_last_one(client, era):
    join(client, b"4")
    for _ in range(3):
        assert join(client, era).era == 4
    assert client.logged.count("store_row_unreadable") == (era is not None)


def test_a_host_learns_of_a_rise_from_another_host(client):
    join(client, b"4")
    client.note_era(3)
    assert client.era == 4
    client.note_era(6)
    assert client.era == 6
    assert join(client, b"5").reason == "late_era"
