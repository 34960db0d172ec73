"""Simulated store of the platform: keyed topics, long polls and consumer groups."""

import asyncio
import base64
import json
import struct
import time
from collections import Counter
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from sequoiapoint.transport.async_http_server import (
    AsyncHttpServer,
    InboundRequest,
    Responder,
)

CALL_PATH_PREFIX = "/sequoiapoint/log-"
JSON = [(b"Content-Type", b"application/json")]
LOST_GENERATIONS = 2
"""Number of generations that a group loses when the store comes back older."""
REASSIGNED_LEASE_S = 1.8
"""Lease of a member that a partition is reassigned to: the lease that hosts request."""


@dataclass
class Topic:
    """A topic with one partition.

    :param first: The offset of the oldest record that is retained.
    """

    records: list[tuple[str, bytes]] = field(default_factory=list)
    written_at: list[float] = field(default_factory=list)
    first: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, key: str, value: bytes) -> int:
        """Append a record, wake the waiting readers and return the offset."""
        self.records.append((key, value))
        self.written_at.append(time.monotonic())
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.records) - 1


@dataclass
class Group:
    """A consumer group that shares one partition.

    :param generation: Raised with each change of members or owner.
    :param owner: The member that the partition is assigned to, "" for none.
    :param members: The time at which each member's lease ends.
    """

    generation: int = 0
    owner: str = ""
    members: dict[str, float] = field(default_factory=dict)


class _EraResponder:
    """Adds the store's era to the head of each response, and counts its bytes."""

    def __init__(self, store: "Store", responder: Responder, topic: str) -> None:
        self._store = store
        self._responder = responder
        self._topic = topic

    def send_response(self, status: int, headers: list, body: bytes = b"") -> None:
        """Send a complete response."""
        self._store.bytes_by_topic[self._topic] += len(body)
        era = (b"Store-Era", str(self._store.era).encode())
        self._responder.send_response(status, [*headers, era], body)

    def abort(self) -> None:
        """Reset the connection."""
        self._responder.abort()


class Store:
    """The simulated store.

    :ivar outage: "" for none, or how calls fail: ``busy``, ``silent`` or ``reset``.
    :ivar era: How often it has come back from an older copy, and one.
    :ivar calls: The names of the calls received so far.
    :ivar calls_by_topic: The number of calls by name and topic.
    :ivar bytes_by_topic: The bytes of bodies received and sent, by topic.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.groups: dict[str, Group] = {}
        self.outage = ""
        self.era = 1
        self.calls: list[str] = []
        self.calls_by_topic: Counter[tuple[str, str]] = Counter()
        self.bytes_by_topic: Counter[str] = Counter()
        self.server = AsyncHttpServer(self._handle, lambda status: None)

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def write(self, topic: str, key: str, value: object) -> None:
        """Write a record, as an operator or a server does."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.topic(topic).append(key, body)

    def truncate(self, topic: str) -> None:
        """Discard the history of a topic; the newest record of each key stays."""
        self.topic(topic).first = len(self.topic(topic).records)
        self.topic(topic).changed.set()

    def go_back(self, seconds: float) -> None:
        """Come back from a copy: without the records of the last seconds.

        The groups of hosts are those of the copy, too: generations are given out again.
        """
        self.era += 1
        copied_until = time.monotonic() - seconds
        for topic in self.topics.values():
            count = sum(at <= copied_until for at in topic.written_at)
            del topic.records[count:]
            del topic.written_at[count:]
            topic.first = min(topic.first, count)
            topic.changed.set()
            topic.changed = asyncio.Event()
        for group in self.groups.values():
            group.generation = max(0, group.generation - LOST_GENERATIONS)
            group.members, group.owner = {}, ""

    def reassign(self, group: str, member: str) -> None:
        """Reassign a group's partition to a member, without any request.

        :param member: Its lease starts now, as if it had just joined the group.
        """
        state = self.groups[group]
        state.members[member] = time.monotonic() + REASSIGNED_LEASE_S
        state.owner = member
        state.generation += 1

    async def _handle(self, request: InboundRequest, responder: Responder) -> None:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        call = url.path.removeprefix(CALL_PATH_PREFIX)
        topic = query.get("topic", "")
        self.calls.append(call)
        self.calls_by_topic[call, topic] += 1
        self.bytes_by_topic[topic] += len(request.body)
        responder = _EraResponder(self, responder, topic)
        if self.outage == "silent":
            await asyncio.sleep(60)
        if self.outage == "reset":
            responder.abort()
            return
        if self.outage == "busy":
            responder.send_response(503, [])
            return
        await getattr(self, f"_{call}")(request, query, responder)

    async def _append(
        self, request: InboundRequest, query: dict, responder: Responder
    ) -> None:
        topic, body, position = self.topic(query["topic"]), request.body, 0
        offset = len(topic.records)
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            key = content[1 : 1 + content[0]].decode()
            topic.append(key, content[1 + content[0] :])
        response = {"offset": offset, "end": len(topic.records)}
        responder.send_response(200, JSON, json.dumps(response).encode())

    async def _read(
        self, request: InboundRequest, query: dict, responder: Responder
    ) -> None:
        topic, start = self.topic(query["topic"]), int(query["from"])
        if start > len(topic.records):
            end = json.dumps({"first": topic.first}).encode()
            responder.send_response(410, JSON, end)
            return
        if start < topic.first:
            first = json.dumps({"first": topic.first}).encode()
            responder.send_response(410, JSON, first)
            return
        if start >= len(topic.records):
            try:
                async with asyncio.timeout(int(query.get("wait-ms", 0)) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        if start < topic.first or start > len(topic.records):
            responder.send_response(410, JSON, b'{"first":0}')
            return
        body = struct.pack(">QQ", len(topic.records), topic.first)
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        responder.send_response(200, [], body)

    async def _newest(
        self, request: InboundRequest, query: dict, responder: Responder
    ) -> None:
        topic = self.topic(query["topic"])
        newest = {
            key: (offset, value) for offset, (key, value) in enumerate(topic.records)
        }
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in newest.items()
            if value
        ]
        response = {"items": items, "has-more": False, "end": len(topic.records)}
        responder.send_response(200, JSON, json.dumps(response).encode())

    async def _join(
        self, request: InboundRequest, query: dict, responder: Responder
    ) -> None:
        call = json.loads(request.body)
        group = self.groups.setdefault(call["group"], Group())
        now = time.monotonic()
        expired = [m for m, until in group.members.items() if until < now]
        for member in expired:
            del group.members[member]
        if expired or call["member"] not in group.members:
            group.generation += 1
        group.members[call["member"]] = now + call["ttl-ms"] / 1000
        if group.owner not in group.members:
            group.owner = call["member"]
            group.generation += 1
        assigned = [[call["topics"][0], 0, 0]] if group.owner == call["member"] else []
        response = {"generation": group.generation, "parts": assigned}
        responder.send_response(200, JSON, json.dumps(response).encode())

    async def _leave(
        self, request: InboundRequest, query: dict, responder: Responder
    ) -> None:
        call = json.loads(request.body)
        group = self.groups.setdefault(call["group"], Group())
        group.members.pop(call["member"], None)
        if group.owner == call["member"]:
            group.owner = ""
        group.generation += 1
        responder.send_response(200, JSON, b"{}")
