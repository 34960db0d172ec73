"""Measures the CPU time of placement and routing decisions at several sizes.

Each case resembles a deployment: every engine has memory for three models, a few models
get most of the requests and many get few, and the decisions are those of one host among
many that decide.
"""

import random
import time
from collections.abc import Callable

from sequoiapoint.coordination import adapter_placement, model_placement, server_choice
from sequoiapoint.coordination.model_placement import DemandStats
from sequoiapoint.protocol.gateway import (
    EngineSpec,
    ModelSpec,
    ServerEntry,
    ServerState,
)
from sequoiapoint.state.engine_ledger import EngineRecord

CASES = ((5, 13), (30, 84), (56, 206), (1_300, 430))
"""Numbers of engines and models: a small deployment, two larger ones and the target
size."""
MODELS_PER_ENGINE = 3
ADAPTERS = ("a1", "a2", "a3")
REQUEST_SLOTS = 12
MODEL_MB = 70_000.0
MIN_DURATION_S = 0.5
"""The minimum CPU time for which each decision is repeated, in seconds."""


def deployment(
    engines: int, models: int
) -> tuple[list[EngineRecord], EngineSpec, dict[str, DemandStats]]:
    """Return engines, their specification and the demand by model.

    The result is the same in each run, as the random seed is fixed.
    """
    rng = random.Random(engines)
    names = [f"m{number}" for number in range(models)]
    specs = {
        name: ModelSpec(name, MODEL_MB, 6.0, 0.6, 0.8, ADAPTERS, 100.0)
        for name in names
    }
    spec = EngineSpec(
        REQUEST_SLOTS, MODELS_PER_ENGINE * MODEL_MB + 1_000.0, 5, 16.0, specs
    )
    records = []
    for number in range(engines):
        entry = ServerEntry(
            f"s{number}", "lm", "10.0.0.1:1", "z", ServerState.READY, 1, REQUEST_SLOTS
        )
        record = EngineRecord(entry, order_count=0)
        for index in range(MODELS_PER_ENGINE):
            name = names[(number * MODELS_PER_ENGINE + index) % models]
            if rng.random() < 0.3:
                name = names[int(rng.random() ** 3 * models)]
            record.held[name] = set()
        records.append(record)
    demand = {
        name: DemandStats(
            running=80.0 / (rank + 1),
            waiting=int(rng.random() < 0.2),
            idle_s=10.0 * rng.random(),
            requested_adapter_count=1,
            goal_s=rng.choice((0.3, 5.0)),
            is_least_urgent=rng.random() < 0.5,
        )
        for rank, name in enumerate(names)
    }
    return records, spec, demand


def mean_cpu_ms(run: Callable[[], object]) -> float:
    """Return the mean CPU time of a call, in milliseconds."""
    started, calls = time.process_time(), 0
    while time.process_time() - started < MIN_DURATION_S:
        run()
        calls += 1
    return (time.process_time() - started) / calls * 1000.0


def main() -> None:
    """Print a table of the CPU times, in milliseconds."""
    print(f"{'engines':>8} {'models':>7} {'choice':>8} {'adapters':>9} {'models':>8}")
    for engines, models in CASES:
        print(_row(engines, models))


def _row(engines: int, models: int) -> str:
    """Return the CPU times for one case, as a row of the table."""
    records, spec, demand = deployment(engines, models)
    candidates = [
        server_choice.Candidate(r.entry, 1.0, 0.0, False) for r in records[:8]
    ]
    adapter_demand = adapter_placement.AdapterDemand(1)
    waiting = {(f"m{number}", "a1"): adapter_demand for number in range(10)}
    loads = {r.entry.server: 1.0 for r in records}
    choice = mean_cpu_ms(lambda: server_choice.choose(candidates, "z", random.random))
    adapters = mean_cpu_ms(
        lambda: adapter_placement.plan_adapters(records, spec, waiting, set(), loads)
    )
    plan = mean_cpu_ms(lambda: model_placement.plan_models(records, spec, demand, 20))
    return f"{engines:8} {models:7} {choice:8.3f} {adapters:9.2f} {plan:8.2f}"


if __name__ == "__main__":
    main()
