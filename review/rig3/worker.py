"""A small worker process of the users' platform, as PROTOCOL.md describes it.

It registers itself in the platform's store with each heartbeat, runs pages or streams,
and carries out orders.  What it runs is printed to standard output, a JSON object a
line.  It is started with one argument, a JSON object; see ``Settings``.
"""

import asyncio
import json
import os
import random
import struct
import sys
import time
from dataclasses import dataclass, field

HEARTBEAT_S = 1.2
"""``heartbeat-ms`` of DEPLOY.md."""
MAX_HEAD_BYTES = 65_536


@dataclass
class Settings:
    """What the process is started with.

    :param held: The models that an engine holds at its start; None for a worker without
        models, which runs streams and pages of any route.
    :param on_disk: The models of which it has a copy on its disk.
    :param memory_mb: The memory of an engine for weights, in MB.
    :param size_mb: The size of each model, in MB.
    :param load_s: The time that the load of a model from disk takes, in seconds.
    :param registers_after_s: The time from the start to the first heartbeat.
    :param is_unframed: Whether answers have neither a length nor chunks and end with
        their channel.
    :param event_interval_s: The pause between two events of a stream, in seconds.
    :param tokens_per_ms: The prompt tokens that an engine reads in a millisecond, one
        prompt after the other; 0 if that takes no time.
    :param work_s: The time that a page takes, in seconds.
    :param failure_share: The share of pages that fail after they have run.
    :param failure_status: The status with which they do, without ``Not-Run``.
    :param deadly_part: A part of prompts on which the process crashes; "" for none.
    :param deadly_events: The number of events that it has written by then.
    """

    name: str
    service: str
    zone: str
    port: int
    store: str
    version: str = "v1"
    slots: int = 64
    held: list[str] | None = None
    on_disk: list[str] = field(default_factory=list)
    memory_mb: float = 200.0
    size_mb: float = 90.0
    load_s: float = 0.76
    registers_after_s: float = 0.0
    is_unframed: bool = False
    event_interval_s: float = 0.05
    tokens_per_ms: float = 0.0
    work_s: float = 0.02
    failure_share: float = 0.0
    failure_status: int = 503
    deadly_part: str = ""
    deadly_events: int = 1


class Worker:
    """The worker's state and its answers."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._born = time.time_ns() // 1_000_000
        self._heartbeats = 0
        self._orders = 0
        self._fence = -1
        self._busy = ""
        self._running = 0
        self._held = list(settings.held or [])
        self._reading = asyncio.Lock()

    def log(self, event: str, **fields: object) -> None:
        """Print a line about what the worker does."""
        line = {"at": time.time(), "worker": self._settings.name, "event": event}
        print(json.dumps(line | {"version": self._settings.version} | fields))
        sys.stdout.flush()

    async def run(self) -> None:
        """Listen, and register with each heartbeat."""
        port = self._settings.port
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=MAX_HEAD_BYTES
        )
        self.log("start", born=self._born)
        await asyncio.sleep(self._settings.registers_after_s)
        while server.is_serving():
            await self._register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _register(self) -> None:
        """Write the entry to the store; a call that fails is left to the next time."""
        settings = self._settings
        self._heartbeats += 1
        entry = {
            "service": settings.service,
            "addr": f"127.0.0.1:{settings.port}",
            "zone": settings.zone,
            "version": settings.version,
            "slots": settings.slots,
            "state": "ready",
            "cold-ms": 0,
            "seq": self._heartbeats,
            "born": self._born,
        }
        if settings.held is not None:
            entry["models"] = self._models()
        name = settings.name.encode()
        content = bytes([len(name)]) + name + json.dumps(entry).encode()
        body = struct.pack(">I", len(content)) + content
        host, _, port = settings.store.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /sequoiapoint/log-append?topic=keyed.servers&part=0 HTTP/1.1\r\n"
                b"Host: store\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
                % len(body)
                + body
            )
            await reader.read()
            writer.close()
        except OSError as error:
            self.log("not_registered", error=str(error))
            return
        if self._heartbeats == 1:
            self.log("registered", born=self._born)

    def _models(self) -> list[dict]:
        return [{"name": name, "version": 1, "adapters": []} for name in self._held]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while not writer.is_closing():
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.rstrip("\r\n").split("\r\n")
                _, target, _ = first.split(" ", 2)
                pairs = (line.partition(":") for line in lines)
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size)
                await self._answer(writer, target, headers, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if headers.get("expect-worker", self._settings.name) != self._settings.name:
            self._send(writer, 421, headers)
        elif target == "/sequoiapoint/report":
            self._send(writer, 200, headers, json.dumps(self._report()).encode())
        elif target == "/sequoiapoint/order":
            self._send(writer, self._order(json.loads(body)), headers)
        elif "request-id" not in headers:
            self._send(writer, 400, headers, extra=["Not-Run: 1"])
        elif "token-count" not in headers:
            await self._send_page(writer, headers)
        elif self._settings.held is not None and headers["model"] not in self._held:
            self._send(writer, 421, headers)
        else:
            await self._stream(writer, headers)

    def _lines(self, status: int, headers: dict[str, str]) -> list[str]:
        settings = self._settings
        lines = [f"HTTP/1.1 {status} Answer"]
        lines += [f"Worker-Load: {self._running},0,{settings.slots}"]
        if "request-id" in headers:
            lines.append(f"Request-Id: {headers['request-id']}")
        return lines

    def _send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
        extra: tuple[str, ...] | list[str] = (),
    ) -> None:
        lines = [*self._lines(status, headers), *extra, "Keep-Alive: timeout=10"]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    # Pages and streams

    async def _send_page(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        self.log("run", id=headers["request-id"])
        await asyncio.sleep(self._settings.work_s)
        seal = [f"Server-Seal: {self._settings.name}"]
        status, body = 200, self._settings.name.encode()
        if random.random() < self._settings.failure_share:
            status, body = self._settings.failure_status, b"failed"
            self.log("failure", id=headers["request-id"], status=status)
        self._send(writer, status, headers, body, seal)

    async def _stream(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        settings = self._settings
        request_id, parts = headers["request-id"], headers.get("prompt-prefix", "")
        first = int(headers.get("last-event-id") or 0) + 1
        total = int(headers["token-count"].partition(",")[2])
        self.log("run", id=request_id, first=first, parts=parts)
        is_deadly = bool(settings.deadly_part) and settings.deadly_part in parts
        lines = self._lines(200, headers)
        lines += [f"Server-Seal: {settings.name}", "Content-Type: text/event-stream"]
        framing = "Connection: close"
        if not settings.is_unframed:
            framing = "Transfer-Encoding: chunked"
        writer.write("\r\n".join([*lines, framing, "", ""]).encode())
        self._running += 1
        try:
            await self._read_prompt(int(headers["token-count"].partition(",")[0]))
            for number in range(first, total + 1):
                if is_deadly and number == first + settings.deadly_events:
                    self._crash(request_id, "deadly_part")
                event = f"id: {number}\ndata: {settings.name} {settings.version}\n\n"
                self._write_part(writer, event.encode())
                await writer.drain()
                await asyncio.sleep(settings.event_interval_s)
            if settings.is_unframed:
                writer.close()
            else:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            self.log("end", id=request_id, events=total)
        finally:
            self._running -= 1

    async def _read_prompt(self, tokens: int) -> None:
        if self._settings.tokens_per_ms:
            async with self._reading:
                await asyncio.sleep(tokens / self._settings.tokens_per_ms / 1000)

    def _write_part(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not self._settings.is_unframed:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        writer.write(data)

    def _crash(self, request_id: str, reason: str) -> None:
        self.log("crash", id=request_id, reason=reason)
        os._exit(1)

    # Orders

    def _report(self) -> dict:
        return {
            "stage": "mixed",
            "models": self._models(),
            "busy": bool(self._busy),
            "seq": self._orders,
            "queued": 0,
            "inflight": self._running,
            "at-hand": {"in-memory": [], "on-disk": self._settings.on_disk},
            "born": self._born,
        }

    def _order(self, order: dict) -> int:
        """Carry out an order; return the status of its answer."""
        if "holder" not in order or "fence" not in order:
            return 400
        if order["fence"] < self._fence:
            return 412
        self._fence = order["fence"]
        if self._busy or order.get("expect", self._orders) != self._orders:
            return 409
        model = order["model"]
        if order.get("adapter"):
            return 409
        is_load = order["op"] == "load"
        if is_load == (model in self._held):
            return 200
        self._orders += 1
        self.log("order", op=order["op"], model=model, holder=order["holder"])
        if is_load:
            size_mb = self._settings.size_mb
            if size_mb * (len(self._held) + 1) > self._settings.memory_mb:
                self._crash("", f"load of {model} beside {','.join(self._held)}")
        self._busy = model
        asyncio.get_running_loop().call_later(
            self._settings.load_s, self._finish, order
        )
        return 202

    def _finish(self, order: dict) -> None:
        self._busy = ""
        if order["op"] == "load":
            self._held.append(order["model"])
        else:
            self._held.remove(order["model"])


if __name__ == "__main__":
    asyncio.run(Worker(Settings(**json.loads(sys.argv[1]))).run())
