"""Links between entry hosts: UDP datagrams for gossip, one TCP connection per call."""

import socket
import struct
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from sequoiapoint.protocol.addresses import split_address
from sequoiapoint.protocol.errors import Failure, FailureKind

MAX_DATAGRAM_BYTES = 65_000
MAX_FRAME_BYTES = 64_000_000
CALL_WORKERS = 32
ACCEPT_QUEUE = 128
IDLE_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 1.0

_LENGTH = struct.Struct(">I")


class PeerLink:
    """Receives datagrams and calls at one address.

    :param address: The IP address and port, for UDP and TCP.
    :param on_datagram: Handles the bytes of a datagram.
    :param on_call: Handles the bytes of a call and returns those of the response.
    """

    def __init__(
        self,
        address: str,
        on_datagram: Callable[[bytes], None],
        on_call: Callable[[bytes], bytes],
    ) -> None:
        self._on_datagram = on_datagram
        self._on_call = on_call
        self._stopped = threading.Event()
        local_address = split_address(address)
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.bind(local_address)
        self._tcp = socket.create_server(local_address, backlog=ACCEPT_QUEUE)
        self._pool = ThreadPoolExecutor(CALL_WORKERS, thread_name_prefix="peer-call")
        self._threads = [
            threading.Thread(
                target=self._receive_datagrams, name="peer-udp", daemon=True
            ),
            threading.Thread(target=self._accept_calls, name="peer-tcp", daemon=True),
        ]

    def __enter__(self) -> "PeerLink":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for sock in (self._udp, self._tcp):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def send(self, address: str, data: bytes) -> bool:
        """Send a datagram.

        :return: Whether the operating system accepted it for sending.
        """
        if len(data) > MAX_DATAGRAM_BYTES:
            return False
        try:
            self._udp.sendto(data, split_address(address))
        except OSError:
            return False
        return True

    def _receive_datagrams(self) -> None:
        while not self._stopped.is_set():
            try:
                data, _ = self._udp.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                continue
            if data:
                self._on_datagram(data)

    def _accept_calls(self) -> None:
        while not self._stopped.is_set():
            try:
                connection, _ = self._tcp.accept()
            except OSError:
                continue
            try:
                self._pool.submit(self._handle_call, connection)
            except RuntimeError:
                connection.close()

    def _handle_call(self, connection: socket.socket) -> None:
        with connection:
            connection.settimeout(IDLE_TIMEOUT_S)
            try:
                _write_frame(connection, self._on_call(_read_frame(connection)))
            except (OSError, EOFError):
                return


def call_peer(
    address: str, data: bytes, step: str, timeout_s: float
) -> bytes | Failure:
    """Make one call to a peer.

    :param address: The peer's address.
    :param step: The name of the step, which a failure reports.
    :param timeout_s: The time to wait for the response, in seconds.
    """
    try:
        connection = socket.create_connection(
            split_address(address), min(timeout_s, CONNECT_TIMEOUT_S)
        )
    except OSError as error:
        kind = FailureKind.NOT_SENT
        return Failure(kind, "connection", step, address, str(error))
    with connection:
        connection.settimeout(timeout_s)
        try:
            _write_frame(connection, data)
            return _read_frame(connection)
        except TimeoutError as error:
            kind = FailureKind.UNKNOWN
            return Failure(kind, "timeout", step, address, str(error))
        except (OSError, EOFError) as error:
            kind = FailureKind.UNKNOWN
            return Failure(kind, "connection", step, address, str(error))


def _write_frame(connection: socket.socket, data: bytes) -> None:
    connection.sendall(_LENGTH.pack(len(data)) + data)


def _read_frame(connection: socket.socket) -> bytes:
    (length,) = _LENGTH.unpack(_read_exactly(connection, _LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise EOFError(f"frame of {length} bytes exceeds {MAX_FRAME_BYTES} bytes")
    return _read_exactly(connection, length)


def _read_exactly(connection: socket.socket, length: int) -> bytes:
    parts = []
    while length > 0:
        part = connection.recv(min(length, 1 << 16))
        if not part:
            raise EOFError("connection closed before the end of a frame")
        parts.append(part)
        length -= len(part)
    return b"".join(parts)
