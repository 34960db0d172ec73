"""A loopback proxy whose connections can be delayed, reset, cut one way or silenced."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 65_536
RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""


class Link:
    """Passes the connections to one address on.

    A direction that is cut holds its bytes until it is healed, as a network does whose
    lost packets are sent again.

    :param address: Where it listens.
    :param target: Where connections are passed on to.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._is_open = {"in": asyncio.Event(), "out": asyncio.Event()}
        self._delay_s = 0.0
        self.heal()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def heal(self) -> None:
        """Pass everything on at once again."""
        self._delay_s = 0.0
        for gate in self._is_open.values():
            gate.set()

    def delay(self, seconds: float) -> None:
        """Hold up each piece for a time."""
        self._delay_s = seconds

    def block(self, *directions: str) -> None:
        """Hold the bytes of directions, ``in`` to the target or ``out`` from it."""
        for direction in directions:
            self._is_open[direction].clear()

    def reset(self) -> None:
        """Reset all connections, on both sides."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        host, _, port = self._target.rpartition(":")
        writers = [writer]
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            writers.append(far_writer)
            self._writers.update(writers)
            pumps = [
                asyncio.create_task(self._pump("in", reader, far_writer)),
                asyncio.create_task(self._pump("out", far_reader, writer)),
            ]
            try:
                # Either end's close ends both directions.
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
        except OSError:
            writer.transport.abort()
        except asyncio.CancelledError:
            # The proxy stops; asyncio's own callback takes the task for failed if it
            # ends as cancelled.
            writer.transport.abort()
        finally:
            self._writers.difference_update(writers)
            for one in writers:
                one.close()
            self._tasks.discard(task)

    async def _pump(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                await self._is_open[direction].wait()
                writer.write(data)
                await writer.drain()
