import time

from werkzeug.wrappers import Request, Response

from sequoiapoint.transport.http_client import HttpStream, call
from sequoiapoint.transport.http_server import HttpServer

SLOW_S = 3.0


def application(environ, start_response):
    request = Request(environ)

    def slow():
        yield b"first"
        time.sleep(SLOW_S)
        yield b"last"

    body = slow() if request.path == "/slow" else b"quick"
    return Response(body)(environ, start_response)


def test_a_call_does_not_wait_for_an_open_stream_of_the_same_thread():
    with HttpServer(("127.0.0.1", 0), application, 4) as server:
        address = f"127.0.0.1:{server.port}"
        started = time.monotonic()
        with HttpStream("GET", address, "/slow", step="t", timeout_s=9) as stream:
            assert next(stream.chunks()) == b"first"
            assert call("GET", address, "/quick", step="t").body == b"quick"
        assert time.monotonic() - started < SLOW_S
