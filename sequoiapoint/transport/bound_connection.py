"""Calls to a server that all use the same TCP connection or fail.

A TCP connection ends when the process at its other end exits.  A request that is sent
over the connection of an earlier response can therefore reach only the process that
sent this response, however long the sender was paused in between.
"""

import socket
from collections.abc import Callable

import pycurl

from sequoiapoint.protocol.errors import Failure
from sequoiapoint.transport.http_client import (
    ABORT,
    CUT_HEAD,
    MAX_BODY_BYTES,
    HttpResponse,
    SingleSendGuard,
    configure_handle,
    parse_header_line,
)

MS_PER_S = 1000


class BoundConnection:
    """One connection to a server, which is never replaced by a new one.

    :param address: The server's IP address and port.
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
        """Make one call; only the first call may open the connection.

        :param step: The name of the step, which a failure reports.
        :param timeout_s: The maximum time for the call, in seconds.
        """
        response = HttpResponse()
        collected = bytearray()
        curl = self._curl
        curl.reset()
        url = f"http://{self._address}{path}"
        headers = {"Content-Type": "application/json"}
        configure_handle(curl, method, url, body, headers)
        send_guard = SingleSendGuard(curl)
        curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * MS_PER_S))

        def collect(data: bytes) -> int | None:
            collected.extend(data)
            return None if len(collected) <= MAX_BODY_BYTES else ABORT

        curl.setopt(pycurl.WRITEFUNCTION, collect)
        curl.setopt(
            pycurl.HEADERFUNCTION, lambda line: parse_header_line(line, response)
        )
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._socket_factory())
        try:
            curl.perform()
            if not response.has_whole_head:
                raise pycurl.error(*CUT_HEAD)
        except pycurl.error as error:
            error_code, message = error.args
            timed_out = error_code == pycurl.E_OPERATION_TIMEDOUT
            reason = "timeout" if timed_out else "connection"
            if len(collected) > MAX_BODY_BYTES:
                reason = "too_large"
            return Failure(
                send_guard.failure_kind, reason, step, self._address, message
            )
        self._is_open = True
        response.body = bytes(collected)
        return response

    def _socket_factory(self) -> Callable:
        """Return the socket callback for libcurl, which opens only the first socket."""

        def open_socket(_purpose: int, address: tuple) -> object:
            if self._is_open:
                return pycurl.SOCKET_BAD
            family, kind, protocol, _ = address
            return socket.socket(family, kind, protocol)

        return open_socket
