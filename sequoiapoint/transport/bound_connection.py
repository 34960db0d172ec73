"""Calls to a server that all run over one TCP connection, or not at all.

A TCP connection ends with the process at its other side.  What is sent over a
connection that an earlier answer came from can only reach the process that gave that
answer, however long the sender was paused in between.
"""

import socket
from collections.abc import Callable

import pycurl

from sequoiapoint.protocol.errors import Failure
from sequoiapoint.transport.http_client import (
    HttpResponse,
    SingleSendGuard,
    configure_handle,
    parse_header_line,
)

MS_PER_S = 1000


class BoundConnection:
    """One connection to a server.

    :param address: The server's IP number and port.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._curl = pycurl.Curl()
        self._is_open = False

    def close(self) -> None:
        """Close the connection."""
        self._curl.close()

    def call(
        self,
        method: str,
        path: str,
        *,
        step: str,
        body: bytes | None = None,
        timeout_s: float,
    ) -> HttpResponse | Failure:
        """Make one call; only the first one may open the connection.

        :param step: The name of the step, for the failure.
        :param timeout_s: The time allowed, in seconds.
        """
        response = HttpResponse()
        parts: list[bytes] = []
        curl = self._curl
        curl.reset()
        url = f"http://{self._address}{path}"
        headers = {"Content-Type": "application/json"}
        configure_handle(curl, method, url, body, headers)
        watch = SingleSendGuard(curl)
        curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * MS_PER_S))
        curl.setopt(pycurl.WRITEFUNCTION, parts.append)
        curl.setopt(
            pycurl.HEADERFUNCTION, lambda line: parse_header_line(line, response)
        )
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._opener())
        try:
            curl.perform()
        except pycurl.error as error:
            number, message = error.args
            timed_out = number == pycurl.E_OPERATION_TIMEDOUT
            reason = "timeout" if timed_out else "connection"
            return Failure(watch.failure_kind, reason, step, self._address, message)
        self._is_open = True
        response.body = b"".join(parts)
        return response

    def _opener(self) -> Callable:
        """Return what libcurl asks for a socket; it is given one only once."""

        def open_socket(_purpose: int, address: tuple) -> object:
            if self._is_open:
                return pycurl.SOCKET_BAD
            family, kind, protocol, _ = address
            return socket.socket(family, kind, protocol)

        return open_socket
