"""What an idle entry host spends on control, as a whole process, at some sizes."""

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
    """Return processor share in percent, memory in MB, and appends a second."""
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
        memory = [p.memory_info().rss / 1e6 for p in processes]
    spent = sum(after) - sum(before)
    share = spent / len(processes) / MEASUREMENT_S * 100
    return share, sum(memory) / len(memory), appended / MEASUREMENT_S


def main() -> int:
    """Print the costs and their fits."""
    argparse.ArgumentParser(description=__doc__.splitlines()[0]).parse_args()
    rows = [measure(count) for count in HOSTS_PER_ZONE]
    print("hosts a zone   % of a core   MB resident   appends/s")
    for count, (share, memory, appends) in zip(HOSTS_PER_ZONE, rows, strict=True):
        print(f"{count:>12}   {share:>11.2f}   {memory:>11.1f}   {appends:>9.2f}")
    for index, name in ((0, "% of a core"), (1, "MB")):
        line = fit(HOSTS_PER_ZONE, [row[index] for row in rows])
        print(
            f"{name}: slope {line.slope:.3f} a host, start {line.intercept:.2f}, "
            f"residual {line.residual:.3f}, at 17: {line.value_at(17):.2f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
