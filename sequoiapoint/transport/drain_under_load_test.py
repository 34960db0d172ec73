"""Requests taken just before and during a planned stop, on kept and new connections.

Guards against an accepted request that is cut off, or left without an answer.
"""

import asyncio
import random
import socket
from dataclasses import replace

import pytest
import uvloop

from sequoiapoint.transport.async_http_server_test import (
    LIMITS,
    VALID_REQUEST,
    RecordingServer,
)

CALLERS = 40
READ_TIMEOUT_S = 3.0


def run(coroutine):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)


@pytest.mark.parametrize("how", ["stop", "idle_timeout"])
@pytest.mark.parametrize("sent", [VALID_REQUEST, VALID_REQUEST[:9]])
def test_a_request_that_has_arrived_as_its_idle_connection_is_closed_is_answered(
    how, sent
):
    """Its bytes were in the kernel's buffer, and the connection was reset."""

    async def scenario():
        async with RecordingServer() as recorder:
            recorder.server.limits = replace(LIMITS, idle_timeout_s=60.0)
            sock = socket.create_connection(("127.0.0.1", recorder.port))
            sock.setblocking(False)
            await asyncio.sleep(0.05)
            assert len(recorder.server.connections) == 1
            recorder.server.is_draining = True
            sock.send(sent)
            # Nothing is read before the connection is closed.
            if how == "stop":
                recorder.server.stop_accepting()
            else:
                recorder.server.limits = replace(LIMITS, idle_timeout_s=0.0)
                for connection in list(recorder.server.connections):
                    connection.check_timeouts(connection._last_progress_s + 1.0)
                recorder.server.limits = LIMITS
            reader, writer = await asyncio.open_connection(sock=sock)
            writer.write(VALID_REQUEST[len(sent) :])
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await reader.read()

    data = run(scenario())
    assert data.startswith(b"HTTP/1.1 200 ")
    assert data.endswith(b"ok")


@pytest.mark.parametrize("sent_before", [len(VALID_REQUEST), 9, 0])
@pytest.mark.parametrize("sent_after", [True, False])
@pytest.mark.parametrize("is_accepted", [False, True])
def test_a_connection_that_is_new_as_the_listener_closes_is_served(
    sent_before, sent_after, is_accepted
):
    """It was reset, also if only the kernel had accepted it, and not the process."""

    async def scenario():
        async with RecordingServer() as recorder:
            server = recorder.server
            sock = socket.create_connection(("127.0.0.1", recorder.port))
            if is_accepted:
                await asyncio.sleep(0.05)
            sock.sendall(VALID_REQUEST[:sent_before])
            server.is_draining = True
            server.stop_accepting()
            assert server.busy_count == 1
            sock.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=sock)
            await asyncio.sleep(0.05)
            if sent_after:
                writer.write(VALID_REQUEST[sent_before:])
            async with asyncio.timeout(READ_TIMEOUT_S):
                try:
                    data = await reader.read()
                except ConnectionError:
                    data = b""
            return data

    data = run(scenario())
    if sent_after or sent_before == len(VALID_REQUEST):
        assert data.startswith(b"HTTP/1.1 200 ")
        assert data.endswith(b"ok")
    else:
        assert data.startswith(b"HTTP/1.1 408 ") if sent_before else data == b""


@pytest.mark.parametrize("seed", range(4))
def test_every_request_taken_before_or_during_a_drain_gets_its_whole_response(seed):
    rng = random.Random(seed)
    cut, answered = [], []

    async def respond(request, responder):
        await asyncio.sleep(rng.uniform(0.0, 0.15))
        if rng.random() < 0.5:
            responder.send_response(200, [], b"whole")
            return
        responder.start_stream(200, [])
        for _ in range(3):
            responder.send(b"part")
            await asyncio.sleep(rng.uniform(0.0, 0.05))
        responder.end_stream()

    async def call(recorder, is_kept):
        """Send requests until a response asks to close, or no connection is taken."""
        reader = writer = None
        while True:
            if writer is None:
                try:
                    reader, writer = await recorder.connect()
                except ConnectionError:
                    return
            writer.write(VALID_REQUEST)
            try:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    head = (await reader.readuntil(b"\r\n\r\n")).lower()
                    is_chunked = b"chunked" in head
                    end = b"0\r\n\r\n" if is_chunked else b"whole"
                    await reader.readuntil(end)
            except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as e:
                cut.append(e)
                return
            answered.append(head)
            if not is_kept or b"connection: close" in head:
                writer.close()
                writer = None
                if recorder.server.is_closed:
                    return

    async def scenario():
        async with RecordingServer(respond) as recorder:
            callers = [
                asyncio.ensure_future(call(recorder, number % 2 == 0))
                for number in range(CALLERS)
            ]
            await asyncio.sleep(0.3)
            recorder.server.is_draining = True
            await asyncio.sleep(0.3)
            recorder.server.stop_accepting()
            await asyncio.gather(*callers)
            return len(recorder.received), recorder.cancelled

    received, cancelled = run(scenario())
    assert received == len(answered) > 3 * CALLERS
    assert cancelled == 0
    assert cut == []
