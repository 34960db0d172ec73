"""What a host that has started finds out of the versions before, in virtual time."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from sequoiapoint.node import version_history
from sequoiapoint.node.version_history import (
    HISTORY_KEY,
    READ_RETRY_S,
    VersionHistoryStore,
)
from sequoiapoint.platform.store import PlatformStoreCodec
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.gateway import StoreRecord
from sequoiapoint.protocol.origins import VersionHistory, encode_version_history
from standins.virtual.event_loop import VirtualTimeLoop

RECORD = encode_version_history(VersionHistory(2, {"lm": "v1"}))


def failure(reason):
    return Failure(FailureKind.REFUSED, reason, "read", "store")


def server(version, **changes):
    entry = {
        "service": "lm",
        "addr": "10.0.1.1:1",
        "zone": "z",
        "state": "ready",
        "slots": 8,
        "version": version,
        "seq": 1,
    }
    return json.dumps(entry | changes).encode()


class Host:
    """A host that has started; the store holds a record and entries of servers."""

    def __init__(self, monkeypatch):
        self.loop = VirtualTimeLoop()
        self.loop.now = 100.0
        monkeypatch.setattr(version_history, "monotonic_s", lambda: self.loop.now)
        self.calls, self.record, self.failure, self.page = [], RECORD, None, 2
        self.entries = [server("v0"), server("v0"), server("v1"), None, server("v1")]
        self.content = SimpleNamespace(end=5, is_known=True)
        self.is_store_short, self.events = False, []
        store = SimpleNamespace(
            newest=self._newest, read=self._read, codec=PlatformStoreCodec()
        )
        state = SimpleNamespace(
            metrics=SimpleNamespace(event=self.events.append),
            log=SimpleNamespace(event=lambda name, *a, **fields: None),
        )
        watch = SimpleNamespace(servers=SimpleNamespace(content=self.content))
        self.history = VersionHistoryStore(state, store, watch, None)

    async def _newest(self, topic, timeout_s):
        self.calls.append("newest")
        await asyncio.sleep(0.01)
        if self.failure is not None:
            return self.failure
        known = (
            [] if self.record is None else [StoreRecord(0, HISTORY_KEY, self.record)]
        )
        return known, len(known)

    async def _read(self, topic, start, wait_s, timeout_s):
        self.calls.append("read")
        await asyncio.sleep(0.01)
        if self.failure is not None:
            return self.failure
        end = 0 if self.is_store_short else start + self.page
        values = list(enumerate(self.entries))[start:end]
        return [StoreRecord(offset, f"s-{offset}", value) for offset, value in values]

    def version(self, service="lm"):
        return self.loop.run_until_complete(self.history.before_start(service))


@pytest.fixture
def host(monkeypatch):
    result = Host(monkeypatch)
    yield result
    result.loop.close()


def test_a_version_that_served_alone_is_read_once(host):
    async def run():
        asks = [host.history.before_start("lm") for _ in range(50)]
        return await asyncio.gather(*asks)

    assert set(host.loop.run_until_complete(run())) == {"v1"}
    assert host.version() == "v1"
    assert host.version("web") is None
    assert host.calls == ["newest", "read", "read"]


@pytest.mark.parametrize(
    ("record", "others"),
    [
        (None, []),
        (b"", []),
        (b"\x01\xff\xff", []),
        (encode_version_history(VersionHistory(2, {})), []),
        # The entries before it are not known to be of one version.
        (encode_version_history(VersionHistory(0, {"lm": "v1"})), []),
        # It ends before the list of servers that this host knows.
        (RECORD, [server("v2")]),
        # It is of a later state of the store.
        (encode_version_history(VersionHistory(2**41, {"lm": "v1"})), []),
    ],
)
def test_without_proof_no_version_is_known(host, record, others):
    host.record = record
    host.entries += others
    host.content.end = len(host.entries)
    assert host.version() is None
    calls = len(host.calls)
    host.loop.now += 2 * READ_RETRY_S
    assert host.version() is None
    assert len(host.calls) == calls


def test_an_entry_that_cannot_be_read_names_no_server(host):
    host.entries[3] = server("v2", slots="many")
    assert host.version() == "v1"


def test_entries_that_the_store_has_deleted_prove_nothing(host):
    async def read(*arguments):
        return failure("expired")

    host.history._store.read = read
    assert host.version() is None


@pytest.mark.parametrize("fault", ["down", "short"])
def test_a_failed_read_is_repeated_after_a_pause(host, fault):
    host.failure = failure("timed_out") if fault == "down" else None
    host.is_store_short = fault == "short"
    assert host.version() is None
    calls = len(host.calls)
    assert host.version() is None
    assert len(host.calls) == calls
    host.failure, host.is_store_short = None, False
    host.loop.now += READ_RETRY_S
    assert host.version() == "v1"


def test_nothing_is_read_before_the_list_of_servers_is_known(host):
    host.content.is_known = False
    assert host.version() is None
    assert host.calls == []
    host.content.is_known = True
    assert host.version() == "v1"
