"""WSGI application and argument parser of the simulated servers.

Requests are routed by werkzeug and served as those of the product.
"""

import argparse
import json
import signal
import threading
from collections.abc import Callable
from typing import Any

from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from sequoiapoint.protocol.addresses import split_address
from sequoiapoint.transport.http_server import HttpServer


def json_response(value: Any, status: int = 200, **headers: str) -> Response:
    """Return a JSON response; underscores in header names become hyphens."""
    response = Response(json.dumps(value), status, mimetype="application/json")
    for name, header_value in headers.items():
        response.headers[name.replace("_", "-")] = header_value
    return response


class Application:
    """A WSGI application that routes requests by path.

    :param routes: Pairs of a werkzeug rule and its handler, which is called with the
        request and the values matched by the rule.
    """

    def __init__(self, routes: list[tuple[str, Callable]]) -> None:
        self._handlers = dict(routes)
        self._map = Map([Rule(rule, endpoint=rule) for rule, _ in routes])

    def __call__(self, environ: dict, start_response: Callable) -> Any:
        """Handle one request."""
        request = Request(environ)
        try:
            rule, values = self._map.bind_to_environ(environ).match()
            response = self._handlers[rule](request, **values)
        except HTTPException as error:
            response = error.get_response(environ)
        return response(environ, start_response)


def argument_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the address option that all simulated servers have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", required=True, help="IP address and port")
    return parser


def serve_until_terminated(address: str, application: Callable, threads: int) -> None:
    """Serve until SIGTERM or SIGINT arrives."""
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    with HttpServer(split_address(address), application, threads):
        stop.wait()
