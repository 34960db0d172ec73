"""A second, late copy of a response on a connection that is in use again.

Guards against a request that gets the response to an earlier one.
"""

import asyncio
import contextlib
import socket

import pytest
import uvloop

from sequoiapoint.platform.servers import PlatformServerCodec
from sequoiapoint.transport.async_http_client import ConnectionPool, ExchangeOutcome

HEAD = b"HTTP/1.1 200 OK\r\n%b%b\r\n"
WAIT_S = 1.0
SETTLE_S = 0.02
"""Time in which the event loop reads what has been sent over the loopback interface."""


def with_length(head, body):
    return HEAD % (head, b"Content-Length: %d\r\n" % len(body)) + body


def chunked(head, body):
    parts = [b"%x\r\n%b\r\n" % (len(p), p) for p in (body[:3], body[3:])]
    return HEAD % (head, b"Transfer-Encoding: chunked\r\n") + b"".join(
        [*parts, b"0\r\n\r\n"]
    )


def response(form, name, has_id=True, body=None):
    head = b"Request-Id: %b\r\n" % name if has_id else b""
    return form(head, body or b"id: 1\ndata: %b\n\n" % name)


class Peer:
    """A server whose every byte the test sends itself."""

    async def __aenter__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.pool = ConnectionPool("{}:{}".format(*self._listener.getsockname()))
        self._sockets = {}
        return self

    async def __aexit__(self, *error):
        self.pool.close()
        self._listener.close()
        for sock in self._sockets.values():
            sock.close()

    async def send_request(self, name):
        """Send a request; return its exchange and the server's end."""
        codec = PlatformServerCodec()

        def accepts(status, headers):
            head = codec.decode_head(status, headers)
            return head.request_id in ("", name.decode())

        connection = await self.pool.acquire(WAIT_S)
        request = b"GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: %b\r\n\r\n" % name
        exchange = connection.send(request, b"", accepts)
        if connection not in self._sockets:
            loop = asyncio.get_running_loop()
            sock, _ = await loop.sock_accept(self._listener)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets[connection] = sock
        return exchange, self._sockets[connection]


async def exchange_result(exchange):
    async with asyncio.timeout(WAIT_S):
        outcome = await exchange.outcome
    return outcome, exchange.take_body()


def run(coroutine):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)


FORMS = [with_length, chunked]
OWN = (ExchangeOutcome.COMPLETE, b"id: 1\ndata: own\n\n")


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("share", [0.0, 0.05, 0.5, 0.95, 1.0])
@pytest.mark.parametrize("is_read", [True, False])
def test_a_copy_that_arrives_before_the_next_request_closes_the_connection(
    form, has_id, share, is_read
):
    """The copy may lie in the kernel's buffer as the next request is sent.

    :param share: The part of the copy that arrives before the next request.
    :param is_read: Whether the event loop has read it by then.
    """

    async def scenario():
        async with Peer() as peer:
            first, server = await peer.send_request(b"old")
            copy = response(form, b"old", has_id)
            server.sendall(copy)
            assert (await exchange_result(first))[0] is ExchangeOutcome.COMPLETE
            early = int(share * len(copy))
            server.sendall(copy[:early])
            if is_read:
                await asyncio.sleep(SETTLE_S)
            second, later = await peer.send_request(b"own")
            assert (later is not server) is bool(early)
            if not early:
                return OWN
            later.sendall(response(form, b"own", has_id))
            return await exchange_result(second)

    assert run(scenario()) == OWN


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("parts", [1, 2, 7])
@pytest.mark.parametrize("when", ["before", "while", "after"])
def test_a_copy_with_an_id_is_discarded_behind_the_next_request(form, parts, when):
    """The copy arrives before, while or after the request's own response arrives."""

    async def scenario():
        async with Peer() as peer:
            first, server = await peer.send_request(b"old")
            copy = response(form, b"old")
            server.sendall(copy)
            await exchange_result(first)
            second, same = await peer.send_request(b"own")
            assert same is server
            own = response(form, b"own")
            data = {"before": copy + own, "while": copy + own, "after": own + copy}
            step = -(-len(data[when]) // parts)
            if when == "while":
                # One write ends in the middle of the request's own response.
                step = len(copy) + len(own) // 2
            # Surplus bytes close the connection, and the rest cannot be sent.
            with contextlib.suppress(ConnectionError):
                for start in range(0, len(data[when]), step):
                    server.sendall(data[when][start : start + step])
                    await asyncio.sleep(SETTLE_S)
            result = await exchange_result(second)
            third, other = await peer.send_request(b"own")
            assert other is not server
            other.sendall(own)
            return result, await exchange_result(third)

    assert run(scenario()) == (OWN, OWN)
