"""Callers that send requests to the gateways of a small deployment."""

import concurrent.futures
import contextlib
import threading
import time
from typing import Self

from standins.site.deployment import SiteDeployment


class Callers:
    """Send requests to all hosts in turn, at a steady rate, until the block ends.

    :param model: The model and adapter, "" for plain requests.
    :param events: The number of events to ask for, if a model is given.
    :param budget_s: Time that callers wait, over all their attempts, in seconds.
    :param rate: Requests a second.
    :param has_same_body: Whether all requests are the same but for their ids.
    :param threads: The number of requests that can be open at the same time.
    :ivar replies: The time, the status and the headers of each response.
    """

    def __init__(
        self,
        site: SiteDeployment,
        path: str,
        model: str = "",
        events: int = 3,
        budget_s: float = 4.0,
        rate: float = 60.0,
        has_same_body: bool = False,
        threads: int = 60,
    ) -> None:
        self._site, self._path, self._model = site, path, model
        self._events, self._budget_ms = events, round(1000 * budget_s)
        self._rate, self._has_same_body = rate, has_same_body
        self._ended = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(threads)
        self.replies: list[tuple[float, int, dict[str, str]]] = []

    def __enter__(self) -> Self:
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._ended.set()
        self._thread.join()
        self._pool.shutdown()

    def _run(self) -> None:
        started_at = time.monotonic()
        number = 0
        while not self._ended.is_set():
            self._pool.submit(self._send, number)
            number += 1
            due_at = started_at + number / self._rate
            self._ended.wait(max(0.0, due_at - time.monotonic()))

    def _send(self, number: int) -> None:
        live = [g for g in self._site.gateways if g.process.poll() is None]
        gateway = live[number % len(live)]
        with contextlib.suppress(OSError):
            reply = gateway.send_request(
                self._path,
                f"{self._path}-{number}",
                b"" if self._has_same_body else str(number).encode(),
                self._model,
                self._events,
                self._budget_ms,
            )
            self.replies.append((time.monotonic(), reply.status, reply.headers))

    def statuses(self, since: float) -> list[int]:
        """Return the statuses of the responses after a moment."""
        return [status for at, status, _ in self.replies if at >= since]
