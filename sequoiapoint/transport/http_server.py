"""An HTTP server that runs a WSGI application on a bounded pool of threads.

An event loop receives the requests, and a request takes a thread only once it is
complete: callers that send slowly or nothing hold none.  What callers send is bounded
over all connections.
"""

import asyncio
import concurrent.futures
import io
import sys
import threading
import urllib.parse
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import uvloop

from sequoiapoint.protocol.gateway import CallerLimits
from sequoiapoint.protocol.ports import Headers
from sequoiapoint.transport.async_http_server import (
    AsyncHttpServer,
    InboundRequest,
    Responder,
)
from sequoiapoint.transport.caller_budget import CallerBudget

CALLER_KEY = "sequoiapoint.caller"
"""Name of the caller's :class:`Caller` in the WSGI environment."""
DEFAULT_LIMITS = CallerLimits(
    max_header_bytes=65_536,
    max_body_bytes=64_000_000,
    header_timeout_s=10.0,
    idle_timeout_s=10.0,
)
STOP_TIMEOUT_S = 1.0
"""Time in which responses may still be sent when the server stops."""
POLL_INTERVAL_S = 0.1
HOP_BY_HOP_HEADERS = ("connection", "content-length", "transfer-encoding")


class CallerGoneError(ConnectionError):
    """Raised as a part of a response is written whose caller has disconnected."""


class Caller:
    """Whether the caller of a request still waits for its response."""

    def __init__(self) -> None:
        self._is_gone = threading.Event()

    @property
    def is_gone(self) -> bool:
        """Tell whether its connection was reset.

        A caller that has closed only its sending direction may still read the response.
        """
        return self._is_gone.is_set()

    def leave(self) -> None:
        """Note that the caller has disconnected."""
        self._is_gone.set()


class _Exchange:
    """Runs the application in a thread; writes its response in the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, responder: Responder) -> None:
        self._loop = loop
        self._responder = responder
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._may_write = threading.Event()
        self._may_write.set()
        self.caller = Caller()
        responder.set_flow_control(self._may_write.clear, self._may_write.set)

    def abandon(self) -> None:
        """Note that the caller has disconnected; the application is told at a write."""
        self.caller.leave()
        self._may_write.set()

    def run(self, application: Callable, environ: dict[str, Any]) -> None:
        """Run the application; its response is closed also if the caller has gone."""
        try:
            self._run(application, environ)
        finally:
            # An application's request and its environment may refer to each other.
            environ.clear()

    def _run(self, application: Callable, environ: dict[str, Any]) -> None:
        parts = application(environ, self._start_response)
        try:
            self._respond(iter(parts))
        except CallerGoneError:
            return
        finally:
            if hasattr(parts, "close"):
                parts.close()

    def _start_response(
        self, status: str, headers: list[tuple[str, str]], _error: object = None
    ) -> Callable[[bytes], None]:
        self._status = int(status.partition(" ")[0])
        self._headers = headers
        return self._write

    def _respond(self, parts: Iterator[bytes]) -> None:
        first = next(parts, b"")
        names = {name.lower(): value for name, value in self._headers}
        if names.get("connection", "").lower() == "close":
            self._responder.close_after()
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in self._headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        if "content-length" in names:
            body = first + b"".join(parts)
            self._call(self._responder.send_response, self._status, headers, body)
            return
        self._call(self._responder.start_stream, self._status, headers)
        self._write(first)
        for part in parts:
            self._write(part)
        self._call(self._responder.end_stream)

    def _write(self, part: bytes) -> None:
        """Write a part of the response once the caller has taken earlier ones."""
        self._may_write.wait()
        if part:
            self._call(self._responder.send, part)

    def _call(self, function: Callable[..., None], *arguments: Any) -> None:
        """Call a function in the event loop, and wait for its end.

        :raises CallerGoneError: If the caller has disconnected.
        """
        done: concurrent.futures.Future[None] = concurrent.futures.Future()

        def call() -> None:
            try:
                function(*arguments)
            except BaseException as error:
                done.set_exception(error)
            else:
                done.set_result(None)

        if self.caller.is_gone:
            raise CallerGoneError("the caller has disconnected")
        self._loop.call_soon_threadsafe(call)
        while True:
            try:
                return done.result(POLL_INTERVAL_S)
            except TimeoutError:
                # The event loop may have ended.
                if self.caller.is_gone:
                    raise CallerGoneError("the caller has disconnected") from None


def _environment(
    request: InboundRequest, caller_address: tuple[str, int], port: int
) -> dict[str, Any]:
    """Return the WSGI environment of a request."""
    target = request.target
    if not target.startswith("/"):
        parts = urllib.parse.urlsplit(target)
        target = f"{parts.path or '/'}?{parts.query}"
    path, _, query = target.partition("?")
    environ = {
        "REQUEST_METHOD": request.method,
        "SCRIPT_NAME": "",
        "PATH_INFO": urllib.parse.unquote_to_bytes(path).decode("latin-1"),
        "QUERY_STRING": query,
        "CONTENT_LENGTH": str(len(request.body)),
        "SERVER_NAME": "localhost",
        "SERVER_PORT": str(port),
        "SERVER_PROTOCOL": "HTTP/1.1",
        "REMOTE_ADDR": caller_address[0],
        "REMOTE_PORT": str(caller_address[1]),
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(request.body),
        "wsgi.errors": sys.stderr,
        "wsgi.multithread": True,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
    }
    return environ | _header_variables(request.headers)


def _header_variables(headers: Headers) -> dict[str, str]:
    """Return the variables of a request's headers; repeated ones are joined."""
    values = defaultdict(list)
    for name, value in headers:
        variable = name.decode("latin-1").upper().replace("-", "_")
        if variable == "CONTENT_TYPE":
            values[variable].append(value.decode("latin-1"))
        elif variable not in ("CONTENT_LENGTH", "TRANSFER_ENCODING"):
            values[f"HTTP_{variable}"].append(value.decode("latin-1"))
    return {name: ",".join(each) for name, each in values.items()}


class HttpServer:
    """Serves a WSGI application inside a ``with`` block.

    :param address: The IP address and the port to listen on.
    :param application: The WSGI application.
    :param threads: The maximum number of requests that are processed concurrently.
    :param budget: The memory that callers may hold, None for any.
    :param max_connections: The number of connections that may be open.
    """

    def __init__(
        self,
        address: tuple[str, int],
        application: Callable[..., Iterable[bytes]],
        threads: int,
        budget: CallerBudget | None = None,
        max_connections: int = sys.maxsize,
    ) -> None:
        self._address = address
        self._application = application
        self._loop = uvloop.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._pool = concurrent.futures.ThreadPoolExecutor(threads, "request")
        self.server = AsyncHttpServer(
            self._handle, lambda status: None, budget, max_connections
        )
        self.server.limits = DEFAULT_LIMITS
        self.server.serves_half_closed = True

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self.server.port

    def __enter__(self) -> "HttpServer":
        self._thread.start()
        host, port = self._address
        self._run(self.server.start(f"{host}:{port}"))
        return self

    def __exit__(self, *_: object) -> None:
        self._run(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self, coroutine: Any) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _stop(self) -> None:
        self.server.is_draining = True
        self.server.stop_accepting()
        ends_at = self._loop.time() + STOP_TIMEOUT_S
        while self.server.busy_count and self._loop.time() < ends_at:
            await asyncio.sleep(POLL_INTERVAL_S)
        await self.server.stop()

    async def _handle(self, request: InboundRequest, responder: Responder) -> None:
        exchange = _Exchange(self._loop, responder)
        environ = _environment(request, responder.caller_address, self.port)
        environ[CALLER_KEY] = exchange.caller
        try:
            await self._loop.run_in_executor(
                self._pool, exchange.run, self._application, environ
            )
        except asyncio.CancelledError:
            exchange.abandon()
            raise
