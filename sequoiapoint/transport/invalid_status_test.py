"""Responses whose status HTTP does not define, on connections that stay open.

Guards against a caller who gets such a response as an answer, or waits to its deadline
for another one.
"""

import asyncio
import itertools
import time

import pytest

from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.protocol.ports import HttpCall
from sequoiapoint.transport import http_client
from sequoiapoint.transport.async_http_client import ConnectionPool, call

STATUSES = ["000", "001", "099", "600", "700", "999", "0", "2OO", "1000"]
FRAMINGS = {
    "length": b"Content-Length: 2\r\n\r\nhi",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    "empty": b"Content-Length: 0\r\n\r\n",
    "unframed": b"\r\nhi",
}
INVALID = [
    pytest.param(f"HTTP/1.1 {status} Odd\r\n".encode() + rest, id=f"{status}-{name}")
    for status, (name, rest) in itertools.product(STATUSES, FRAMINGS.items())
]
FRAMED_INTERIM = [
    pytest.param(f"HTTP/1.1 {status} Odd\r\n".encode() + FRAMINGS[name], id=name)
    for status in ("100", "199")
    for name in ("length", "chunks", "empty")
]
"""An informational response has no body, and names no framing."""
SOON_S = 0.5
TIMEOUT_S = 2.0


async def receive(client, response):
    """Return the result of a call, and its time, of a server that keeps connections."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    started_at = time.monotonic()
    result = await client(address)
    seconds = time.monotonic() - started_at
    server.close()
    return result, seconds


async def asyncio_client(address):
    pool = ConnectionPool(address)
    request = HttpCall("GET", "/x", [], b"")
    result = await call(pool, address, request, TIMEOUT_S)
    pool.close()
    return result


async def libcurl_client(address):
    return await asyncio.to_thread(
        http_client.call, "GET", address, "/x", step="read", timeout_s=TIMEOUT_S
    )


@pytest.mark.parametrize("client", [asyncio_client, libcurl_client])
@pytest.mark.parametrize("response", INVALID)
def test_a_response_with_an_invalid_status_is_a_failure(client, response):
    result, seconds = asyncio.run(receive(client, response))
    assert isinstance(result, Failure)
    assert result.kind is FailureKind.UNKNOWN
    assert seconds < SOON_S


@pytest.mark.parametrize("response", FRAMED_INTERIM)
def test_an_informational_response_with_a_body_is_a_failure(response):
    result, seconds = asyncio.run(receive(asyncio_client, response))
    assert isinstance(result, Failure)
    assert seconds < SOON_S
