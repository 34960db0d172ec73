"""A loopback TCP proxy that can delay, reset or block connections, also one way."""

import asyncio
import contextlib
import enum
import socket
import struct
from collections.abc import Collection

from standins.soak.sockets import inode_of, socket_inodes

CHUNK_BYTES = 65_536
LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER value with which closing a socket resets its connection."""


class Cut(enum.Enum):
    """How a process is cut off from the target of a link."""

    SILENT = "silent"
    """Open connections stall; new ones are established and stall as well."""
    RESET = "reset"
    """Open connections are reset, and so is each new one."""
    NEW_ONLY = "new_only"
    """Open connections go on; each new one is reset."""


class Link:
    """Forwards the connections to one address.

    A blocked direction holds its bytes until the link is healed, like a network whose
    lost packets are retransmitted.  Single processes can be cut off while the others
    still reach the target.

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
        self._cut: Cut | None = None
        self._cut_processes: Collection[int] = ()
        self._stalled_ports: set[int] = set()
        self._is_whole = asyncio.Event()
        self._writers_by_port: dict[int, list[asyncio.StreamWriter]] = {}
        self.heal()
        self.end_cut()

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
        _reset(list(self._writers))

    def cut_off(self, processes: Collection[int], cut: Cut) -> None:
        """Cut processes off from the target until ``end_cut``.

        :param processes: The process ids.
        """
        self._cut, self._cut_processes = cut, processes
        self._is_whole.clear()
        ports = self._ports_of(processes, list(self._writers_by_port))
        if cut is Cut.SILENT:
            self._stalled_ports |= ports
        elif cut is Cut.RESET:
            for port in ports:
                _reset(self._writers_by_port.get(port, []))

    def end_cut(self) -> None:
        """Let all processes reach the target again."""
        self._cut, self._cut_processes = None, ()
        self._stalled_ports.clear()
        self._is_whole.set()

    def _ports_of(self, processes: Collection[int], ports: Collection[int]) -> set[int]:
        """Return those of the ports from which processes are connected to this link."""
        own_port = int(self.address.rpartition(":")[2])
        inodes = socket_inodes(processes)
        return {port for port in ports if inode_of(port, own_port) in inodes}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        host, _, port = self._target.rpartition(":")
        writers = [writer]
        peer_port = writer.get_extra_info("peername")[1]
        self._writers_by_port[peer_port] = writers
        try:
            if self._cut and self._ports_of(self._cut_processes, [peer_port]):
                if self._cut is not Cut.SILENT:
                    _reset(writers)
                    return
                self._stalled_ports.add(peer_port)
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            writers.append(target_writer)
            self._writers.update(writers)
            forwarders = [
                asyncio.create_task(
                    self._forward("in", reader, target_writer, peer_port)
                ),
                asyncio.create_task(
                    self._forward("out", target_reader, writer, peer_port)
                ),
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
            del self._writers_by_port[peer_port]
            self._stalled_ports.discard(peer_port)
            for open_writer in writers:
                open_writer.close()
            self._tasks.discard(task)

    async def _forward(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer_port: int,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                await self._unblocked[direction].wait()
                if peer_port in self._stalled_ports:
                    await self._is_whole.wait()
                writer.write(data)
                await writer.drain()


def _reset(writers: Collection[asyncio.StreamWriter]) -> None:
    for writer in writers:
        sock = writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()
