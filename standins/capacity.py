"""Measures how state, messages, time and memory grow with the size of a deployment.

The figures are those of docs/CAPACITY.md.  Each quantity is measured at four or more
sizes with the product's own code, on a virtual clock where time matters, and is printed
with a linear fit and its largest residual.
"""

import argparse
import json
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from sequoiapoint.coordination.membership import Member, Membership
from sequoiapoint.coordination.routing import Candidate, choose
from sequoiapoint.coordination.servers import ServerTable
from sequoiapoint.coordination.zone_owner import ZoneOwner
from sequoiapoint.protocol.document import Document
from sequoiapoint.protocol.engine import Report, ReportedHolding
from sequoiapoint.protocol.peers import Gossip, decode_gossip, encode_gossip
from sequoiapoint.protocol.records import (
    DocumentSubmitted,
    Envelope,
    HoldingAbsent,
    HoldingResident,
    KeyClaimed,
    KeySettled,
    LoadReserved,
    OwnerClaimed,
    ServerSeen,
    UnloadStarted,
    decode_batch,
    encode_batch,
)
from sequoiapoint.state.control import ControlState
from sequoiapoint.state.keys import KeyState

UDP_HEADER_BYTES = 28
MICROSECONDS_PER_S = 1e6
GOSSIP_DURATION_S = 60
REPORT_INTERVAL_S = 0.5


@dataclass(frozen=True)
class Fit:
    """A line fitted to measurements.

    :param slope: The growth per unit of size.
    :param intercept: The value at size zero.
    :param residual: The largest distance of a measurement from the line.
    """

    slope: float
    intercept: float
    residual: float

    def value_at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line to measurements by least squares."""
    slope, intercept = statistics.linear_regression(sizes, values)
    line = [intercept + slope * size for size in sizes]
    residual = max(abs(a - b) for a, b in zip(line, values, strict=True))
    return Fit(slope, intercept, residual)


def measure_and_print(measurement: "ScalingMeasurement") -> None:
    """Measure a quantity at its sizes; print the fit and its value at the target."""
    values = [measurement.measure(size) for size in measurement.sizes]
    line = fit(measurement.sizes, values)
    points = "  ".join(
        f"{s}: {v:.4g}" for s, v in zip(measurement.sizes, values, strict=True)
    )
    print(f"{measurement.name} [{measurement.unit}]")
    print(f"  {points}")
    print(
        f"  slope {line.slope:.4g}  start {line.intercept:.4g}  residual "
        f"{line.residual:.3g}  at {measurement.target}: "
        f"{line.value_at(measurement.target):.4g}"
    )


def shortest_run_s(run: Callable[[], object], repeats: int = 5) -> float:
    """Return the duration of the shortest of some runs, in seconds."""
    times = []
    for _ in range(repeats):
        started = time.perf_counter()
        run()
        times.append(time.perf_counter() - started)
    return min(times)


def allocated_mb(build: Callable[[], object]) -> float:
    """Return the memory that a newly built object takes, in megabytes."""
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size / 1e6


# Documents and states of a given size


def document(servers: int, models: int, zones: int) -> dict:
    """Return a document with 4 accelerators per server and one adapter per model."""
    names = [f"zone-{i}" for i in range(zones)]
    return {
        "zones": names,
        "servers": [
            {
                "name": f"engine-{i}",
                "address": f"127.0.0.1:{1 + i % 60000}",
                "zone": names[i % zones],
                "accelerators": 4,
                "memory_mb": 320_000,
                "checks_fencing": i % 2 == 0,
            }
            for i in range(servers)
        ],
        "models": [
            {"name": f"model-{i}", "memory_mb": 20_000, "home_zone": names[i % zones]}
            for i in range(models)
        ],
        "adapters": [
            {"name": f"adapter-{i}", "model": f"model-{i}", "memory_mb": 400}
            for i in range(models)
        ],
        "promises": [{"name": "interactive", "deadline_ms": 10_000}],
        "weight_store": {"loads_per_s": 40, "concurrent": 100},
    }


class ControlStateBuilder:
    """Builds a control state by applying records one by one."""

    def __init__(self) -> None:
        self.state = ControlState()
        self._position = 256
        self._sequence = 0

    def apply(self, record: object) -> int:
        """Apply a record and return its position."""
        self._position += 256
        self._sequence += 1
        envelope = Envelope("host", "1", self._sequence, record)
        self.state.apply(self._position, envelope)
        return self._position


def control_state(
    servers: int, copies_per_server: int = 8, zones: int = 24
) -> ControlStateBuilder:
    """Return the builder of a state in which every server has resident copies."""
    models = max(1, servers // 3)
    builder = ControlStateBuilder()
    builder.apply(DocumentSubmitted(0, document(servers, models, zones), "op", "s"))
    claims = {
        f"zone-{z}": builder.apply(OwnerClaimed(f"zone-{z}", 0)) for z in range(zones)
    }
    for i in range(servers):
        zone = f"zone-{i % zones}"
        server = f"engine-{i}"
        builder.apply(ServerSeen(zone, claims[zone], server, "1"))
        for copy in range(copies_per_server):
            holding = f"{server}/{copy}"
            name = f"model-{(i * copies_per_server + copy) % models}@1"
            builder.apply(
                LoadReserved(
                    zone, claims[zone], server, "1", holding, name, 20_000, 320_000
                )
            )
            builder.apply(HoldingResident(zone, claims[zone], holding, 1))
    return builder


def member(zone: int, number: int) -> Member:
    """Return the membership record of one host of a zone."""
    name = f"zone-{zone}-{number}"
    return Member(name, 1_790_000_000_000_000_000, 1, f"zone-{zone}", name, name)


# Measurements


def gossip_bytes_per_s(zones: int, hosts: int, servers_per_zone: int) -> float:
    """Run gossip on a virtual clock; return the mean bytes sent per host and second.

    :param hosts: The number of hosts per zone.
    :param servers_per_zone: The number of servers whose loads a zone owner adds to its
        gossip messages.
    """
    members = [member(z, n) for z in range(zones) for n in range(hosts)]
    views = {m.host: Membership(m, [], 0.0) for m in members}
    for view in views.values():
        view.merge(members, 0.0)
    loads = tuple((f"engine-{i}", 40) for i in range(servers_per_zone))
    owner_of = {z: f"zone-{z}-0" for z in range(zones)}
    sent = 0
    for tick in range(GOSSIP_DURATION_S):
        now = float(tick)
        for host, view in views.items():
            is_owner = host in owner_of.values()
            cache: dict[tuple, int] = {}
            for address, members_sent in view.tick(now):
                if members_sent not in cache:
                    gossip = Gossip(members_sent, loads if is_owner else ())
                    cache[members_sent] = len(encode_gossip(gossip)) + UDP_HEADER_BYTES
                sent += cache[members_sent]
                views[address].merge(members_sent, now)
    return sent / GOSSIP_DURATION_S / len(members)


def detection_s(hosts: int) -> float:
    """Return how long the hosts of a zone take to detect a dead host, in seconds."""
    members = [member(0, n) for n in range(hosts)]
    views = {m.host: Membership(m, [], 0.0) for m in members}
    dead = members[-1].host
    tick = 0
    while True:
        now = tick * 0.1
        for host, view in views.items():
            if host == dead and now >= 20.0:
                continue
            for address, members_sent in view.tick(now):
                views[address].merge(members_sent, now)
            if now < 1.0:
                view.merge(members, now)
        others = [v for h, v in views.items() if h != dead]
        if now > 20.0 and all(
            dead not in {m.host for m in v.alive(now)} for v in others
        ):
            return now - 20.0
        tick += 1


def gossip_us(members: int) -> float:
    """Return the time to encode and decode a gossip message, in microseconds.

    :param members: The number of members in the message.
    """
    gossip = Gossip(tuple(member(0, n) for n in range(members)))
    rounds = 200

    def run() -> None:
        for _ in range(rounds):
            decode_gossip(encode_gossip(gossip))

    return shortest_run_s(run) / rounds * MICROSECONDS_PER_S


def route_us(candidates: int) -> float:
    """Return the time of one routing decision, in microseconds."""
    table = ServerTable()
    options = [
        Candidate(f"engine-{i}", f"zone-{i % 24}", "127.0.0.1:1")
        for i in range(candidates)
    ]
    rng = random.Random(1)
    rounds = 300

    def run() -> None:
        for i in range(rounds):
            choose(options, table, "zone-0", f"prefix {i}", 1.0, rng)

    return shortest_run_s(run) / rounds * MICROSECONDS_PER_S


def apply_us(servers: int) -> float:
    """Return the time to apply one record, in microseconds."""
    started = time.perf_counter()
    builder = control_state(servers)
    records = 1 + 24 + servers * 17
    del builder
    return (time.perf_counter() - started) / records * MICROSECONDS_PER_S


def owner_tick_ms(servers: int, has_free_server: bool = True) -> float:
    """Return the time of one decision of a zone owner, in milliseconds.

    The ledger contains the copies of the whole cluster, as on every host.

    :param servers: The number of servers of all 24 zones together.
    :param has_free_server: Whether the first missing copy fits on some server; if not,
        the owner tries all missing copies.
    """
    builder = control_state(servers)
    owner = builder.state.owner("zone-0")
    control = ZoneOwner("zone-0", owner, 1.0, 4, 0.0)
    if has_free_server:
        _note_reports(control, builder, servers)
    return shortest_run_s(lambda: control.tick(builder.state, 1.1)) * 1000


def _note_reports(
    control: ZoneOwner, builder: ControlStateBuilder, servers: int
) -> None:
    """Pass the zone owner a report of each server of its zone."""
    for i in range(0, servers, 24):
        name = f"engine-{i}"
        holdings = [
            ReportedHolding(
                holding=h.holding, artifact=h.artifact, mb=h.mb, state="resident"
            )
            for h in builder.state.ledger.on_server(name)
        ]
        report = Report(
            incarnation="1",
            sequence=2,
            running=1,
            queued=0,
            leaving=False,
            highest_fence=0,
            used_mb=160_000,
            holdings=holdings,
        )
        control.note_report(name, report, 1.0)


def document_ms(models: int) -> float:
    """Return the time to validate a document, in milliseconds."""
    raw = document(models * 3, models, 24)
    return shortest_run_s(lambda: Document.model_validate(raw), 3) * 1000


def claim_us(batch: int) -> float:
    """Return the time to encode, decode and apply one claim and its outcome.

    :param batch: The number of claims in a batch.
    :return: The time for each claim, in microseconds.
    """
    state = KeyState()
    envelopes = []
    for i in range(batch):
        claim = KeyClaimed(f"caller/service/{i}", "host", "1", 2, 1, "h" * 32, f"n{i}")
        settled = KeySettled(f"caller/service/{i}", f"n{i}", "done", 200, "", "x" * 80)
        envelopes += [
            Envelope("host", "1", 2 * i + 1, claim),
            Envelope("host", "1", 2 * i + 2, settled),
        ]

    def run() -> None:
        for envelope in decode_batch(encode_batch(envelopes).decode()):
            state.apply(1, envelope)

    return shortest_run_s(run, 3) / batch * MICROSECONDS_PER_S


def claim_bytes(batch: int) -> float:
    """Return the bytes that one claim and its outcome take in the log."""
    claim = KeyClaimed("caller/service/key", "host", "1", 2, 1, "h" * 32, "n" * 32)
    settled = KeySettled("caller/service/key", "n" * 32, "done", 200, "", "x" * 80)
    envelopes = [
        Envelope("host", "1", i + 1, record)
        for i, record in enumerate([claim, settled] * batch)
    ]
    return len(encode_batch(envelopes)) / batch


def move_bytes(batch: int) -> float:
    """Return the bytes that one move, a load and an unload, takes in the log."""
    zone, claim, holding = "zone-23", 10**9, "1000000000-1234"
    records = [
        LoadReserved(
            zone,
            claim,
            "engine-1299",
            "1" * 24,
            holding,
            "model-429@12",
            20_000,
            320_000,
        ),
        HoldingResident(zone, claim, holding, 10**15),
        UnloadStarted(zone, claim, holding),
        HoldingAbsent(zone, claim, holding, "unloaded"),
    ]
    envelopes = [
        Envelope("zone-23-16", "1" * 19, i + 1, record)
        for i, record in enumerate(records * batch)
    ]
    return len(encode_batch(envelopes)) / batch


def report_bytes_per_s(servers: int) -> float:
    """Return the bytes of reports that a zone owner reads per second."""
    holdings = [
        ReportedHolding(
            holding=f"1000000000-{i}", artifact=f"model-{i}@1", mb=1, state="resident"
        )
        for i in range(16)
    ]
    report = Report(
        incarnation="1" * 24,
        sequence=10**15,
        running=40,
        queued=0,
        leaving=False,
        highest_fence=10**9,
        used_mb=160_000,
        holdings=holdings,
    )
    return servers * len(report.model_dump_json()) / REPORT_INTERVAL_S


def json_size(value: object) -> int:
    """Return the size of a value as JSON without spaces, in bytes."""
    return len(json.dumps(value, separators=(",", ":")))


@dataclass(frozen=True)
class ScalingMeasurement:
    """A quantity that is measured at several sizes.

    :param measure: Returns the quantity at a size.
    :param target: The size at which the fitted line is evaluated.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]
    target: int


SERVERS = (100, 200, 400, 800, 1300)
MEASUREMENTS = (
    ScalingMeasurement(
        "membership: bytes sent by a host, by hosts a zone (4 zones)",
        "B/s",
        (4, 8, 12, 17),
        lambda n: gossip_bytes_per_s(4, n, 54),
        17,
    ),
    ScalingMeasurement(
        "membership: bytes sent by a host, by zones (6 hosts a zone)",
        "B/s",
        (4, 8, 16, 24),
        lambda z: gossip_bytes_per_s(z, 6, 54),
        24,
    ),
    ScalingMeasurement(
        "membership: detection of a dead host, by hosts a zone",
        "s",
        (3, 6, 12, 17),
        detection_s,
        17,
    ),
    ScalingMeasurement(
        "membership: encode and decode, by members", "us", (1, 4, 8, 17), gossip_us, 17
    ),
    ScalingMeasurement(
        "router: one decision, by candidates", "us", (2, 4, 8, 16, 32, 64), route_us, 24
    ),
    ScalingMeasurement(
        "configuration: validate a document, by models",
        "ms",
        (50, 100, 200, 430),
        document_ms,
        430,
    ),
    ScalingMeasurement(
        "configuration: document, by models",
        "B",
        (50, 100, 200, 430),
        lambda n: json_size(document(n * 3, n, 24)),
        430,
    ),
    ScalingMeasurement(
        "control stream: apply one record, by servers", "us", SERVERS, apply_us, 1300
    ),
    ScalingMeasurement(
        "control stream: state in memory, by servers",
        "MB",
        SERVERS,
        lambda n: allocated_mb(lambda: control_state(n)),
        1300,
    ),
    ScalingMeasurement(
        "control stream: snapshot, by servers",
        "B",
        SERVERS,
        lambda n: json_size(control_state(n).state.to_json()),
        1300,
    ),
    ScalingMeasurement(
        "control stream: log bytes of one move, by batch",
        "B",
        (1, 4, 16, 64),
        move_bytes,
        4,
    ),
    ScalingMeasurement(
        "zone owner: one decision, by servers of the fleet",
        "ms",
        SERVERS,
        owner_tick_ms,
        1300,
    ),
    ScalingMeasurement(
        "zone owner: one decision where nothing fits, by servers of the fleet",
        "ms",
        SERVERS,
        lambda n: owner_tick_ms(n, has_free_server=False),
        1300,
    ),
    ScalingMeasurement(
        "zone owner: bytes of reports, by servers of the zone",
        "B/s",
        (6, 12, 25, 54),
        report_bytes_per_s,
        54,
    ),
    ScalingMeasurement(
        "claims: one claim and outcome, by batch", "us", (16, 32, 64, 128), claim_us, 64
    ),
    ScalingMeasurement(
        "claims: log bytes of one claim and outcome, by batch",
        "B",
        (1, 4, 16, 64),
        claim_bytes,
        16,
    ),
    ScalingMeasurement(
        "claims: keys in memory, by keys",
        "MB",
        (1000, 2000, 4000, 8000),
        lambda n: allocated_mb(lambda: _keys(n)),
        19_000,
    ),
)


def main() -> int:
    """Print every measurement with its fit and value at the target."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--only",
        default="",
        help="measure only the quantities whose name contains this",
    )
    only = parser.parse_args().only
    for measurement in MEASUREMENTS:
        if only in measurement.name:
            measure_and_print(measurement)
    if only in "membership: whole":
        total = gossip_bytes_per_s(24, 17, 54)
        print(
            f"membership: bytes sent by a host, 24 zones of 17 hosts: {total:.0f} B/s"
        )
    return 0


def _keys(count: int) -> KeyState:
    state = KeyState()
    for i in range(count):
        key = f"caller/service/{i}"
        claim = KeyClaimed(key, "host", "1", 2, 1, f"{i:032}", f"n{i:031}")
        settled = KeySettled(key, f"n{i:031}", "done", 200, "json", f"{i:080}")
        state.apply(1, Envelope("host", "1", 2 * i + 1, claim))
        state.apply(1, Envelope("host", "1", 2 * i + 2, settled))
    return state


if __name__ == "__main__":
    sys.exit(main())
