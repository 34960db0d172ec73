"""What counts as evidence for the age of the configuration."""

import math

import pytest

from sequoiapoint.coordination.configuration_age import (
    ERA_SETTLING_S,
    STORE,
    ConfigurationAge,
)

OLD, NEW = 4, 5
"""Versions of the configuration: the new one has withdrawn a key."""


@pytest.fixture
def age():
    return ConfigurationAge()


def test_nothing_is_known_without_evidence(age):
    assert age.age_s(100.0) == math.inf


def test_a_read_counts_from_its_begin_and_never_backwards(age):
    """A slow read that ends after a later one must not make the age greater."""
    assert age.note_read(10.0)
    assert not age.note_read(9.0)
    assert (age.age_s(12.0), age.source) == (2.0, STORE)


@pytest.mark.parametrize(
    ("known", "age_s"), [(NEW, 2.0), (NEW + 1, 2.0), (OLD, math.inf)]
)
def test_a_reply_counts_only_for_a_host_with_its_version(age, known, age_s):
    """Guards against a withdrawn key at a host with an older copy of the store.

    The position in the topic does not show it: the older copy may be at a later one.
    """
    age.note_reply(NEW, 10.0, "peer", known)
    assert age.age_s(12.0) == age_s


def test_a_reply_is_kept_until_its_version_is_in_force(age):
    age.note_reply(NEW, 10.0, "peer", OLD)
    age.note_reply(NEW + 1, 11.0, "ahead", OLD)
    age.note_version(OLD)
    assert age.age_s(12.0) == math.inf
    age.note_version(NEW)
    assert (age.age_s(12.0), age.source) == (2.0, "peer")


@pytest.mark.parametrize(
    ("era", "read_after_s", "counts"),
    [
        (0, 0.0, True),
        (1, 0.0, False),
        (2, ERA_SETTLING_S - 0.01, False),
        (2, ERA_SETTLING_S, True),
    ],
)
def test_reads_in_a_new_era_count_after_the_operators_have_written_again(
    age, era, read_after_s, counts
):
    """Guards against a key that a store which came back older still contains."""
    age.note_era(era, 10.0)
    assert age.note_read(10.0 + read_after_s) is counts


def test_the_evidence_of_an_earlier_era_stays(age):
    """The version in force does not go back with the store."""
    age.note_read(10.0)
    age.note_era(2, 11.0)
    age.note_read(11.5)
    assert age.age_s(12.0) == 2.0
    assert age.note_reply(NEW, 11.0, "peer", NEW)
