"""Peers that stop in the middle of a response's head and close, for each HTTP client.

Guards against a response whose status has arrived, and little else, that counts as a
success with an empty body.
"""

import asyncio
import socket
import struct
import threading
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from functools import partial

import pytest

from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.ports import HttpCall
from sequoiapoint.transport import async_http_client, http_client
from sequoiapoint.transport.async_http_client import ConnectionPool
from sequoiapoint.transport.bound_connection import BoundConnection

BODY = b"a whole body"
SIZED = b"HTTP/1.1 200 OK\r\nX-Peer: p\r\nContent-Length: 12\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Peer: p\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HEADS = {
    "sized": SIZED,
    "chunked": CHUNKED,
    "after-continue": CONTINUE + SIZED,
    "after-hints": HINTS + SIZED,
}
UNFINISHED = [
    SIZED.replace(b"12\r\n\r\n", b"1\n"),
    SIZED.replace(b"\r\n\r\n", b"\r\n\r"),
    SIZED.replace(b"12\r\n\r\n", b"\r\n\r\n"),
    CHUNKED.replace(b"chunked", b"chun").removesuffix(b"\r\n"),
    SIZED.replace(b"\r\n", b"\n").removesuffix(b"\n"),
]
"""Heads that are not the beginning of a proper one."""
NO_LINGER = struct.pack("ii", 1, 0)
PARALLEL_CALLS = 32
TIMEOUT_S = 5.0
PAUSE_S = 0.02


class Peer:
    """Answers one request with some bytes and ends the connection.

    :param end: How it ends: ``fin`` or ``reset``.
    :ivar requests: The number of requests that it has got.
    """

    def __init__(self, sent, end):
        self._sent, self._end = sent, end
        self.requests = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        # Ends a wait for a request that does not come.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._listener.close()

    def _serve(self):
        try:
            connection, _ = self._listener.accept()
        except OSError:
            return
        with connection:
            connection.recv(65_536)
            self.requests += 1
            connection.sendall(self._sent)
            if self._end == "reset":
                # The peer's end gets the bytes before the reset.
                threading.Event().wait(PAUSE_S)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def call_with_asyncio(address):
    async def call():
        pool = ConnectionPool(address)
        request = HttpCall("POST", "/x", [], b"body")
        result = await async_http_client.call(pool, address, request, TIMEOUT_S)
        pool.close()
        return result

    return asyncio.run(call())


def call_with_libcurl(address):
    return http_client.call(
        "POST", address, "/x", step="x", body=b"body", timeout_s=TIMEOUT_S
    )


def call_bound(address):
    with closing(BoundConnection(address)) as connection:
        return connection.call(
            "POST", "/x", step="x", body=b"body", timeout_s=TIMEOUT_S
        )


def result_of(call, end, sent):
    with Peer(sent, end) as peer:
        return call(peer.address)


def results_of(call, end, responses):
    with ThreadPoolExecutor(PARALLEL_CALLS) as threads:
        return list(threads.map(partial(result_of, call, end), responses))


CLIENTS = pytest.mark.parametrize(
    "call", [call_with_asyncio, call_with_libcurl, call_bound]
)


@CLIENTS
@pytest.mark.parametrize("end", ["fin", "reset"])
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
def test_a_head_that_is_cut_anywhere_is_a_failure(call, end, head):
    """An order whose response was cut behind its status counted as carried out."""
    cut = [head[:length] for length in range(len(head))]
    results = results_of(call, end, cut)
    assert [
        sent
        for sent, result in zip(cut, results, strict=True)
        if not (isinstance(result, Failure) and result.kind is FailureKind.UNKNOWN)
    ] == []


@CLIENTS
@pytest.mark.parametrize("end", ["fin", "reset"])
def test_a_malformed_head_that_is_not_finished_is_a_failure(call, end):
    results = results_of(call, end, UNFINISHED)
    assert [r.kind for r in results if isinstance(r, Failure)] == (
        [FailureKind.UNKNOWN] * len(UNFINISHED)
    )


@CLIENTS
@pytest.mark.parametrize(
    ("sent", "body"),
    [
        (SIZED + BODY, BODY),
        (HINTS + CONTINUE + SIZED + BODY, BODY),
        (CHUNKED + b"c\r\n" + BODY + b"\r\n0\r\nX-Trailer: t\r\n\r\n", BODY),
        (b"HTTP/1.1 200 OK\r\n\r\n" + BODY, BODY),
        (b"HTTP/1.1 200 OK\r\n\r\n", b""),
        (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
    ],
    ids=["sized", "after-hints", "chunked", "unframed", "unframed-empty", "no-content"],
)
def test_a_response_with_a_whole_head_is_a_success(call, sent, body):
    result = result_of(call, "fin", sent)
    assert not isinstance(result, Failure)
    assert (result.status // 100, result.body) == (2, body)
