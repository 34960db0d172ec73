"""Responses whose server goes on without end, at one host, several at a time.

Guards against a host that answers nobody while one server is faulty, and against events
beyond the last token that reach a caller.
"""

import asyncio
import contextlib
import socket
import time
from dataclasses import replace

import pytest
import uvloop

from sequoiapoint.node.endless_response_test import (
    CHUNKED,
    MAX_STALL_S,
    EndlessPeer,
    chunk,
    longest_stall_s,
)
from sequoiapoint.node.request_forwarder_test import ENTRY, Site
from sequoiapoint.protocol.event_stream import MAX_EVENT_BYTES, MAX_EXTRA_EVENTS
from sequoiapoint.protocol.gateway import Repeatability
from sequoiapoint.transport.async_http_server import AsyncHttpServer

STREAMS = 12
"""Those that one server sends at a time, see ``review/7``."""
TOKENS, PROMPT_TOKENS = 12, 100
BUDGET_S = 10.0
MAX_PROCESSOR_S = 1.0
"""Processor time that all of them may take from other requests, with their server's."""
HEAD = CHUNKED.replace(b"\r\n\r\n", b"\r\nRequest-Id: id\r\nServer-Seal: s\r\n\r\n")
FIRST = HEAD + b"".join(
    chunk(b"id: %d\ndata: x\n\n" % number) for number in range(1, TOKENS + 1)
)
MAX_RECEIVED = MAX_EVENT_BYTES + 100 * MAX_EXTRA_EVENTS


async def read_stream(address):
    """Read a stream to its end; return how many bytes came, and the last ones."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    count, last = 0, b""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65_536):
            count, last = count + len(data), (last + data)[-5:]
    writer.close()
    return count, last


FLOODS = {
    "no_field": (FIRST, b"oak\n\n", True),
    "blank_line": (FIRST, b"\n", True),
    "no_id": (FIRST, b"data: x\n\n", True),
    "comment": (FIRST, b": oak\n\n", True),
    "event": (FIRST, b"id: 13\ndata: x\n\n", True),
    "open_event": (FIRST + chunk(b"id: 13\ndata: "), b"x", True),
    "body": (HEAD, b"x", False),
    "body_of_lines": (HEAD, b"oak\n", False),
}
"""By name: what a server sends first, the part that it repeats, and whether callers ask
for a stream."""
EXTENSION = b"1;note=%b\r\nx\r\n" % (b"oak" * 10_000)


@pytest.mark.parametrize(
    ("first", "part", "is_stream"),
    [
        *(
            (first, chunk(part), is_stream)
            for first, part, is_stream in FLOODS.values()
        ),
        (HEAD, EXTENSION, False),
    ],
    ids=[*FLOODS, "chunk_extensions"],
)
def test_responses_without_end_hold_up_no_other_caller(
    monkeypatch, first, part, is_stream
):
    async def scenario():
        async with EndlessPeer(first, part) as peer:
            site = Site(monkeypatch, replace(ENTRY, address="127.0.0.1:1"))
            site.state.adapter.callers.refusal_headers = lambda *arguments: []
            site.route = replace(
                site.route,
                repeatability=Repeatability.AT_MOST_ONCE,
                is_stream=is_stream,
            )
            monkeypatch.setattr(
                site.state.pools, "get_or_create", lambda entry: peer.pool
            )
            front = AsyncHttpServer(
                lambda inbound, responder: site.request(
                    budget_s=BUDGET_S,
                    responder=responder,
                    prompt_tokens=PROMPT_TOKENS,
                    tokens=PROMPT_TOKENS + TOKENS,
                ),
                lambda status: None,
            )
            with socket.create_server(("127.0.0.1", 0)) as free:
                address = f"127.0.0.1:{free.getsockname()[1]}"
            await front.start(address)
            started_at = time.process_time()
            reads = asyncio.gather(*(read_stream(address) for _ in range(STREAMS)))
            stall_s = await longest_stall_s(reads)
            processor_s = time.process_time() - started_at
            await front.stop()
            return reads.result(), stall_s, processor_s

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        results, stall_s, processor_s = runner.run(scenario())
    assert stall_s < MAX_STALL_S
    assert processor_s < MAX_PROCESSOR_S
    for count, last in results:
        assert count <= MAX_RECEIVED
        assert not last.endswith(b"0\r\n\r\n")
