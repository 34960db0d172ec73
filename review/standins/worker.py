"""Stand-in for a worker: a plain server, or a model engine with one resident model.

It runs each request for a fixed time, writes one line per run to its log, and reports
itself to the store.  With ``--trouble`` it begins to misbehave once a file exists:

``endless``: the answer of a stream has an event that never ends; each token of it is
    sent in a chunk of its own, until the caller closes.
``extra``: it sends a second copy of a share of its answers, late: on the same channel,
    where the answer to the next request is expected.
``trailer``: the answer of a stream has one event and the last chunk, and then a trailer
    line that never ends, until the caller closes.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import time
from collections import Counter, deque
from pathlib import Path
from typing import Any

from http11 import Message, call, encode_response, read_request

HEARTBEAT_S = 1.2
ADAPTER_LOAD_S = 0.01
MAX_KEPT_PARTS = 200


class Worker:
    """One worker process."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._born = time.time_ns() // 1_000_000
        self._reports = 0
        self._running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._orders = 0
        self._fence = 0
        self._adapters: set[str] = set()
        self._coming: set[str] = set()
        self._used: Counter[str] = Counter()
        # Adapters that are to be unloaded when their last run has ended.
        self._leaving: set[str] = set()
        self._log = open(options.log, "a", buffering=1)  # noqa: SIM115

    async def report(self) -> None:
        """Write the entry to the store about every heartbeat."""
        options = self._options
        target = f"/write?topic=keyed.servers&key={options.id}"
        while True:
            self._reports += 1
            entry = {
                "service": options.service,
                "addr": options.listen,
                "zone": options.zone,
                "version": "v1",
                "slots": options.slots,
                "state": "ready",
                "cold-ms": 0,
                "seq": self._reports,
                "born": self._born,
            }
            if options.model:
                entry |= {"stage": "mixed", "models": self._models()}
            body = json.dumps(entry).encode()
            await call(options.store, "POST", target, {"Host": "store"}, body)
            await asyncio.sleep(HEARTBEAT_S)

    def _models(self) -> list[dict]:
        adapters = sorted(self._adapters | self._leaving)
        return [{"name": self._options.model, "version": 1, "adapters": adapters}]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        copy = b""
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(copy)
                copy = await self._handle(request, writer)
                await writer.drain()
        except (ConnectionError, TimeoutError):
            pass
        finally:
            writer.close()

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> bytes:
        """Answer a request; return a copy of the answer to send late, if any."""
        options = self._options
        request_id = request.header("request-id")
        headers = {"Keep-Alive": "timeout=10"}
        if not options.tells_no_load:
            load = f"{self._running},{len(self._waiting)},{options.slots}"
            headers["Worker-Load"] = load
        if request_id:
            headers["Request-Id"] = request_id
        if request.header("expect-worker") not in ("", options.id):
            headers |= {"Worker-Id": options.id, "Not-Run": 1}
            writer.write(encode_response(421, headers))
            return b""
        if request.start[1].startswith("/sequoiapoint/"):
            writer.write(self._control_answer(request))
            return b""
        adapter = request.header("model").partition("/")[2]
        if adapter and adapter not in self._adapters:
            status = 503 if adapter in self._leaving else 421
            writer.write(encode_response(status, headers | {"Not-Run": 1}))
            return b""
        if not await self._take_slot():
            self._note(f"turns away {request_id}")
            answer = encode_response(503, headers | {"Not-Run": 1})
            writer.write(answer)
            return self._copy(request_id, answer)
        self._note(f"runs {request_id} {request.start[1]}")
        try:
            headers["Server-Seal"] = f"seal.{options.id}.{request_id}"
            if request.header("token-count"):
                recorder = _Recorder(writer)
                await self._run_adapter(adapter, request, headers, recorder)
                return self._copy(request_id, b"".join(recorder.written))
            await asyncio.sleep(options.work_ms / 1000)
            answer = encode_response(200, headers, request_id.encode())
            writer.write(answer)
            return self._copy(request_id, answer)
        finally:
            self._release_slot()

    async def _take_slot(self) -> bool:
        """Wait for a slot; return False if too many requests wait already."""
        if self._running >= self._options.slots:
            if len(self._waiting) >= self._options.queue:
                return False
            slot = asyncio.get_running_loop().create_future()
            self._waiting.append(slot)
            await slot
            return True
        self._running += 1
        return True

    def _release_slot(self) -> None:
        if self._waiting:
            self._waiting.popleft().set_result(None)
        else:
            self._running -= 1

    def _copy(self, request_id: str, answer: bytes) -> bytes:
        """Return the answer if it is one of those that are sent twice."""
        options = self._options
        if options.trouble != "extra" or not options.trouble_file.exists():
            return b""
        if random.random() >= options.share:
            return b""
        self._note(f"will send a second copy of the answer to {request_id}")
        return answer

    def _note(self, line: str) -> None:
        self._log.write(f"{time.time():.3f} {self._options.id} {line}\n")

    def _control_answer(self, request: Message) -> bytes:
        """Answer a question for the report, or an order."""
        if request.start[1] == "/sequoiapoint/order":
            return encode_response(self._obey(json.loads(request.body)), {})
        report = {
            "stage": "mixed",
            "models": self._models() if self._options.model else [],
            "busy": False,
            "seq": self._orders,
            "coming": [f"{self._options.model}/{name}@1" for name in self._coming],
            "queued": 0,
            "inflight": self._running,
            "kv-used": 0,
            "kv-total": 90_000,
            "handles": 0,
        }
        json_headers = {"Content-Type": "application/json"}
        return encode_response(200, json_headers, json.dumps(report).encode())

    def _obey(self, order: dict) -> int:
        """Carry out an order for an adapter; return the status of the answer."""
        adapter, slots = order.get("adapter"), self._options.adapter_slots
        if "holder" not in order or "fence" not in order or not adapter:
            return 400
        if order["fence"] < self._fence:
            return 412
        self._fence = order["fence"]
        if order.get("expect", self._orders) != self._orders:
            return 409
        if order["op"] == "evict":
            if adapter not in self._adapters:
                return 200
            self._orders += 1
            self._adapters.discard(adapter)
            if not self._used[adapter]:
                return 200
            self._leaving.add(adapter)
            return 202
        if adapter in self._adapters | self._coming:
            return 200
        if adapter in self._leaving:
            return 409
        self._orders += 1
        in_memory = len(self._adapters) + len(self._coming) + len(self._leaving)
        if in_memory >= slots:
            self._note(
                f"is ordered to load {adapter}, {in_memory} of {slots} in memory"
            )
            self._note("crashes")
            os.kill(os.getpid(), signal.SIGKILL)
        self._coming.add(adapter)
        asyncio.get_running_loop().call_later(ADAPTER_LOAD_S, self._arrive, adapter)
        return 202

    def _arrive(self, adapter: str) -> None:
        self._coming.discard(adapter)
        self._adapters.add(adapter)

    async def _run_adapter(
        self, adapter: str, request: Message, headers: dict, writer: Any
    ) -> None:
        """Send a stream; an adapter stays in memory until its last run has ended."""
        self._used[adapter] += 1
        try:
            await self._stream(request, headers, writer)
        finally:
            self._used[adapter] -= 1
            if not self._used[adapter]:
                self._leaving.discard(adapter)

    async def _stream(
        self, request: Message, headers: dict, writer: asyncio.StreamWriter
    ) -> None:
        """Send as many events as the request has output tokens, 20 ms apart."""
        options = self._options
        trouble = options.trouble
        if trouble and not os.path.exists(options.trouble_file):
            trouble = ""
        headers |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "Weight-Versions": 1,
        }
        writer.write(encode_response(200, headers, None))
        if trouble == "endless":
            await self._send_endless(writer, _chunk(b"id: 1\ndata:"), _chunk(b" oak"))
        if trouble == "trailer":
            first = _chunk(b"id: 1\ndata: oak\n\n") + b"0\r\nNote: "
            await self._send_endless(writer, first, b"oak ")
        tokens = int(request.header("token-count").partition(",")[2])
        for number in range(1, tokens + 1):
            await asyncio.sleep(0.02)
            writer.write(_chunk(b"id: %d\ndata: oak\n\n" % number))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def _send_endless(
        self, writer: asyncio.StreamWriter, first: bytes, part: bytes
    ) -> None:
        """Send the same part again and again until the caller closes."""
        writer.write(first)
        parts = part * 512
        while True:
            writer.write(parts)
            await writer.drain()
            if writer.is_closing():
                raise ConnectionResetError


class _Recorder:
    """A writer that keeps what was written."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.written: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Write, and keep the first bytes of what is written."""
        if len(self.written) < MAX_KEPT_PARTS:
            self.written.append(data)
        self._writer.write(data)

    async def drain(self) -> None:
        """Wait until the caller has read enough."""
        await self._writer.drain()

    def is_closing(self) -> bool:
        """Tell whether the connection has ended."""
        return self._writer.is_closing()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    for name in ("id", "service", "zone", "listen", "store", "log"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--work-ms", type=float, default=45.0)
    parser.add_argument("--model", default="")
    parser.add_argument("--trouble", default="")
    parser.add_argument("--trouble-file", type=Path)
    parser.add_argument("--share", type=float, default=0.0)
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--queue", type=int, default=24)
    parser.add_argument("--adapter-slots", type=int, default=8)
    parser.add_argument("--tells-no-load", type=int, default=0)
    worker = Worker(parser.parse_args())
    options = worker._options
    host, _, port = options.listen.rpartition(":")
    server = await asyncio.start_server(worker.serve, host, int(port))
    async with server:
        await asyncio.gather(server.serve_forever(), worker.report())


asyncio.run(main())
