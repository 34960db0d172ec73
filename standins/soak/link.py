"""A loopback TCP proxy that can delay, reset or block connections, also one way."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 65_536
LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER value with which closing a socket resets its connection."""


class Link:
    """Forwards the connections to one address.

    A blocked direction holds its bytes until the link is healed, like a network whose
    lost packets are retransmitted.

    :param address: The address to listen at.
    :param target: The address to forward connections to.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._unblocked = {"in": asyncio.Event(), "out": asyncio.Event()}
        self._delay_s = 0.0
        self.heal()

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def heal(self) -> None:
        """End all delays and blocks."""
        self._delay_s = 0.0
        for event in self._unblocked.values():
            event.set()

    def delay(self, seconds: float) -> None:
        """Delay each chunk, in either direction."""
        self._delay_s = seconds

    def block(self, *directions: str) -> None:
        """Hold the bytes of directions: ``in`` to the target or ``out`` from it."""
        for direction in directions:
            self._unblocked[direction].clear()

    def reset(self) -> None:
        """Reset all connections, on both sides."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        host, _, port = self._target.rpartition(":")
        writers = [writer]
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            writers.append(target_writer)
            self._writers.update(writers)
            forwarders = [
                asyncio.create_task(self._forward("in", reader, target_writer)),
                asyncio.create_task(self._forward("out", target_reader, writer)),
            ]
            try:
                # A close by either end ends both directions.
                await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for forwarder in forwarders:
                    forwarder.cancel()
        except OSError:
            writer.transport.abort()
        except asyncio.CancelledError:
            # The proxy is stopping.  The task must not end as cancelled, as asyncio's
            # stream callback would treat that as a failure.
            writer.transport.abort()
        finally:
            self._writers.difference_update(writers)
            for open_writer in writers:
                open_writer.close()
            self._tasks.discard(task)

    async def _forward(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                await self._unblocked[direction].wait()
                writer.write(data)
                await writer.drain()
