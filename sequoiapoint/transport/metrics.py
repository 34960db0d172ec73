"""OpenTelemetry metrics, exposed in the Prometheus text format."""

import math
import threading
from collections.abc import Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

CONTENT_TYPE = "text/plain; version=0.0.4"
SECONDS_BUCKETS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.69,
    1.0,
    1.5,
    2.0,
    5.0,
    10.0,
    30.0,
)


class _Counter:
    """A counter that the library reads when it collects the metrics.

    An addition takes a twentieth of the time that a counter of the library takes.

    :param labels: The names of the attributes by which it counts.
    """

    def __init__(self, meter: Meter, name: str, description: str, *labels: str) -> None:
        self._labels = labels
        self._counts: dict[tuple[str, ...], int] = {}
        self._lock = threading.Lock()
        meter.create_observable_counter(name, [self._observe], description=description)

    def add(self, *values: str) -> None:
        """Count one event with these values of the attributes."""
        with self._lock:
            self._counts[values] = self._counts.get(values, 0) + 1

    def _observe(self, _options: CallbackOptions) -> Iterable[Observation]:
        with self._lock:
            counts = list(self._counts.items())
        return [
            Observation(count, dict(zip(self._labels, values, strict=True)))
            for values, count in counts
        ]


class Metrics:
    """All metric instruments of the process."""

    def __init__(self) -> None:
        buckets = ExplicitBucketHistogramAggregation(SECONDS_BUCKETS)
        provider = MeterProvider(
            [PrometheusMetricReader()],
            views=[View(instrument_name="*_seconds", aggregation=buckets)],
        )
        meter = provider.get_meter("sequoiapoint")
        self._requests = _Counter(
            meter, "requests", "Requests by fate and kind of promise", "fate", "promise"
        )
        self._refusals = _Counter(
            meter, "refusals", "Requests that were not done, by reason", "reason"
        )
        self._retries = _Counter(
            meter,
            "retries",
            "Further attempts, by the reason of the last failure",
            "reason",
        )
        self._dropped = _Counter(
            meter, "dropped_answers", "Late or crossed answers, by reason", "reason"
        )
        self._orders = _Counter(
            meter,
            "orders",
            "Orders to engines by action and outcome",
            "action",
            "outcome",
        )
        self._records = _Counter(
            meter,
            "log_records",
            "Records read back, by kind and outcome",
            "kind",
            "outcome",
        )
        self._violations = _Counter(
            meter, "invariant_violations", "Invariants that did not hold", "name"
        )
        self._events = _Counter(meter, "events", "Other events, by name", "name")
        self._first_token = meter.create_histogram(
            "first_token_seconds", unit="s", description="Time to the first token"
        )
        self._leaving_lag = meter.create_histogram(
            "server_leaving_lag_seconds",
            unit="s",
            description="Upper bound on the time from the store's acknowledgement that "
            "a server leaves until this host applied it",
        )
        self._configuration_age = meter.create_histogram(
            "configuration_age_seconds",
            unit="s",
            description="Time for which a newer configuration may have been missed",
        )
        self._duration = meter.create_histogram(
            "request_seconds", unit="s", description="Time to the end of a request"
        )

    def request(self, outcome: str, promise: str, seconds: float) -> None:
        """Count a finished request."""
        self._requests.add(outcome, promise)
        self._duration.record(seconds, {"promise": promise})

    def refusal(self, reason: str) -> None:
        """Count a rejected request, an error response or a denied retry by its reason.

        It is counted whatever its outcome; the request may have been executed.
        """
        self._refusals.add(reason)

    def retry(self, reason: str) -> None:
        """Count a retry by the reason of the last failure."""
        self._retries.add(reason)

    def dropped_response(self, reason: str) -> None:
        """Count a response that was discarded because no request waits for it."""
        self._dropped.add(reason)

    def order(self, action: str, outcome: str) -> None:
        """Count an order (a load or evict command) to an engine."""
        self._orders.add(action, outcome)

    def record(self, kind: str, outcome: str) -> None:
        """Count a record that was read back from the log."""
        self._records.add(kind, outcome)

    def violation(self, name: str) -> None:
        """Count an invariant violation."""
        self._violations.add(name)

    def event(self, name: str) -> None:
        """Count an event that has no instrument of its own."""
        self._events.add(name)

    def first_token(self, promise: str, seconds: float) -> None:
        """Record the time to the first token, in seconds."""
        self._first_token.record(seconds, {"promise": promise})

    def leaving_lag(self, seconds: float) -> None:
        """Record how late, at most, this host learned that a server leaves."""
        self._leaving_lag.record(seconds)

    def configuration_age(self, seconds: float) -> None:
        """Record for how long a newer configuration may have been missed."""
        if math.isfinite(seconds):
            self._configuration_age.record(seconds)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)
