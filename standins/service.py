"""A simulated plain service, such as a key release.

It counts its runs by idempotency key, so tests detect a request that ran twice although
it may run only once.
"""

import collections
import os
import threading
import time

from werkzeug.wrappers import Request, Response

from standins import web


class PlainService:
    """A simulated plain service and its HTTP handlers.

    :param work_s: The duration of a run, in seconds.
    """

    def __init__(self, work_s: float = 0.02) -> None:
        self._work_s = work_s
        self._lock = threading.Lock()
        self._runs: collections.Counter = collections.Counter()
        self._running = 0
        self._leaving = False
        self._responses_to_drop = 0
        self._refusals_left = 0
        self._last_run_at = 0.0

    def application(self) -> web.Application:
        """Return the WSGI application."""
        return web.Application(
            [
                ("/health", self._health),
                ("/stats", self._health),
                ("/report", self._report),
                ("/control", self._control),
                ("/runs", self._list_runs),
                ("/<path:path>", self._run),
            ]
        )

    def _run(self, request: Request, path: str) -> Response:
        body = request.get_data(as_text=True)
        key = request.headers.get("Idempotency-Key") or body
        with self._lock:
            if self._refusals_left > 0:
                self._refusals_left -= 1
                return web.json_response({"reason": "busy"}, 503, X_Not_Executed="1")
            self._runs[key] += 1
            self._running += 1
            self._last_run_at = time.time()
            drop = self._responses_to_drop > 0
            self._responses_to_drop -= int(drop)
            run = self._runs[key]
        time.sleep(self._work_s)
        with self._lock:
            self._running -= 1
        if drop:
            request.environ["sequoiapoint.socket"].shutdown(2)
        return web.json_response({"path": path, "body": body, "run": run})

    def _health(self, _request: Request) -> Response:
        return web.json_response({"leaving": self._leaving})

    def _report(self, _request: Request) -> Response:
        return web.json_response(
            {
                "incarnation": str(os.getpid()),
                "sequence": time.monotonic_ns(),
                "running": self._running,
                "queued": 0,
                "leaving": self._leaving,
                "highest_fence": 0,
                "used_mb": 0,
                "holdings": [],
            }
        )

    def _list_runs(self, _request: Request) -> Response:
        return web.json_response({"runs": self._runs, "last_run_at": self._last_run_at})

    def _control(self, request: Request) -> Response:
        """Inject the faults in the request body; every key is optional."""
        faults = request.get_json()
        with self._lock:
            self._leaving = faults.get("leaving", self._leaving)
            self._work_s = faults.get("work_s", self._work_s)
            self._responses_to_drop = faults.get(
                "drop_answers", self._responses_to_drop
            )
            self._refusals_left = faults.get("refuse", self._refusals_left)
        if faults.get("die"):
            os._exit(1)
        return web.json_response({})


def main() -> None:
    """Run the simulated service."""
    parser = web.argument_parser(__doc__.splitlines()[0])
    parser.add_argument("--work-s", type=float, default=0.02)
    arguments = parser.parse_args()
    service = PlainService(arguments.work_s)
    web.serve_until_terminated(arguments.address, service.application(), threads=64)


if __name__ == "__main__":
    main()
