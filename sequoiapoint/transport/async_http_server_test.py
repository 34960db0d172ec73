import asyncio
import contextlib
import socket

import pytest

from sequoiapoint.protocol.gateway import CallerLimits
from sequoiapoint.transport import async_http_server
from sequoiapoint.transport.async_http_server import AsyncHttpServer

LIMITS = CallerLimits(
    max_header_bytes=2000,
    max_body_bytes=1000,
    header_timeout_s=0.4,
    idle_timeout_s=0.8,
)
GOOD = b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"


class Site:
    """A server on a free port, and what reached its handler."""

    def __init__(self, handler=None):
        self.seen = []
        self.refused = []
        self.cancelled = 0
        self._handler = handler or self._echo
        self.server = AsyncHttpServer(self._handle, self.refused.append)
        self.server.limits = LIMITS

    async def _handle(self, request, responder):
        self.seen.append((request.method, request.target, request.body))
        try:
            await self._handler(request, responder)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def _echo(self, request, responder):
        responder.send_response(200, [(b"X-Target", request.target.encode())], b"ok")

    async def __aenter__(self):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        await self.server.start(f"127.0.0.1:{self.port}")
        return self

    async def __aexit__(self, *error):
        await self.server.stop()

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)


async def exchange(site, *parts, pause_s=0.02):
    reader, writer = await site.connect()
    with contextlib.suppress(ConnectionError):
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)
    data = b""
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(3):
            while chunk := await reader.read(65536):
                data += chunk
                if data.count(b"HTTP/1.1 ") >= len(parts) and data.endswith(b"ok"):
                    break
    writer.close()
    return data


def run(coroutine):
    return asyncio.run(coroutine)


async def _answer(*parts, handler=None):
    async with Site(handler) as site:
        return await exchange(site, *parts), site


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
            b"Content-Length: 3\r\n\r\nhix",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
            b"Content-Length: 2\r\n\r\nhi",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /evil HTTP/1.1\r\n"
            b"Host: a\r\n\r\n",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
            b"0\r\n\r\n",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
        ),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3e9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n",
            413,
        ),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 2000 + b"\r\n\r\n", 431),
        (b"GET /" + b"y" * 2100 + b" HTTP/1.1\r\nHost: a\r\n\r\n", 431),
    ],
)
def test_a_request_whose_framing_is_in_doubt_is_refused_and_nothing_passed_on(
    request_bytes, status
):
    data, site = run(_answer(request_bytes))
    assert data.startswith(b"HTTP/1.1 %d " % status)
    assert b"Connection: close" in data
    assert data.count(b"HTTP/1.1") == 1
    assert site.seen == []
    assert site.refused == [status]


@pytest.mark.parametrize(
    "request_bytes",
    [
        GOOD,
        b"POST /p HTTP/1.1\r\nhost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\nh\r\n1\r\ni\r\n0\r\n\r\n",
    ],
)
def test_a_proper_request_arrives_whole(request_bytes):
    data, site = run(_answer(request_bytes))
    assert data.endswith(b"ok")
    assert site.seen == [("POST", "/p", b"hi")]


def test_a_request_in_single_bytes_arrives_whole():
    parts = [GOOD[n : n + 1] for n in range(len(GOOD))]

    async def play():
        async with Site() as site:
            reader, writer = await site.connect()
            for part in parts:
                writer.write(part)
                await asyncio.sleep(0.001)
            head = await reader.readuntil(b"ok")
            writer.close()
            return head, site.seen

    head, seen = run(play())
    assert head.startswith(b"HTTP/1.1 200 ")
    assert seen == [("POST", "/p", b"hi")]


def test_requests_on_one_connection_are_answered_in_order():
    async def slow_first(request, responder):
        if request.target == "/1":
            await asyncio.sleep(0.1)
        responder.send_response(200, [], request.target.encode())

    async def play():
        async with Site(slow_first) as site:
            reader, writer = await site.connect()
            for n in range(1, 5):
                writer.write(b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % n)
            data = await reader.readuntil(b"/4")
            writer.close()
            return data

    data = run(play())
    positions = [data.index(b"/%d" % n) for n in range(1, 5)]
    assert positions == sorted(positions)


def test_a_caller_that_leaves_ends_the_work_for_it():
    async def play():
        async with Site(lambda request, responder: asyncio.sleep(60)) as site:
            _, writer = await site.connect()
            writer.write(GOOD)
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.1)
            return site

    site = run(play())
    assert len(site.seen) == 1
    assert site.cancelled == 1


def test_an_answer_that_its_handler_left_open_is_broken_off():
    async def fail(request, responder):
        responder.start_stream(200, [])
        responder.send(b"part")
        raise ValueError

    data, _ = run(_answer(GOOD, handler=fail))
    assert b"part" in data
    assert not data.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(
    ("sent", "status"), [(GOOD[:10], 408), (GOOD[:-1], 408), (b"", None)]
)
def test_a_request_that_does_not_come_in_is_refused(sent, status):
    async def play():
        async with Site() as site:
            reader, writer = await site.connect()
            writer.write(sent)
            async with asyncio.timeout(3):
                data = await reader.read()
            return data, site

    data, site = run(play())
    assert site.seen == []
    if status is None:
        assert data == b""
    else:
        assert data.startswith(b"HTTP/1.1 %d " % status)


def test_an_idle_connection_is_kept_for_four_fifths_of_its_time():
    async def play():
        async with Site() as site:
            reader, writer = await site.connect()
            for _ in range(2):
                writer.write(GOOD)
                await reader.readuntil(b"ok")
                await asyncio.sleep(0.8 * LIMITS.idle_timeout_s)
            return len(site.seen), reader.at_eof()

    assert run(play()) == (2, False)


@pytest.mark.parametrize(
    ("head", "closes"),
    [
        (b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", True),
        (b"GET / HTTP/1.0\r\n\r\n", True),
        (
            b"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n",
            True,
        ),
        (b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", False),
    ],
)
def test_whether_a_connection_is_kept(head, closes):
    data, site = run(_answer(head))
    assert data.startswith(b"HTTP/1.1 200 ")
    assert (b"Connection: close" in data) is closes
    assert len(site.seen) == 1


def test_a_caller_that_asks_first_is_told_to_send_its_body():
    async def play():
        async with Site() as site:
            reader, writer = await site.connect()
            writer.write(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                b"Expect: 100-continue\r\n\r\n"
            )
            first = await reader.readuntil(b"\r\n\r\n")
            writer.write(b"hi")
            rest = await reader.readuntil(b"ok")
            return first, rest

    first, rest = run(play())
    assert first == b"HTTP/1.1 100 Continue\r\n\r\n"
    assert rest.startswith(b"HTTP/1.1 200 ")


def test_a_stopping_server_finishes_its_answers_and_takes_no_new_request():
    """Replays a planned stop with kept connections and a request in work."""

    async def slow(request, responder):
        responder.start_stream(200, [])
        await asyncio.sleep(0.2)
        responder.send(b"whole")
        responder.end_stream()

    async def play():
        async with Site(slow) as site:
            busy_reader, busy_writer = await site.connect()
            idle_reader, _ = await site.connect()
            busy_writer.write(GOOD)
            await asyncio.sleep(0.05)
            site.server.is_draining = True
            site.server.stop_accepting()
            idle = await idle_reader.read()
            busy_writer.write(GOOD)
            busy = await busy_reader.read()
            with pytest.raises(ConnectionRefusedError):
                await site.connect()
            return idle, busy, len(site.seen)

    idle, busy, seen = run(play())
    assert idle == b""
    assert b"whole" in busy
    assert busy.endswith(b"0\r\n\r\n")
    assert seen == 1


def test_a_caller_that_does_not_read_holds_up_the_source_of_its_answer():
    calls = []

    async def flood(request, responder):
        responder.set_flow_control(lambda: calls.append("pause"), lambda: None)
        responder.start_stream(200, [])
        for _ in range(200):
            responder.send(b"x" * async_http_server.WRITE_BUFFER_BYTES)
            if calls:
                return
            await asyncio.sleep(0)

    async def play():
        async with Site(flood) as site:
            _, writer = await site.connect()
            writer.write(GOOD)
            await asyncio.sleep(0.3)
            writer.close()

    run(play())
    assert calls == ["pause"]
