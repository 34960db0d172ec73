"""Measures the latency that an entry host adds to a request to an engine.

Requests through an entry host and requests straight to the engine alternate in one run,
so that the state of the machine affects both alike.
"""

import argparse
import json
import sys
import threading
import time
from dataclasses import dataclass, replace

import psutil

from standins import deployments, load
from standins.cluster import Cluster, Deployment

TOKENS = 24
ROUNDS = 6
REQUESTS = 60
CONCURRENT_STREAMS = 500
SATURATING_CALLERS = 48
SATURATION_S = 6.0
MAX_TOTAL_RATIO = 1.25
"""The upper bound on the time of a complete response through a host, relative to that
of a response straight from the engine."""
MAX_ADDED_FIRST_TOKEN_MS = 69.0
"""The path through a host may take a tenth of the promised time to the first token."""


@dataclass(frozen=True)
class PathMeasurement:
    """The results of one run, in milliseconds unless the name says otherwise.

    :param straight_p50: The median time of a complete response from the engine itself.
    :param through_p50: The median time of a complete response through an entry host.
    :param added_first_token_p50: The difference of the medians of the time to the first
        token.
    :param requests_per_s_per_core: The requests per second and core of an entry host.
    """

    straight_p50: float
    straight_p99: float
    through_p50: float
    through_p99: float
    added_first_token_p50: float
    added_first_token_p99: float
    requests_per_s_per_core: float

    @property
    def total_ratio_p50(self) -> float:
        """Return the ratio of the median times of complete responses."""
        return self.through_p50 / self.straight_p50


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of the values, such as the median for the fraction 0.5."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def _to_engine(cluster: Cluster, call: load.Call) -> load.Call:
    """Return the same request, addressed to an engine with the model.

    This is the first engine listed with a copy of the model, resident or not.
    """
    holdings = cluster.status(cluster.hosts[0])["holdings"]
    model = call.body["model"]
    server = next(h["server"] for h in holdings if h["artifact"] == f"{model}@1")
    return replace(call, host=cluster.addresses[server])


def measure(cluster: Cluster) -> PathMeasurement:
    """Measure requests through a host and straight to the engine, alternately."""
    host = cluster.addresses[cluster.hosts[0]]
    through: list[load.Outcome] = []
    straight: list[load.Outcome] = []
    for round_number in range(ROUNDS):
        calls = [
            load.chat_call(host, "m-model-0", f"cost {round_number} {i}", TOKENS)
            for i in range(REQUESTS // ROUNDS)
        ]
        through += [load.perform(c) for c in calls]
        straight += [load.perform(_to_engine(cluster, c)) for c in calls]
    assert all(o.kind == "done" for o in through + straight)
    total = {
        "through": [o.total_s * 1000 for o in through],
        "straight": [o.total_s * 1000 for o in straight],
    }
    first_token = {
        "through": [o.first_token_s * 1000 for o in through],
        "straight": [o.first_token_s * 1000 for o in straight],
    }
    return PathMeasurement(
        straight_p50=percentile(total["straight"], 0.5),
        straight_p99=percentile(total["straight"], 0.99),
        through_p50=percentile(total["through"], 0.5),
        through_p99=percentile(total["through"], 0.99),
        added_first_token_p50=percentile(first_token["through"], 0.5)
        - percentile(first_token["straight"], 0.5),
        added_first_token_p99=percentile(first_token["through"], 0.99)
        - percentile(first_token["straight"], 0.99),
        requests_per_s_per_core=_requests_per_core(cluster, host),
    )


def _requests_per_core(cluster: Cluster, host: str) -> float:
    """Return the requests per second and core of CPU time of one host at saturation."""
    process = psutil.Process(cluster.processes[cluster.hosts[0]].popen.pid)
    models = [m["name"] for m in cluster.document["models"]]
    calls = load.CallGenerator([host], models, TOKENS, seed=1)
    stop = threading.Event()
    before = process.cpu_times()
    threading.Timer(SATURATION_S, stop.set).start()
    summary = load.run_until_stopped(calls, SATURATING_CALLERS, stop)
    after = process.cpu_times()
    cpu_s = (after.user + after.system) - (before.user + before.system)
    return summary.count("done") / cpu_s


def concurrent_streams(cluster: Cluster, count: int) -> load.Summary:
    """Send many streamed requests at the same time, spread over all hosts."""
    hosts = [cluster.addresses[h] for h in cluster.hosts]
    models = [m["name"] for m in cluster.document["models"]]
    calls = [
        load.chat_call(
            hosts[i % len(hosts)],
            models[i % len(models)],
            f"stream {i}",
            TOKENS,
            "batch",
        )
        for i in range(count)
    ]
    return load.run_all(calls, count)


def deployment() -> Deployment:
    """Return the measured deployment: 6 hosts and 5 engines."""
    document = deployments.tollcross()
    document["models"] = document["models"][:5]
    document["adapters"] = []
    for index, model in enumerate(document["models"]):
        model["name"] = f"m-model-{index}"
    document["weight_store"]["loads_per_s"] = 8.0
    hosts = {"leith": 2, "gorgie": 2, "partick": 1, "govan": 1}
    return Deployment(document, hosts, log_level="warning")


def main() -> int:
    """Print the measurements; return 0 if all are within their bounds, else 1."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.parse_args()
    with Cluster(deployment()) as cluster:
        cluster.submit(cluster.document, 0)
        cluster.wait_until_loaded()
        result = measure(cluster)
        started = time.monotonic()
        summary = concurrent_streams(cluster, CONCURRENT_STREAMS)
        duration_s = time.monotonic() - started
    print(json.dumps(vars(result), indent=1))
    print(f"ratio at the median {result.total_ratio_p50:.3f}, bound {MAX_TOTAL_RATIO}")
    print(f"{CONCURRENT_STREAMS} concurrent streams in {duration_s:.1f} s")
    print("\n".join(summary.lines()))
    is_complete = summary.count("done") == CONCURRENT_STREAMS
    is_total_in_bound = result.total_ratio_p50 <= MAX_TOTAL_RATIO
    is_first_token_in_bound = result.added_first_token_p50 <= MAX_ADDED_FIRST_TOKEN_MS
    return 0 if is_complete and is_total_in_bound and is_first_token_in_bound else 1


if __name__ == "__main__":
    sys.exit(main())
