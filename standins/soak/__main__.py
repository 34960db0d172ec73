"""``python -m standins.soak``: run seeds and print a table of their results."""

import argparse
import concurrent.futures
import sys
import tempfile
from pathlib import Path

from standins.soak.run import Outcome, run_seed


def main() -> int:
    """Run the seeds that the arguments select."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--runs", type=int, default=50, help="how many seeds")
    parser.add_argument("--jobs", type=int, default=3, help="runs at once")
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.runs)
    print(f"{'seed':>8} {'faults':>6} {'200':>6} {'503':>5} {'other':>5} broken")
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs) as pool:
        for outcome in pool.map(run_seed, seeds):
            failed += bool(outcome.violations)
            _print(outcome)
    print(f"{len(seeds)} runs, {failed} with something broken")
    return 1 if failed else 0


def _print(outcome: Outcome) -> None:
    statuses = outcome.statuses
    other = statuses.total() - statuses[200] - statuses[503]
    print(
        f"{outcome.seed:8} {len(outcome.faults):6} {statuses[200]:6}"
        f" {statuses[503]:5} {other:5} {len(outcome.violations) or 'none'}",
        flush=True,
    )
    if not outcome.violations:
        return
    for fault in outcome.faults:
        print(f"    fault: {fault}")
    for violation in outcome.violations:
        print(f"    broken: {violation}")
    path = Path(tempfile.gettempdir()) / f"soak-{outcome.seed}.log"
    path.write_text(outcome.logs)
    print(f"    logs: {path}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
