"""Ways in which a connection could end before a response is complete."""

import asyncio
import socket
from dataclasses import replace

import pytest
import uvloop

from sequoiapoint.transport import async_http_server
from sequoiapoint.transport.async_http_server_test import (
    LIMITS,
    VALID_REQUEST,
    RecordingServer,
)

MIB = 1_048_576
READ_TIMEOUT_S = 8.0
SMALL_BUFFER_BYTES = 4_096
GARBAGE = b"\x00nonsense\r\n\r\n"
UNANSWERABLE = [GARBAGE, b"GET / HTTP/1.1\r\n\r\n"]
"""Second requests that are rejected."""


def run(coroutine):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)


async def slow_connection(recorder):
    """Return a connection whose caller's kernel buffers little."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    address = ("127.0.0.1", recorder.port)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return await asyncio.open_connection(sock=sock, limit=SMALL_BUFFER_BYTES)


async def read_all(reader):
    data = b""
    async with asyncio.timeout(READ_TIMEOUT_S):
        while chunk := await reader.read(65_536):
            data += chunk
    return data


async def read_until(reader, end):
    data = b""
    async with asyncio.timeout(READ_TIMEOUT_S):
        while not data.endswith(end):
            chunk = await reader.read(65_536)
            assert chunk, f"closed after {len(data)} bytes"
            data += chunk
    return data


async def answer_large(request, responder):
    responder.send_response(200, [], b"x" * (4 * MIB) + b"end")


async def answer_later(request, responder):
    await asyncio.sleep(0.3)
    responder.send_response(200, [], b"x" * (4 * MIB) + b"end")


@pytest.mark.parametrize("garbage", UNANSWERABLE)
@pytest.mark.parametrize("pause_s", [0.0, 0.1])
def test_a_response_is_sent_to_its_end_although_a_bad_request_follows(garbage, pause_s):
    """The connection was aborted before the last bytes of the response were sent."""

    async def scenario():
        async with RecordingServer(answer_later) as recorder:
            reader, writer = await slow_connection(recorder)
            writer.write(VALID_REQUEST)
            await asyncio.sleep(pause_s)
            writer.write(garbage)
            await asyncio.sleep(0.5)
            return await read_all(reader), recorder

    data, recorder = run(scenario())
    assert data.startswith(b"HTTP/1.1 200 ")
    assert data.endswith(b"end")
    assert len(recorder.received) == 1


@pytest.mark.parametrize("count", [1, 2, 3])
@pytest.mark.parametrize("garbage", UNANSWERABLE)
def test_requests_received_before_a_bad_one_are_answered(garbage, count):
    """They were dropped, or the first one got the status of the bad one."""

    async def scenario():
        async with RecordingServer() as recorder:
            reader, writer = await recorder.connect()
            writer.write(VALID_REQUEST * count + garbage)
            return await read_all(reader)

    data = run(scenario())
    assert data.count(b"HTTP/1.1 200 ") == count
    assert data.endswith(b"ok")


def test_requests_received_before_a_stop_began_are_answered():
    """A response with ``Connection: close`` dropped those that waited behind it."""

    async def scenario():
        async with RecordingServer() as recorder:
            reader, writer = await recorder.connect()
            recorder.server.is_draining = True
            writer.write(VALID_REQUEST * 3)
            return await read_all(reader)

    assert run(scenario()).count(b"HTTP/1.1 200 ") == 3


@pytest.mark.parametrize("count", [1, 2, 3])
@pytest.mark.parametrize("sent_at_stop", [0, 9, len(VALID_REQUEST)])
def test_requests_that_are_read_behind_one_in_progress_at_a_stop_are_answered(
    count, sent_at_stop
):
    """They were read after the listener had closed, and dropped."""
    behind = VALID_REQUEST * count

    async def scenario():
        async with RecordingServer(answer_later) as recorder:
            reader, writer = await recorder.connect()
            writer.write(VALID_REQUEST)
            await asyncio.sleep(0.05)
            recorder.server.is_draining = True
            writer.write(behind[:sent_at_stop])
            await asyncio.sleep(0.05)
            recorder.server.stop_accepting()
            writer.write(behind[sent_at_stop:])
            return await read_all(reader), recorder

    data, recorder = run(scenario())
    assert data.count(b"HTTP/1.1 200 ") == len(recorder.received)
    if sent_at_stop != len(VALID_REQUEST):
        # Reading pauses once a whole request waits; nothing behind it is read.
        assert len(recorder.received) == 1 + count
    assert len(recorder.received) >= 2
    assert data.endswith(b"end")


@pytest.mark.parametrize("is_accepting", [True, False])
@pytest.mark.parametrize("size", [1, 9, len(VALID_REQUEST) - 1])
def test_a_request_that_is_read_in_part_as_the_one_before_ends_at_a_stop_is_answered(
    size, is_accepting
):
    """The response before it closed the connection, and its rest was discarded."""

    async def scenario():
        async with RecordingServer(answer_later) as recorder:
            reader, writer = await recorder.connect()
            recorder.server.is_draining = True
            writer.write(VALID_REQUEST + VALID_REQUEST[:size])
            await asyncio.sleep(0.05)
            if not is_accepting:
                recorder.server.stop_accepting()
            first = await read_until(reader, b"end")
            await asyncio.sleep(0.1)
            writer.write(VALID_REQUEST[size:])
            return first, await read_all(reader)

    first, second = run(scenario())
    assert b"Connection: close" not in first
    assert second.startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" in second[:200]
    assert second.endswith(b"end")


@pytest.mark.parametrize("action", ["stop_accepting", "idle_timeout"])
def test_a_response_that_its_caller_reads_slowly_is_sent_to_its_end(action):
    """What had been written but not sent was discarded with an idle connection."""

    async def scenario():
        async with RecordingServer(answer_large) as recorder:
            reader, writer = await slow_connection(recorder)
            writer.write(VALID_REQUEST)
            await asyncio.sleep(0.2)
            if action == "stop_accepting":
                recorder.server.stop_accepting()
                assert recorder.server.busy_count == 1
            else:
                recorder.server.limits = replace(LIMITS, idle_timeout_s=0.1)
            await asyncio.sleep(0.6)
            data = await read_all(reader)
            await asyncio.sleep(async_http_server.CLOSE_DELAY_S + 0.1)
            assert recorder.server.busy_count == 0
            return data

    data = run(scenario())
    assert data.endswith(b"end")
    assert len(data) > 4 * MIB


def test_a_caller_that_pauses_its_reading_gets_its_response():
    """The kernel ended a connection whose caller read nothing for 2.5 s."""

    async def scenario():
        async with RecordingServer(answer_large) as recorder:
            recorder.server.limits = replace(LIMITS, idle_timeout_s=30.0)
            reader, writer = await slow_connection(recorder)
            writer.write(VALID_REQUEST)
            await asyncio.sleep(4.0)
            return await read_until(reader, b"end")

    assert len(run(scenario())) > 4 * MIB


@pytest.mark.parametrize("idle_timeout_s", [0.01, 0.1, 5.0])
@pytest.mark.parametrize("has_body_begun", [False, True])
def test_a_request_that_is_being_received_survives_changed_limits(
    idle_timeout_s, has_body_begun
):
    async def scenario():
        async with RecordingServer(answer_later) as recorder:
            reader, writer = await recorder.connect()
            writer.write(VALID_REQUEST[: -1 if has_body_begun else 10])
            await asyncio.sleep(0.1)
            recorder.server.limits = replace(LIMITS, idle_timeout_s=idle_timeout_s)
            await asyncio.sleep(0.28)
            writer.write(VALID_REQUEST[-1 if has_body_begun else 10 :])
            return await read_until(reader, b"end")

    assert run(scenario()).startswith(b"HTTP/1.1 200 ")


def test_a_request_that_arrives_with_a_stop_is_answered():
    """Its body is still arriving when the server stops to accept requests."""

    async def scenario():
        async with RecordingServer(answer_later) as recorder:
            reader, writer = await recorder.connect()
            writer.write(VALID_REQUEST[:-1])
            await asyncio.sleep(0.05)
            recorder.server.is_draining = True
            recorder.server.stop_accepting()
            await asyncio.sleep(0.05)
            writer.write(VALID_REQUEST[-1:])
            return await read_all(reader)

    data = run(scenario())
    assert data.startswith(b"HTTP/1.1 200 ")
    assert data.endswith(b"end")


def test_a_request_behind_a_long_response_is_not_late_when_its_rest_is_read():
    """Reading was paused meanwhile, so its caller is not slow."""

    async def slow_first(request, responder):
        await asyncio.sleep(0.2 if request.target == "/p" else 0.0)
        responder.send_response(200, [], request.target.encode())

    async def scenario():
        async with RecordingServer(slow_first) as recorder:
            reader, writer = await recorder.connect()
            writer.write(VALID_REQUEST * 4 + b"GET /last HT")
            await asyncio.sleep(0.1)
            writer.write(b"TP/1.1\r\nHost: h\r\n\r\n")
            return await read_until(reader, b"/last")

    assert run(scenario()).count(b"HTTP/1.1 200 ") == 5


@pytest.mark.parametrize("count", [1, 2])
def test_requests_cut_as_the_server_stops_are_counted_and_not_taken_for_left(count):
    causes = []

    async def wait(request, responder):
        try:
            await asyncio.sleep(READ_TIMEOUT_S)
        except asyncio.CancelledError as error:
            causes.append(error.args)
            raise

    async def scenario():
        async with RecordingServer(wait) as recorder:
            reader, writer = await recorder.connect()
            writer.write(VALID_REQUEST * count)
            await asyncio.sleep(0.1)
            await recorder.server.stop()
            return recorder.server.unanswered

    assert run(scenario()) == count
    assert causes == [(async_http_server.HOST_STOPPED,)]


@pytest.mark.parametrize("count", [1, 2])
def test_handlers_that_are_ended_with_the_server_still_respond(count):
    """Their connections were closed without an answer."""
    causes = []

    async def wait(request, responder):
        try:
            await asyncio.sleep(READ_TIMEOUT_S if not causes else 0.0)
            responder.send_response(503, [], b"end")
        except asyncio.CancelledError as error:
            causes.append(error.args)
            responder.send_response(502, [], b"end")
            raise

    async def scenario():
        async with RecordingServer(wait) as recorder:
            reader, writer = await recorder.connect()
            writer.write(VALID_REQUEST * count)
            await asyncio.sleep(0.1)
            recorder.server.is_draining = True
            recorder.server.stop_accepting()
            recorder.server.end_requests()
            return await read_all(reader)

    data = run(scenario())
    assert causes == [(async_http_server.HOST_STOPPED,)]
    statuses = [int(part[:3]) for part in data.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [502, 503][:count]


@pytest.mark.parametrize("count", [1, 2])
def test_a_request_that_arrives_as_handlers_are_ended_is_answered(count):
    """Its handler was cancelled before it had begun, and could not respond."""

    async def refuse(request, responder):
        responder.send_response(503, [], b"end")

    async def scenario():
        async with RecordingServer(refuse) as recorder:
            reader, _ = await recorder.connect()
            await recorder.server.has_connections.wait()
            (connection,) = recorder.server.connections
            connection.data_received(VALID_REQUEST * count)
            recorder.server.is_draining = True
            recorder.server.end_requests()
            return await read_all(reader)

    assert run(scenario()).count(b"HTTP/1.1 503 ") == count


def test_a_response_counts_as_unsent_until_its_caller_has_read_it():
    """A host that stopped discarded what another host had not read yet."""

    async def scenario():
        async with RecordingServer(answer_large) as recorder:
            reader, writer = await slow_connection(recorder)
            counts = [recorder.server.unsent_count]
            writer.write(VALID_REQUEST)
            await asyncio.sleep(0.1)
            counts.append(recorder.server.unsent_count)
            await read_until(reader, b"end")
            return [*counts, recorder.server.unsent_count]

    assert run(scenario()) == [0, 1, 0]


@pytest.mark.parametrize("reads", [False, True])
def test_only_a_caller_that_takes_no_bytes_is_given_up(monkeypatch, reads):
    """Guards against connections that are kept for callers that never read."""
    monkeypatch.setattr(async_http_server, "CALLER_TIMEOUT_MS", 1_000)

    async def scenario():
        async with RecordingServer(answer_large) as recorder:
            reader, writer = await slow_connection(recorder)
            writer.write(VALID_REQUEST)
            for _ in range(10):
                await asyncio.sleep(0.25)
                if reads:
                    await reader.read(200_000)
                    await reader.read(200_000)
            return len(recorder.server.connections)

    assert run(scenario()) == int(reads)
