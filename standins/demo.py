"""Demo: runs the Tollcross deployment, sends requests and prints a summary."""

import argparse
import random
import sys
import time

from standins import deployments, load
from standins.cluster import Cluster, Deployment

HOSTS_PER_ZONE = 2
CHAT_REQUESTS = 600
CONCURRENCY = 120
IDEMPOTENT_RUNS = 60
TOKENS = 24


def main() -> int:
    """Run the demo."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--requests", type=int, default=CHAT_REQUESTS)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    document = deployments.tollcross()
    hosts = dict.fromkeys(document["zones"], HOSTS_PER_ZONE)
    started = time.monotonic()
    with Cluster(Deployment(document, hosts)) as cluster:
        count = len(cluster.processes)
        print(f"started {count} processes in {time.monotonic() - started:.1f} s")
        response = cluster.submit(cluster.document, 0)
        print(f"document {response['result']} as version {response['version']}")
        started = time.monotonic()
        cluster.wait_until_loaded()
        print(f"all models and adapters resident after {_elapsed_since(started)}")
        _send_requests(cluster, arguments.requests, random.Random(arguments.seed))
        _print_runs(cluster)
    print("all processes have stopped")
    return 0


def _elapsed_since(started: float) -> str:
    return f"{time.monotonic() - started:.1f} s"


def _send_requests(cluster: Cluster, count: int, rng: random.Random) -> None:
    """Send requests to models, then key releases, each of them twice."""
    addresses = [cluster.addresses[host] for host in cluster.hosts]
    artifacts = [*cluster.document["models"], *cluster.document["adapters"]]
    calls = [
        load.chat_call(
            rng.choice(addresses),
            rng.choice(artifacts)["name"],
            f"resident {number}",
            TOKENS,
        )
        for number in range(count)
    ]
    started = time.monotonic()
    summary = load.run_all(calls, CONCURRENCY)
    print(f"\nrequests to models and adapters, in {_elapsed_since(started)}")
    print("\n".join(summary.lines()))
    keys = [f"fob-{number}" for number in range(IDEMPOTENT_RUNS)] * 2
    rng.shuffle(keys)
    calls = [
        load.service_call(rng.choice(addresses), "key-release", key, key)
        for key in keys
    ]
    print("\nkey releases, each sent twice")
    print("\n".join(load.run_all(calls, CONCURRENCY // 4).lines()))


def _print_runs(cluster: Cluster) -> None:
    """Print how often the services ran each idempotency key."""
    runs: dict[str, int] = {}
    for server in cluster.document["servers"]:
        if server.get("kind") == "service":
            counts = cluster.get(server["name"], "/runs")["runs"]
            for key, number in counts.items():
                runs[key] = runs.get(key, 0) + number
    max_runs = max(runs.values(), default=0)
    print(f"keys that ran: {len(runs)}, the most runs of one key: {max_runs}\n")


if __name__ == "__main__":
    sys.exit(main())
