"""A fixed, short selection of the seeded runs, and the mutations that they detect."""

import pytest

from standins.virtual.mutations import RARE_SEEDS, Mutation
from standins.virtual.run import Run

SHORT_SEEDS = range(1, 7)
REGRESSION_SEEDS = {
    130: "an order reached a later process of its server",
    44: "a host that became owner of its zone twice sent an order twice",
    122: "the memory of a lost order stayed reserved although a model needed it",
    194: "a copy was unloaded along with its duplicate",
}
MUTATION_SEEDS = range(1, 9)


@pytest.mark.parametrize("seed", [*SHORT_SEEDS, *REGRESSION_SEEDS])
def test_seeded_run_violates_no_property(seed):
    assert Run(seed).result().violations == []


@pytest.mark.parametrize(
    "mutation", [m for m in Mutation if m is not Mutation.NONE], ids=lambda m: m.label
)
def test_disabling_a_mechanism_violates_the_property_it_guards(mutation):
    for seed in RARE_SEEDS.get(mutation, MUTATION_SEEDS):
        violations = Run(seed, mutation).result().violations
        if any(v.startswith(mutation.guarded_property) for v in violations):
            return
    pytest.fail(f"no run violated {mutation.guarded_property!r}")


def test_repeating_a_seed_gives_the_same_result():
    first, second = (Run(3, duration_s=60.0).result() for _ in range(2))
    assert first == second
