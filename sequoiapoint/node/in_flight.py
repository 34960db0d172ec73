"""Tracks the requests in flight, so that a graceful shutdown interrupts none."""

import itertools
import threading


class InFlightRequests:
    """The requests that have begun and whose responses are not yet complete."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._tokens: set[int] = set()
        self._ids = itertools.count()

    def begin(self) -> int:
        """Register a request.

        :return: A token to pass to :meth:`end`.
        """
        with self._changed:
            token = next(self._ids)
            self._tokens.add(token)
            return token

    def end(self, token: int) -> None:
        """Unregister a request; doing so twice has no further effect."""
        with self._changed:
            self._tokens.discard(token)
            self._changed.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight.

        :return: Whether that happened before the timeout.
        """
        with self._changed:
            return self._changed.wait_for(lambda: not self._tokens, timeout_s)
