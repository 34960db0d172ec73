"""Stand-in for the platform's metadata store: keyed topics, long polls and groups.

It keeps everything, answers at once and follows the pages.  Operators and workers write
over the same address with ``POST /write``, which the system does not use.
"""

import argparse
import asyncio
import base64
import json
import struct
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from http11 import Message, encode_response, read_request

CALL_PREFIX = "/sequoiapoint/log-"
JSON = {"Content-Type": "application/json"}
PAGE = 500
MAX_READ_BYTES = 1_048_576


@dataclass
class Topic:
    """A topic with one partition."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, key: str, value: bytes) -> None:
        """Append a record and wake the waiting readers."""
        self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()


@dataclass
class Group:
    """A group whose members share one partition."""

    generation: int = 0
    owner: str = ""
    until: dict[str, float] = field(default_factory=dict)


class Store:
    """The state of the store, and its calls."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self._groups: dict[str, Group] = {}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the calls of one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                status, headers, body = await self._handle(request)
                writer.write(encode_response(status, headers | {"Store-Era": 1}, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _handle(self, request: Message) -> tuple[int, dict, bytes]:
        url = urlsplit(request.start[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/write":
            self._topic(query).append(query["key"], request.body)
            return 200, JSON, b"{}"
        call = url.path.removeprefix(CALL_PREFIX)
        if call == "append":
            return self._append(query, request.body)
        if call == "read":
            return await self._read(query)
        if call == "newest":
            return self._newest(query)
        fields = json.loads(request.body)
        group = self._groups.setdefault(fields["group"], Group())
        if call == "join":
            return self._join(group, fields)
        group.until.pop(fields["member"], None)
        self._reassign(group)
        return 200, JSON, b"{}"

    def _topic(self, query: dict[str, str]) -> Topic:
        return self._topics.setdefault(query["topic"], Topic())

    def _append(self, query: dict[str, str], body: bytes) -> tuple[int, dict, bytes]:
        topic, position = self._topic(query), 0
        offset = len(topic.records)
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            key_end = 1 + content[0]
            topic.append(content[1:key_end].decode(), content[key_end:])
        end = {"offset": offset, "end": len(topic.records)}
        return 200, JSON, json.dumps(end).encode()

    async def _read(self, query: dict[str, str]) -> tuple[int, dict, bytes]:
        topic, start = self._topic(query), int(query["from"])
        if start > len(topic.records):
            return 410, JSON, b'{"first":0}'
        if start == len(topic.records):
            try:
                async with asyncio.timeout(int(query.get("wait-ms", 0)) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        body = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            if len(body) + len(content) > MAX_READ_BYTES:
                break
            body += struct.pack(">I", len(content)) + content
        return 200, {}, body

    def _newest(self, query: dict[str, str]) -> tuple[int, dict, bytes]:
        topic, after = self._topic(query), query.get("after", "")
        newest = {
            key: (offset, value) for offset, (key, value) in enumerate(topic.records)
        }
        keys = sorted(key for key, (_, value) in newest.items() if value)
        keys = [key for key in keys if key > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:PAGE]
        ]
        page = {
            "items": items,
            "has-more": len(keys) > PAGE,
            "end": len(topic.records),
        }
        return 200, JSON, json.dumps(page).encode()

    def _join(self, group: Group, fields: dict) -> tuple[int, dict, bytes]:
        member, now = fields["member"], time.monotonic()
        known = set(group.until)
        group.until[member] = now + fields["ttl-ms"] / 1000
        group.until = {m: until for m, until in group.until.items() if until > now}
        if known != set(group.until):
            self._reassign(group)
        parts = [[fields["topics"][0], 0, 0]] if group.owner == member else []
        answer = {"generation": group.generation, "parts": parts}
        return 200, JSON, json.dumps(answer).encode()

    @staticmethod
    def _reassign(group: Group) -> None:
        """Raise the generation; the partition stays with a member that is left."""
        group.generation += 1
        if group.owner not in group.until:
            group.owner = min(group.until, default="")


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    address = parser.parse_args().listen
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(Store().serve, host, int(port))
    async with server:
        await server.serve_forever()


asyncio.run(main())
