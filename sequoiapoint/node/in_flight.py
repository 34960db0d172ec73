"""Counts the requests in flight, so that a planned stop cuts none."""

import itertools
import threading


class InFlightRequests:
    """The requests that were begun and not yet answered in full."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._tokens: set[int] = set()
        self._ids = itertools.count()

    def begin(self) -> int:
        """Begin a request.

        :return: A token to end it with.
        """
        with self._changed:
            token = next(self._ids)
            self._tokens.add(token)
            return token

    def end(self, token: int) -> None:
        """End a request; ending it twice does no harm."""
        with self._changed:
            self._tokens.discard(token)
            self._changed.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight.

        :return: Whether that came within the time.
        """
        with self._changed:
            return self._changed.wait_for(lambda: not self._tokens, timeout_s)
