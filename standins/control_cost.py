"""Measures the resource use of idle entry hosts at several cluster sizes.

CPU time and memory are those of whole processes, which do control work only.
"""

import argparse
import sys
import time

import psutil

from standins import deployments
from standins.capacity import fit
from standins.cluster import Cluster, Deployment

MEASUREMENT_S = 15.0
HOSTS_PER_ZONE = (1, 2, 3, 4)


def measure(hosts_per_zone: int) -> tuple[float, float, float]:
    """Return CPU use in percent, memory in MB and log appends per second.

    CPU use and memory are means per host; appends are those of all hosts together.
    """
    hosts = dict.fromkeys(["north", "south"], hosts_per_zone)
    with Cluster(Deployment(deployments.small(), hosts)) as cluster:
        cluster.submit(cluster.document, 0)
        cluster.wait_until_loaded(60)
        processes = [
            psutil.Process(cluster.processes[name].popen.pid) for name in cluster.hosts
        ]
        time.sleep(3.0)
        before = [sum(p.cpu_times()[:2]) for p in processes]
        appends = cluster.get("platform", "/stats")["appends"]
        time.sleep(MEASUREMENT_S)
        after = [sum(p.cpu_times()[:2]) for p in processes]
        appended = cluster.get("platform", "/stats")["appends"] - appends
        memory_mb = [p.memory_info().rss / 1e6 for p in processes]
    cpu_s = sum(after) - sum(before)
    cpu_percent = cpu_s / len(processes) / MEASUREMENT_S * 100
    return cpu_percent, sum(memory_mb) / len(memory_mb), appended / MEASUREMENT_S


def main() -> int:
    """Print the measurements and their linear fits."""
    argparse.ArgumentParser(description=__doc__.splitlines()[0]).parse_args()
    results = [measure(count) for count in HOSTS_PER_ZONE]
    print("hosts a zone   % of a core   MB resident   appends/s")
    for count, (cpu_percent, memory_mb, appends) in zip(
        HOSTS_PER_ZONE, results, strict=True
    ):
        print(
            f"{count:>12}   {cpu_percent:>11.2f}   {memory_mb:>11.1f}   {appends:>9.2f}"
        )
    for index, name in ((0, "% of a core"), (1, "MB")):
        line = fit(HOSTS_PER_ZONE, [result[index] for result in results])
        print(
            f"{name}: slope {line.slope:.3f} a host, start {line.intercept:.2f}, "
            f"residual {line.residual:.3f}, at 17: {line.value_at(17):.2f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
