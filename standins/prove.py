"""Checks the decision code in long seeded runs under faults, property by property.

A failed run is reproduced exactly by its printed seed.
"""

import argparse
import collections
import sys
import time

from standins.virtual.mutations import RARE_SEEDS, Mutation
from standins.virtual.run import DURATION_S, Result, Run

PROPERTIES = ("at most once", "told not run", "memory", "reachable", "configuration")
DEFAULT_RUNS = 200
DEFAULT_MUTATION_RUNS = 12


def _property_of(violation: str) -> str:
    return violation.partition(":")[0]


def summarise(results: list[Result]) -> list[str]:
    """Return the lines of a table of violations by property, and further counts.

    The column ``point`` names the property; its violations are counted over all runs,
    and ``steps`` are the heartbeats of all hosts in all runs.  The properties are:

    - ``at most once``: the service does not run a key more than once.
    - ``told not run``: a request attempt that was reported as refused has not run, and
      no attempt is reported with two different outcomes.
    - ``memory``: the engines' memory is not overcommitted, and the hosts agree on the
      ledger at the end.
    - ``reachable``: no engine is ordered to unload the last resident copy of a model in
      the document, and each model has a copy at the end.
    - ``configuration``: of the submissions on one version, at most one is accepted; an
      accepted version reaches each host that can read the log in time; no host goes
      back to an older version; all hosts have the same version at the end.

    The counts below the table are sums over all runs.  The last two lines are maxima
    over all runs: how long a model had no resident copy although its zone could have
    loaded one, and how long an accepted version took to reach all hosts that could read
    the log.
    """
    violations = collections.Counter(
        _property_of(v) for result in results for v in result.violations
    )
    counts: collections.Counter = collections.Counter()
    for result in results:
        counts.update(result.counts)
    steps = sum(result.steps for result in results)
    lines = [f"{'point':<16} {'runs':>6} {'steps':>9} {'violations':>11}"]
    for name in PROPERTIES:
        lines.append(f"{name:<16} {len(results):>6} {steps:>9} {violations[name]:>11}")
    lines.append("")
    lines += [f"{name:<30} {number:>9}" for name, number in sorted(counts.items())]
    longest_s = max((r.longest_unreachable_s for r in results), default=0.0)
    slowest_s = max((r.slowest_in_force_s for r in results), default=0.0)
    lines.append(f"longest time without a copy that could be made, s   {longest_s:.1f}")
    lines.append(f"slowest acceptance to in force, s                   {slowest_s:.1f}")
    return lines


def check_mutations(first_seed: int, runs: int) -> bool:
    """Check that each property is violated when the mechanism behind it is disabled.

    Each printed row names the mutation, and says in how many of its runs the property
    that the disabled mechanism guards was violated.

    :return: Whether every mutation caused violations.
    """
    are_all_detected = True
    for mutation in Mutation:
        if mutation is Mutation.NONE:
            continue
        detected = 0
        seeds = RARE_SEEDS.get(mutation, range(first_seed, first_seed + runs))
        for seed in seeds:
            result = Run(seed, mutation).result()
            detected += any(
                _property_of(v) == mutation.guarded_property for v in result.violations
            )
        print(
            f"without it: {mutation.label:<28} {detected} of {len(seeds)} runs violate"
        )
        are_all_detected = are_all_detected and detected > 0
    return are_all_detected


def main() -> int:
    """Print up to five violations of each run, then the table and the time taken.

    :return: 1 if a property was violated or a mutation was not detected, else 0.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=DEFAULT_RUNS)
    parser.add_argument("--duration-s", type=float, default=DURATION_S)
    parser.add_argument("--mutations", action="store_true")
    parser.add_argument("--mutation-runs", type=int, default=DEFAULT_MUTATION_RUNS)
    arguments = parser.parse_args()
    started = time.monotonic()
    results = []
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        result = Run(seed, duration_s=arguments.duration_s).result()
        results.append(result)
        for violation in result.violations[:5]:
            print(f"seed {seed}: {violation}")
    print("\n".join(summarise(results)))
    print(f"took {time.monotonic() - started:.1f} s")
    is_passed = not any(result.violations for result in results)
    if arguments.mutations:
        is_passed = (
            check_mutations(arguments.seed, arguments.mutation_runs) and is_passed
        )
    return 0 if is_passed else 1


if __name__ == "__main__":
    sys.exit(main())
