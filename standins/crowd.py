"""A crowd of misbehaving callers, and what a process uses meanwhile.

Each caller sends its parts over one connection, discards what it receives, and stays
connected until the end.
"""

import asyncio
import contextlib
import os
import threading
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Self

SEND_TIMEOUT_S = 30.0
"""Time after which a caller whose bytes are not taken stops sending."""
CONNECT_BATCH = 200
"""Number of connections that are opened at once, less than an accept queue holds."""

Parts = Callable[[int], Iterable[bytes]]
"""Returns what a caller sends, by its number."""


class Crowd:
    """Holds connections open inside a ``with`` block, which starts once all is sent.

    A caller whose connection was refused or closed has sent what it could.

    :param callers: The number of callers.
    :param parts: What each sends; nothing for a silent caller.
    :param pause_s: Time between the parts of a caller, in seconds.
    :ivar statuses: The number of responses by their status.
    """

    def __init__(
        self, address: tuple[str, int], callers: int, parts: Parts, pause_s: float = 0.0
    ) -> None:
        self._address = address
        self._callers = callers
        self._parts = parts
        self._pause_s = pause_s
        self._has_sent = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._stop_requested = asyncio.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.statuses: Counter[str] = Counter()

    def __enter__(self) -> Self:
        self._thread.start()
        self._has_sent.wait()
        return self

    def __exit__(self, *_: object) -> None:
        self._loop.call_soon_threadsafe(self._stop_requested.set)
        self._thread.join()

    def _run(self) -> None:
        try:
            self._loop.run_until_complete(self._run_callers())
        finally:
            self._has_sent.set()
            self._loop.close()

    async def _run_callers(self) -> None:
        connections = []
        for first in range(0, self._callers, CONNECT_BATCH):
            batch = range(first, min(first + CONNECT_BATCH, self._callers))
            connections += await asyncio.gather(*map(self._connect, batch))
        sending = [
            asyncio.create_task(self._send(number, connection[1]))
            for number, connection in enumerate(connections)
            if connection is not None
        ]
        reading = [
            asyncio.create_task(self._read(connection[0]))
            for connection in connections
            if connection is not None
        ]
        await asyncio.wait(sending, timeout=SEND_TIMEOUT_S)
        self._has_sent.set()
        await self._stop_requested.wait()
        for task in sending + reading:
            task.cancel()
        await asyncio.gather(*sending, *reading, return_exceptions=True)
        for connection in connections:
            if connection is not None:
                connection[1].transport.abort()
        await asyncio.sleep(0)

    async def _connect(
        self, _number: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        with contextlib.suppress(OSError):
            return await asyncio.open_connection(*self._address)
        return None

    async def _send(self, number: int, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            for part in self._parts(number):
                writer.write(part)
                await writer.drain()
                if self._pause_s:
                    await asyncio.sleep(self._pause_s)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError, asyncio.LimitOverrunError):
            while line := await reader.readline():
                if line.startswith(b"HTTP/1.1 "):
                    self.statuses[line.split()[1].decode()] += 1


def head(path: str, number: int, *fields: str, host: str = "site.example") -> bytes:
    """Return the head of a POST request of a caller."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {host}",
        f"Request-Id: crowd-{number}",
        "Deadline-Ms: 20000",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def content_length_request(
    path: str, number: int, size: int, sent: int, piece: int
) -> list[bytes]:
    """Return a request whose length is announced, in pieces.

    :param size: The announced length.
    :param sent: The number of bytes of the body that are sent.
    """
    parts = [head(path, number, f"Content-Length: {size}")]
    parts += [b"b" * min(piece, sent - at) for at in range(0, sent, piece)]
    return parts


def chunked_request(
    path: str, number: int, sent: int, chunk: int, ends: bool, piece: int = 65_536
) -> list[bytes]:
    """Return a request in chunks, in pieces of about a size.

    :param sent: The number of bytes of the body.
    :param chunk: The number of them in each chunk.
    :param ends: Whether the last chunk is sent.
    """
    encoded = b"%x\r\n%b\r\n" % (chunk, b"b" * chunk)
    count = max(1, piece // len(encoded))
    chunks, parts = sent // chunk, [head(path, number, "Transfer-Encoding: chunked")]
    while chunks > 0:
        parts.append(encoded * min(count, chunks))
        chunks -= count
    return [*parts, b"0\r\n\r\n"] if ends else parts


def peak_memory_mb(process: int) -> float:
    """Return the most memory that a process has had resident, in MB."""
    for line in Path(f"/proc/{process}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise ProcessLookupError(f"process {process} has ended")


def open_descriptors(process: int) -> int:
    """Return the number of descriptors that a process has open."""
    return len(os.listdir(f"/proc/{process}/fd"))
