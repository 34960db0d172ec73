"""Shows that ``serve`` keeps the bodies of requests that it has answered.

One caller sends 160 requests of 1 MB, the largest allowed, one after another over one
connection.  Exits with 1 if the process then exceeds the memory of its machine, 0 if it
does not, and 2 if this could not be tried.  Run it as ``python -m``, with the
dependencies of the tests.
"""

import http.client
import os
import sys
from collections import Counter
from pathlib import Path

from sequoiapoint.protocol.addresses import split_address
from standins import deployments
from standins.cluster import Cluster, Deployment
from standins.crowd import peak_memory_mb

MACHINE_MEMORY_MB = 120
BODY_BYTES = 1_000_000
LIMITS = {"memory_mb": MACHINE_MEMORY_MB, "max_body_bytes": BODY_BYTES}
REQUESTS = 160
SMALL_BODY_BYTES = 1_000
CHAT = "/v1/chat/completions"
TIMEOUT_S = 20.0


def resident_mb(process: int) -> float:
    """Return the memory that a process has resident, in MB."""
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def run(body_bytes: int) -> int:
    """Send the requests, and return the exit status."""
    deployment = Deployment(deployments.small(), {"north": 1, "south": 1}, LIMITS)
    with Cluster(deployment) as cluster:
        if cluster.submit(cluster.document, 0, "south-0")["result"] != "accepted":
            return 2
        cluster.wait_until_loaded(60)
        process = cluster.processes["north-0"].popen
        address = split_address(cluster.addresses["north-0"])
        connection = http.client.HTTPConnection(*address, timeout=TIMEOUT_S)
        print(f"before: {resident_mb(process.pid):.0f} MB")
        statuses: Counter[int] = Counter()
        for _ in range(REQUESTS):
            connection.request("POST", CHAT, b"b" * body_bytes)
            response = connection.getresponse()
            response.read()
            statuses[response.status] += 1
        connection.close()
        peak = peak_memory_mb(process.pid)
        print(f"after: {resident_mb(process.pid):.0f} MB, at most {peak:.0f} MB")
        print(f"{body_bytes} bytes each, answered: {dict(statuses)}")
        return int(peak >= MACHINE_MEMORY_MB)


if __name__ == "__main__":
    sys.exit(run(SMALL_BODY_BYTES if os.environ.get("TROUBLE") == "0" else BODY_BYTES))
