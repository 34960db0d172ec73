import json
import socket
import threading
import time
from dataclasses import replace

import pytest

from sequoiapoint.transport.http_server import (
    CALLER_KEY,
    DEFAULT_LIMITS,
    HttpServer,
)

TIMEOUT_S = 5.0
SHOWN = (
    "REQUEST_METHOD",
    "PATH_INFO",
    "QUERY_STRING",
    "CONTENT_LENGTH",
    "REMOTE_ADDR",
    "HTTP_X_NAME",
)


class Application:
    """Answers by path."""

    def __init__(self):
        self.goes_on = threading.Event()
        self.closed = threading.Event()
        self.was_gone = threading.Event()

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/stream":
            start_response("200 OK", [("Content-Type", "text/plain")])
            return self._stream()
        if path == "/fails":
            start_response("200 OK", [])
            return self._fail()
        if path == "/watch":
            self._watch(environ[CALLER_KEY])
        shown = {name: environ.get(name) for name in SHOWN}
        shown["body"] = environ["wsgi.input"].read().decode()
        body = json.dumps(shown).encode()
        headers = [("Content-Length", str(len(body)))]
        if path == "/close":
            headers.append(("Connection", "close"))
        start_response("201 Created", headers)
        return [body]

    def _stream(self):
        try:
            yield b"first"
            self.goes_on.wait(TIMEOUT_S)
            yield from [b"x" * 100_000] * 100
        finally:
            self.closed.set()

    def _fail(self):
        yield b"first"
        raise ValueError("a fault of the application")

    def _watch(self, caller):
        ends_at = time.monotonic() + TIMEOUT_S
        while not caller.is_gone and time.monotonic() < ends_at:
            time.sleep(0.01)
        if caller.is_gone:
            self.was_gone.set()


@pytest.fixture
def application():
    return Application()


@pytest.fixture
def server(application):
    with HttpServer(("127.0.0.1", 0), application, 2) as running:
        running.server.limits = replace(
            DEFAULT_LIMITS, max_body_bytes=1_000, request_timeout_s=0.5
        )
        yield running


def connect(server):
    return socket.create_connection(("127.0.0.1", server.port), TIMEOUT_S)


def read(sock):
    data = b""
    while part := sock.recv(65_536):
        data += part
    return data


def exchange(server, data, ends=False):
    with connect(server) as sock:
        sock.sendall(data)
        if ends:
            sock.shutdown(socket.SHUT_WR)
        return read(sock)


@pytest.mark.parametrize(
    ("data", "shown"),
    [
        (
            b"POST /a%20b?q=1 HTTP/1.0\r\nX-Name: v\r\nX-Name: w\r\n"
            b"Content-Length: 2\r\n\r\nhi",
            ("POST", "/a b", "q=1", "2", "127.0.0.1", "v,w", "hi"),
        ),
        (
            b"PUT http://h/p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
            ("PUT", "/p", "", "2", "127.0.0.1", None, "hi"),
        ),
        (
            b"GET /close HTTP/1.1\r\nHost: h\r\n\r\n",
            ("GET", "/close", "", "0", "127.0.0.1", None, ""),
        ),
    ],
)
def test_the_application_gets_a_whole_request(server, data, shown):
    head, _, body = exchange(server, data).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 201 Created\r\n")
    assert b"Connection: close" in head
    assert tuple(json.loads(body).values()) == shown


@pytest.mark.parametrize(
    ("data", "ends", "status"),
    [
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", False, b"413"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx", True, b"400"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx", False, b"408"),
        (b"nonsense\r\n\r\n", False, b"400"),
    ],
)
def test_an_incomplete_or_excessive_request_is_rejected(server, data, ends, status):
    assert exchange(server, data, ends).startswith(b"HTTP/1.1 " + status)


def test_a_caller_that_ends_its_data_still_gets_the_response(server, application):
    application.goes_on.set()
    data = exchange(server, b"GET /stream HTTP/1.1\r\nHost: h\r\n\r\n", ends=True)
    assert data.endswith(b"\r\n0\r\n\r\n")
    assert data.count(b"x" * 100_000) == 100


@pytest.mark.parametrize(
    ("last", "status"),
    [(b"", b""), (b"POST / HTTP/1.1\r\nHost: h\r\n", b"HTTP/1.1 400 ")],
)
def test_requests_that_were_sent_before_the_end_are_answered(server, last, status):
    request = b"GET /p HTTP/1.1\r\nHost: h\r\n\r\n"
    data = exchange(server, request * 500 + last, ends=True)
    assert data.count(b"HTTP/1.1 201 ") == 500
    assert data.count(b"HTTP/1.1 400 ") == bool(status)


def test_a_stream_that_fails_is_recognisably_incomplete(server):
    data = b""
    with connect(server) as sock:
        sock.sendall(b"GET /fails HTTP/1.1\r\nHost: h\r\n\r\n")
        try:
            data = read(sock)
        except ConnectionResetError:
            return
    assert not data.endswith(b"0\r\n\r\n")


def test_a_stream_is_closed_when_its_caller_has_gone(server, application):
    with connect(server) as sock:
        sock.sendall(b"GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
        assert sock.recv(65_536)
    application.goes_on.set()
    assert application.closed.wait(TIMEOUT_S)


def test_an_application_is_told_of_a_reset_connection(server, application):
    with connect(server) as sock:
        sock.sendall(b"GET /watch HTTP/1.1\r\nHost: h\r\n\r\n")
        time.sleep(0.1)
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    assert application.was_gone.wait(TIMEOUT_S)


def test_callers_that_send_nothing_or_slowly_hold_no_thread(server):
    slow = [connect(server) for _ in range(8)]
    for sock in slow[:4]:
        sock.sendall(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx")
    data = exchange(server, b"GET /close HTTP/1.1\r\nHost: h\r\n\r\n")
    assert data.startswith(b"HTTP/1.1 201")
    for sock in slow:
        sock.close()
