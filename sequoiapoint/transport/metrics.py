"""OpenTelemetry metrics, exposed in the Prometheus text format."""

import math

from opentelemetry.exporter.prometheus import PrometheusMetricReader
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


class Metrics:
    """All metric instruments of the process."""

    def __init__(self) -> None:
        buckets = ExplicitBucketHistogramAggregation(SECONDS_BUCKETS)
        provider = MeterProvider(
            [PrometheusMetricReader()],
            views=[View(instrument_name="*_seconds", aggregation=buckets)],
        )
        meter = provider.get_meter("sequoiapoint")
        self._requests = meter.create_counter(
            "requests", description="Requests by fate and kind of promise"
        )
        self._refusals = meter.create_counter(
            "refusals", description="Requests that were not done, by reason"
        )
        self._retries = meter.create_counter(
            "retries", description="Further attempts, by the reason of the last failure"
        )
        self._dropped = meter.create_counter(
            "dropped_answers", description="Late or crossed answers, by reason"
        )
        self._orders = meter.create_counter(
            "orders", description="Orders to engines by action and outcome"
        )
        self._records = meter.create_counter(
            "log_records", description="Records read back, by kind and outcome"
        )
        self._violations = meter.create_counter(
            "invariant_violations", description="Invariants that did not hold"
        )
        self._events = meter.create_counter(
            "events", description="Other events, by name"
        )
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
        self._requests.add(1, {"fate": outcome, "promise": promise})
        self._duration.record(seconds, {"promise": promise})

    def refusal(self, reason: str) -> None:
        """Count a rejected request, an error response or a denied retry by its reason.

        It is counted whatever its outcome; the request may have been executed.
        """
        self._refusals.add(1, {"reason": reason})

    def retry(self, reason: str) -> None:
        """Count a retry by the reason of the last failure."""
        self._retries.add(1, {"reason": reason})

    def dropped_response(self, reason: str) -> None:
        """Count a response that was discarded because no request waits for it."""
        self._dropped.add(1, {"reason": reason})

    def order(self, action: str, outcome: str) -> None:
        """Count an order (a load or evict command) to an engine."""
        self._orders.add(1, {"action": action, "outcome": outcome})

    def record(self, kind: str, outcome: str) -> None:
        """Count a record that was read back from the log."""
        self._records.add(1, {"kind": kind, "outcome": outcome})

    def violation(self, name: str) -> None:
        """Count an invariant violation."""
        self._violations.add(1, {"name": name})

    def event(self, name: str) -> None:
        """Count an event that has no instrument of its own."""
        self._events.add(1, {"name": name})

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
