"""Unexpected errors in handlers, loops and callbacks of a gateway host.

Guards against one error that takes the process, a component or other requests down.
"""

import asyncio
import gc
from types import SimpleNamespace

import pytest
import uvloop

from sequoiapoint.node import gateway_host
from sequoiapoint.node.gateway_host import GatewayHost
from sequoiapoint.protocol.gateway_settings import Bounds
from sequoiapoint.transport.async_http_server_test import (
    VALID_REQUEST,
    RecordingServer,
)


class Host:
    """A gateway host of which only the handling of failures runs."""

    def __init__(self, tmp_path):
        path = tmp_path / "settings.json"
        path.write_text("{}")
        self.logged, self.counted = [], []
        self.host = GatewayHost(SimpleNamespace(bounds=Bounds()), str(path), None)
        self.host._state = SimpleNamespace(
            log=SimpleNamespace(event=lambda *a, **f: self.logged.append((*a, f))),
            metrics=SimpleNamespace(event=self.counted.append),
        )

    def run(self, scenario):
        async def main():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(self.host._log_task_failure)
            result = await scenario()
            # A task is logged when it is freed without a reader of its error.
            gc.collect()
            await asyncio.sleep(0.01)
            return result

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(main())

    def assert_logged_once(self, part):
        assert self.counted == ["part_failed"]
        ((event, name, fields),) = self.logged
        assert event == "part_failed"
        assert part in name
        assert "KeyError('cause')" in fields["error"]
        assert "raise KeyError" in fields["trace"]


@pytest.mark.parametrize("has_begun", [False, True])
def test_an_error_in_a_requests_handler_ends_that_request_alone(tmp_path, has_begun):
    host = Host(tmp_path)

    async def handle(request, responder):
        if request.target != "/bad":
            await asyncio.sleep(0.1)
            responder.send_response(200, [], b"ok")
            return
        if has_begun:
            responder.start_stream(200, [])
        raise KeyError("cause")

    async def scenario():
        async with RecordingServer(handle) as recorder:
            reader, writer = await recorder.connect()
            writer.write(VALID_REQUEST)
            bad_reader, bad_writer = await recorder.connect()
            bad_writer.write(VALID_REQUEST.replace(b"/p", b"/bad"))
            bad = await bad_reader.read()
            good = await reader.readuntil(b"ok")
            writer.write(VALID_REQUEST)
            return bad, good, await reader.readuntil(b"ok")

    bad, good, later = host.run(scenario)
    assert not bad.endswith(b"0\r\n\r\n")
    assert good.startswith(b"HTTP/1.1 200 ")
    assert later.startswith(b"HTTP/1.1 200 ")
    host.assert_logged_once("run_handler")


def test_a_component_whose_loop_fails_is_started_again(monkeypatch, tmp_path):
    monkeypatch.setattr(gateway_host, "RESTART_DELAY_S", 0.01)
    host = Host(tmp_path)
    starts = []

    async def component():
        starts.append(1)
        if len(starts) == 1:
            raise KeyError("cause")

    host.run(lambda: host.host._run_with_restart(component))
    assert len(starts) == 2
    host.assert_logged_once("component")


def test_an_error_in_a_task_of_a_component_restarts_the_component(
    monkeypatch, tmp_path
):
    """A group of tasks raises an error of its own type."""
    monkeypatch.setattr(gateway_host, "RESTART_DELAY_S", 0.01)
    host = Host(tmp_path)
    starts = []

    async def fail():
        raise KeyError("cause")

    async def component():
        starts.append(1)
        async with asyncio.TaskGroup() as tasks:
            if len(starts) == 1:
                tasks.create_task(fail())

    host.run(lambda: host.host._run_with_restart(component))
    assert len(starts) == 2
    host.assert_logged_once("component")


def fail(*arguments):
    raise KeyError("cause")


class FailingReader(asyncio.Protocol):
    def data_received(self, data):
        fail()


class FailingReceiver(asyncio.DatagramProtocol):
    def datagram_received(self, data, address):
        fail()


@pytest.mark.parametrize("where", ["soon", "later", "reader", "datagram"])
def test_an_error_in_a_callback_is_logged_and_the_loop_goes_on(tmp_path, where):
    host = Host(tmp_path)

    async def scenario():
        loop = asyncio.get_running_loop()
        if where == "soon":
            loop.call_soon(fail)
        elif where == "later":
            loop.call_later(0.01, fail)
        elif where == "reader":
            server = await loop.create_server(FailingReader, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()
            _, writer = await asyncio.open_connection(*address)
            writer.write(b"x")
        else:
            receiver, _ = await loop.create_datagram_endpoint(
                FailingReceiver, local_addr=("127.0.0.1", 0)
            )
            address = receiver.get_extra_info("sockname")
            sender, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, remote_addr=address
            )
            sender.sendto(b"x")
        await asyncio.sleep(0.1)
        return "goes on"

    assert host.run(scenario) == "goes on"
    host.assert_logged_once("")
