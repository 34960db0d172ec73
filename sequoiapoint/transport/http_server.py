"""An HTTP server that runs a WSGI application on cheroot's bounded thread pool.

The WSGI environment contains the caller's socket, so that the application can detect a
disconnected caller while it sends nothing.
"""

import contextlib
import select
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any

from cheroot import wsgi

CONNECTION_KEY = "sequoiapoint.socket"
ACCEPT_QUEUE = 512
SOCKET_TIMEOUT_S = 10


class _Gateway(wsgi.Gateway_10):
    """Adds the caller's socket to the WSGI environment."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


class HttpServer:
    """Serves a WSGI application inside a ``with`` block.

    :param address: The IP address and the port to listen on.
    :param application: The WSGI application.
    :param threads: The maximum number of concurrent requests.
    """

    def __init__(
        self, address: tuple[str, int], application: Callable, threads: int
    ) -> None:
        self._server = wsgi.Server(
            address,
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=ACCEPT_QUEUE,
            timeout=SOCKET_TIMEOUT_S,
            shutdown_timeout=1,
        )
        self._server.gateway = _Gateway
        self._server.error_log = _ignore_connection_errors
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.bind_addr[1]

    def __enter__(self) -> "HttpServer":
        self._server.prepare()
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._server.stop()
        self._thread.join(timeout=5)


def _ignore_connection_errors(*_: object, **__: object) -> None:
    """Discard cheroot's own log: disconnected callers are counted elsewhere."""


def client_disconnected(connection: socket.socket) -> bool:
    """Tell whether a caller's connection was reset.

    A caller that has closed only its sending direction may still read the response, so
    it does not count as disconnected.

    :param connection: The caller's socket.
    """
    try:
        readable, _, _ = select.select([connection], [], [], 0)
        if not readable:
            return False
        connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return False
    except (OSError, ValueError):
        return True
    return False


@contextlib.contextmanager
def serving(
    address: tuple[str, int], application: Callable, threads: int
) -> Iterator[HttpServer]:
    """Serve an application inside a ``with`` block."""
    with HttpServer(address, application, threads) as server:
        yield server
