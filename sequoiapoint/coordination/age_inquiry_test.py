"""Whom a host asks for the age of the configuration, and when it reads the store."""

import random
from dataclasses import replace

import pytest

from sequoiapoint.coordination.age_inquiry import (
    PROBES_PER_S,
    SWEEP_SHARE,
    SWEEP_SPREAD_SHARE,
    WIDE_SHARE,
    AgeInquirer,
    Inquiry,
    View,
)

BOUND_S = 5.0
HOST = View(1.8, BOUND_S, position=9, hosts=10)
RELAY = replace(HOST, is_relay=True)
AGGREGATOR = replace(RELAY, is_aggregator=True, is_reader=True)
STEP_S = 0.1


def inquirer():
    return AgeInquirer(random.Random(1).random)


@pytest.mark.parametrize(
    ("view", "age_s", "expected"),
    [
        (HOST, 1.6, Inquiry()),
        (HOST, 1.9, Inquiry(asks_aggregator=True)),
        (AGGREGATOR, 1.9, Inquiry()),
        (HOST, 2.2, Inquiry(True, True, True)),
        (AGGREGATOR, 2.2, Inquiry(False, True, True)),
    ],
)
def test_whom_a_host_asks(view, age_s, expected):
    assert inquirer().decide(replace(view, age_s=age_s), 100.0) == expected


def test_a_host_whose_aggregator_is_silent_asks_others_before_it_is_late():
    """Guards against hosts that wait for an aggregator that was killed."""
    host = inquirer()
    asked = [host.decide(HOST, 100.0 + 0.3 * step) for step in range(3)]
    assert asked[1] == Inquiry(True, True)
    assert asked[2] == Inquiry(True, True, True)
    host.note_reply(is_newer=True)
    assert host.decide(HOST, 101.0) == Inquiry(asks_aggregator=True)


def reads(views, seconds, begun_at=100.0):
    """Return when each host reads a store that is silent, from an age on."""
    hosts, found = [inquirer() for _ in views], []
    for number, host in enumerate(hosts):
        host._random = random.Random(number).random
    for step in range(round(seconds / STEP_S)):
        now = begun_at + step * STEP_S
        age_s = WIDE_SHARE * BOUND_S + 0.01 + step * STEP_S
        for number, (host, view) in enumerate(zip(hosts, views, strict=True)):
            if host.decide(replace(view, age_s=age_s), now).reads_store:
                host.note_read(is_newer=False, is_reader=view.is_reader)
                found.append((now - begun_at, number))
    return found


@pytest.mark.parametrize("hosts", [2, 16, 39])
def test_each_host_of_a_zone_tries_the_store_in_time_and_then_few_do(hosts):
    """Guards against a zone whose only served host is not found, or that all call."""
    views = [replace(HOST, position=n, hosts=hosts) for n in range(hosts)]
    found = reads(views, 20.0)
    swept_s = (SWEEP_SHARE + SWEEP_SPREAD_SHARE) * BOUND_S
    assert {number for at, number in found if at <= swept_s + STEP_S} == {*range(hosts)}
    later = [at for at, _ in found if at > swept_s + 1.0]
    assert len(later) <= 1.3 * max(hosts, PROBES_PER_S * (20.0 - swept_s))


def test_relays_turn_to_the_store_first():
    found = reads([RELAY, HOST], 2.0)
    assert found[0][1] == 0


def test_nobody_reads_a_store_whose_reads_are_no_evidence():
    """Guards against reads that bring nothing after the store has come back older."""
    assert not reads([replace(RELAY, do_reads_count=False)], 2.0)


def test_a_relay_reads_as_soon_as_reads_count_again():
    """Guards against a rejection of requests after the store has come back older.

    The configuration is as old as the bound soon after reads count again.
    """
    relay = inquirer()
    settling = replace(RELAY, age_s=4.5, do_reads_count=False)
    for step in range(20):
        assert not relay.decide(settling, 100.0 + step * STEP_S).reads_store
    assert relay.decide(replace(settling, do_reads_count=True), 102.0).reads_store


def test_a_served_host_reads_on_until_another_one_has_newer_evidence():
    """Guards against an age that swings up to the bound where the reader is cut off."""
    host = inquirer()
    host.note_read(is_newer=True, is_reader=False)
    assert host.decide(replace(HOST, age_s=1.3), 100.0).reads_store
    host.note_reply(is_newer=True)
    assert not host.decide(replace(HOST, age_s=1.3), 102.0).reads_store
