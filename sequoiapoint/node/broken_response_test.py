"""Responses that break off halfway, on real connections to a server and a caller.

Guards against an incomplete response that its caller takes for a complete one.
"""

import asyncio
import contextlib
import socket
import struct
from dataclasses import replace

import pytest
import uvloop

from sequoiapoint.node.request_forwarder_test import ENTRY, Site
from sequoiapoint.protocol.gateway import Repeatability
from sequoiapoint.transport.async_http_client import ConnectionPool
from sequoiapoint.transport.async_http_server import AsyncHttpServer

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: id\r\nServer-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = HEAD + b"\r\n"
EVENT = b"id: 1\ndata: x\n\n"
CHUNK = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
READ_TIMEOUT_S = 3.0
NO_LINGER = struct.pack("ii", 1, 0)


def run(coroutine):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)


async def start_server(response, end):
    """Start a server that sends some bytes and ends its connections."""

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()
            # The caller's end gets the bytes before a reset.
            await asyncio.sleep(0.05)
        if end == "keep":
            await reader.read()
        if end == "reset":
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        if end == "crash":
            server.close()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def received_by_caller(monkeypatch, response, end, is_stream, version):
    """Return what a caller gets, and whether its connection ended with a reset."""
    server, address = await start_server(response, end)
    site = Site(monkeypatch, replace(ENTRY, address=address))
    site.state.adapter.callers.refusal_headers = lambda *arguments: []
    site.route = replace(
        site.route, repeatability=Repeatability.AT_MOST_ONCE, is_stream=is_stream
    )
    pool = ConnectionPool(address)
    monkeypatch.setattr(site.state.pools, "get_or_create", lambda entry: pool)
    front = AsyncHttpServer(
        lambda inbound, responder: site.request(responder=responder), lambda s: None
    )
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    await front.start(f"127.0.0.1:{port}")
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        b"GET / HTTP/%b\r\nHost: h\r\nConnection: keep-alive\r\n\r\n" % version
    )
    data, is_reset = b"", False
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            while chunk := await reader.read(65_536):
                data += chunk
                if has_all(data):
                    break
    except ConnectionError:
        is_reset = True
    writer.close()
    pool.close()
    server.close()
    await front.stop()
    return data, is_reset


def has_all(data):
    """Tell whether a response with framing is complete by it."""
    head, _, body = data.partition(b"\r\n\r\n")
    head = head.lower()
    if b"transfer-encoding: chunked" in head:
        return body.endswith(b"0\r\n\r\n")
    _, name, length = head.partition(b"content-length: ")
    return bool(name) and len(body) == int(length.partition(b"\r\n")[0])


def looks_complete(data, is_reset):
    """Tell whether a caller takes what it got for a complete success."""
    head = data.partition(b"\r\n\r\n")[0].lower()
    if not head.startswith(b"http/1.1 200"):
        return False
    if b"transfer-encoding: chunked" in head or b"content-length" in head:
        return has_all(data)
    return not is_reset


BROKEN = {
    "length": (HEAD + b"Content-Length: 9\r\n\r\nhalf", "fin reset", False),
    "chunk-end": (CHUNKED + b"4\r\nhalf\r\n", "fin reset", False),
    "in-chunk": (CHUNKED + b"9\r\nhalf", "fin reset", False),
    "unframed": (UNFRAMED + b"half", "reset crash", False),
    "in-head": (HEAD, "fin reset", False),
    "stream": (CHUNKED + CHUNK, "fin reset", True),
    "stream-in-event": (CHUNKED + CHUNK + b"9\r\nid: 2\nda", "fin reset", True),
    "stream-ended": (CHUNKED + CHUNK + b"8\r\nid: 2\nda\r\n0\r\n\r\n", "fin", True),
    "stream-unframed": (UNFRAMED + EVENT, "reset crash", True),
    "stream-unframed-in-event": (
        UNFRAMED + EVENT + b"id: 2\nda",
        "fin reset crash",
        True,
    ),  # fmt: skip
    "stream-length": (HEAD + b"Content-Length: 99\r\n\r\n" + EVENT, "fin reset", True),
}
"""By name: what a server sends, how its connection may end, whether it is a stream.

Servers may end a response without a length by closing the connection, so only a reset
shows that such a response is incomplete, or that nothing listens at the server's
address any more ("crash"): the kernel closes the connections of a process that ends.
"""
CASES = [
    pytest.param(sent, end, is_stream, id=f"{name}-{end}")
    for name, (sent, ends, is_stream) in BROKEN.items()
    for end in ends.split()
]


@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
@pytest.mark.parametrize(("response", "end", "is_stream"), CASES)
def test_a_caller_sees_that_a_response_is_incomplete(
    monkeypatch, response, end, is_stream, version
):
    result = run(received_by_caller(monkeypatch, response, end, is_stream, version))
    assert result[0], "no response"
    assert not looks_complete(*result)


@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
@pytest.mark.parametrize(
    ("response", "is_stream"),
    [
        (HEAD + b"Content-Length: 5\r\n\r\nwhole", False),
        (CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n", False),
        (CHUNKED + CHUNK + b"0\r\n\r\n", True),
        (UNFRAMED + b"whole", False),
        (UNFRAMED + EVENT, True),
    ],
    ids=["length", "chunked", "stream", "unframed", "stream-unframed"],
)
def test_a_complete_response_is_delivered_as_such(
    monkeypatch, response, is_stream, version
):
    result = run(received_by_caller(monkeypatch, response, "fin", is_stream, version))
    assert looks_complete(*result)


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("status", [b"000", b"099", b"199", b"600", b"999"])
@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: 5\r\n\r\nwhole",
        b"Transfer-Encoding: chunked\r\n\r\n" + CHUNK + b"0\r\n\r\n",
    ],
    ids=["length", "chunked"],
)
def test_a_caller_does_not_get_an_invalid_status(monkeypatch, rest, status, is_stream):
    """Such a response came through as the answer, or was awaited to the deadline."""
    response = HEAD.replace(b"200", status) + rest
    data, _ = run(received_by_caller(monkeypatch, response, "keep", is_stream, b"1.1"))
    assert data.startswith(b"HTTP/1.1 502")
