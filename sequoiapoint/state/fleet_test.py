import random
from dataclasses import replace

import pytest

from sequoiapoint.protocol.gateway import HeldModel, ServerEntry, ServerState
from sequoiapoint.state.fleet import (
    MAX_FORMER,
    NOT_HELD_TTL_S,
    WITHDRAWN_TTL_S,
    Fleet,
)

ENTRY = ServerEntry(
    "s-1",
    "lm",
    "10.0.0.1:80",
    "north",
    ServerState.READY,
    100,
    8,
    (HeldModel("oak", frozenset({"a1"})),),
)


def fleet_of(*entries):
    fleet = Fleet()
    for entry in entries:
        fleet.put(entry)
    return fleet


def test_an_entry_of_an_earlier_process_is_ignored():
    fleet = fleet_of(ENTRY)
    assert not fleet.put(replace(ENTRY, started_ms=99, state=ServerState.DRAINING))
    assert fleet.ready_servers("lm") == [ENTRY]


def test_a_server_that_changes_its_service_leaves_the_former_one():
    # Guards against an index by service that keeps an outdated entry.
    fleet = fleet_of(ENTRY, replace(ENTRY, server="s-2"))
    moved = replace(ENTRY, service="other", version="v2", report_count=2)
    assert fleet.put(moved)
    assert [e.server for e in fleet.ready_servers("lm")] == ["s-2"]
    assert fleet.ready_servers("other") == [moved]
    fleet.remove("s-1")
    assert fleet.ready_servers("other") == []


def test_a_restarted_server_does_not_keep_the_models_of_its_earlier_process():
    fleet = fleet_of(ENTRY)
    fleet.set_held(ENTRY.incarnation, {"oak": {"a1", "a2"}})
    restarted = replace(ENTRY, started_ms=200, models=())
    assert fleet.put(restarted)
    assert not fleet.holds(restarted, "oak", "", 0.0)


def test_a_late_report_about_an_earlier_process_is_ignored():
    restarted = replace(ENTRY, started_ms=200, models=())
    fleet = fleet_of(ENTRY, restarted)
    assert not fleet.set_held(ENTRY.incarnation, {"oak": set()})
    assert not fleet.holds(restarted, "oak", "", 0.0)


@pytest.mark.parametrize(
    ("state", "ready"), [(ServerState.READY, True), (ServerState.DRAINING, False)]
)
def test_a_draining_process_accepts_no_new_requests(state, ready):
    fleet = fleet_of(replace(ENTRY, state=state))
    assert bool(fleet.ready_servers("lm")) is ready


def test_a_new_process_is_ready_although_the_earlier_one_was_draining():
    fleet = fleet_of(replace(ENTRY, state=ServerState.DRAINING))
    fleet.put(replace(ENTRY, started_ms=200))
    assert fleet.ready_servers("lm")


@pytest.mark.parametrize(
    ("model", "adapter", "held"),
    [("oak", "", True), ("oak", "a1", True), ("oak", "a2", False), ("elm", "", False)],
)
def test_an_engine_holds_the_models_and_adapters_of_its_entry(model, adapter, held):
    assert fleet_of(ENTRY).holds(ENTRY, model, adapter, 0.0) is held


def test_a_servers_own_response_takes_precedence_for_a_limited_time():
    fleet = fleet_of(ENTRY)
    fleet.note_not_held(ENTRY, "oak", "a1", 10.0)
    assert not fleet.holds(ENTRY, "oak", "a1", 10.0)
    assert fleet.holds(ENTRY, "oak", "", 10.0)
    assert fleet.holds(ENTRY, "oak", "a1", 10.1 + NOT_HELD_TTL_S)


def test_a_missing_entry_is_used_until_it_is_removed():
    fleet = fleet_of(ENTRY)
    fleet.mark_missing("s-1", 10.0)
    assert fleet.ready_servers("lm")
    assert fleet.remove_missing(9.0) == []
    assert fleet.remove_missing(10.5) == ["s-1"]
    assert not fleet.ready_servers("lm")


def test_an_entry_that_reappeared_is_not_removed():
    fleet = fleet_of(ENTRY)
    fleet.mark_missing("s-1", 10.0)
    fleet.put(ENTRY)
    assert fleet.remove_missing(99.0) == []


def test_an_entry_without_a_list_of_models_keeps_the_known_models():
    fleet = fleet_of(ENTRY, replace(ENTRY, models=None))
    assert fleet.holds(ENTRY, "oak", "a1", 0.0)


def test_an_entry_that_lags_behind_does_not_remove_newer_adapters():
    fleet = fleet_of(ENTRY)
    fleet.set_held(ENTRY.incarnation, {"oak": {"a1", "a2"}})
    fleet.put(replace(ENTRY, zone="south"))
    assert fleet.holds(ENTRY, "oak", "a2", 0.0)


def test_a_leaving_process_is_remembered_until_a_new_one_replaces_it():
    fleet = fleet_of(ENTRY)
    assert fleet.is_staying(ENTRY)
    assert fleet.note_leaving(ENTRY.incarnation, 10.0)
    assert not fleet.note_leaving(ENTRY.incarnation, 11.0)
    assert fleet.leaving_s(ENTRY, 11.5) == 1.5
    assert not fleet.is_staying(ENTRY)
    fleet.remove(ENTRY.server)
    fleet.put(ENTRY)
    assert not fleet.is_staying(ENTRY)
    restarted = replace(ENTRY, started_ms=200)
    fleet.put(restarted)
    assert fleet.is_staying(restarted)
    assert fleet.leaving_s(restarted, 12.0) is None


@pytest.mark.parametrize(
    ("after_s", "is_held"),
    [(0.5, False), (WITHDRAWN_TTL_S - 0.1, False), (WITHDRAWN_TTL_S + 0.1, True)],
)
def test_an_entry_does_not_bring_back_a_model_that_is_being_evicted(after_s, is_held):
    # An engine lists a model until its last request has ended, and turns new ones away:
    # hosts sent 70 requests in two seconds to one engine that evicted a model.
    fleet = fleet_of(ENTRY)
    fleet.set_held(ENTRY.incarnation, {}, 10.0)
    fleet.put(replace(ENTRY, report_count=2), 10.0 + after_s)
    assert fleet.holds(ENTRY, "oak", "", 10.0 + after_s) is is_held
    assert ("oak" in fleet.held_by(ENTRY)) is is_held


def test_the_leader_brings_back_a_model_whose_eviction_it_gave_up():
    fleet = fleet_of(ENTRY)
    fleet.set_held(ENTRY.incarnation, {}, 10.0)
    fleet.set_held(ENTRY.incarnation, {"oak": {"a1"}}, 10.5)
    fleet.put(replace(ENTRY, report_count=2), 10.6)
    assert fleet.holds(ENTRY, "oak", "a1", 10.6)


def test_a_server_that_repeatedly_lacks_a_model_is_tried_less_often():
    # An eviction that is carried out late is known to no other source for seconds.
    fleet = fleet_of(ENTRY)
    tried, now = 0, 10.0
    while now < 14.0:
        if fleet.holds(ENTRY, "oak", "", now):
            tried += 1
            fleet.note_not_held(ENTRY, "oak", "", now)
            fleet.set_held(ENTRY.incarnation, {"oak": {"a1"}}, now)
        now += 0.01
    assert tried <= 4
    fleet.note_served(ENTRY, "oak", "")
    assert fleet.holds(ENTRY, "oak", "", now)
    fleet.note_not_held(ENTRY, "oak", "", now)
    assert fleet.holds(ENTRY, "oak", "", now + 1.1 * NOT_HELD_TTL_S)


def _play_changes(fleet, rng, now):
    """Apply one random change of a server, as the store, leader or server tells it."""
    entry = replace(
        ENTRY,
        server=f"s-{rng.randrange(4)}",
        service=rng.choice(["lm", "lm", "other"]),
        started_ms=rng.choice([100, 100, 200]),
        state=rng.choice([ServerState.READY, ServerState.READY, ServerState.DRAINING]),
        models=rng.choice([None, (), ENTRY.models, (HeldModel("elm", frozenset()),)]),
    )
    known = fleet.entries.get(entry.server, entry)
    held = rng.choice([{}, {"oak": {"a1"}}, {"oak": set(), "elm": {"a2"}}])
    rng.choice(
        [
            lambda: fleet.put(entry, now),
            lambda: fleet.set_held(known.incarnation, held, now),
            lambda: fleet.remove(entry.server),
            lambda: fleet.note_not_held(known, "oak", "a1", now),
            lambda: fleet.note_served(known, "oak", "a1"),
        ]
    )()


@pytest.mark.parametrize("seed", range(5))
def test_the_index_of_holders_agrees_with_a_query_to_every_engine(seed):
    """Guards against requests that are sent to, or not sent to, an outdated engine.

    Each change of a result is announced, as waiting requests are woken by nothing else.
    """
    rng, fleet, announced = random.Random(seed), Fleet(), []
    fleet.on_change = lambda service, models: announced.append((service, models))
    queries = [
        (service, model, adapter)
        for service in ("lm", "other")
        for model, adapter in (("oak", ""), ("oak", "a1"), ("elm", ""), ("elm", "a2"))
    ]
    for step in range(400):
        now = 0.05 * step
        before = {q: fleet.ready_holders(*q, now) for q in queries}
        announced.clear()
        _play_changes(fleet, rng, now)
        for query in queries:
            service, model, adapter = query
            ready = {
                e.server: e
                for e in fleet.entries.values()
                if e.service == service and e.state is ServerState.READY
            }
            assert {e.server: e for e in fleet.ready_servers(service)} == ready
            found = fleet.ready_holders(*query, now)
            assert {e.server: e for e in found} == {
                server: e
                for server, e in ready.items()
                if fleet.holds(e, model, adapter, now)
            }
            if {e.incarnation for e in found} != {e.incarnation for e in before[query]}:
                assert any(
                    name == service and (models is None or model in models)
                    for name, models in announced
                )


def test_the_end_of_a_servers_report_that_it_lacks_a_model_is_known():
    fleet = fleet_of(ENTRY)
    assert fleet.held_again_at("lm", "oak", "a1", 10.0) == float("inf")
    fleet.note_not_held(ENTRY, "oak", "a1", 10.0)
    ends_at = fleet.held_again_at("lm", "oak", "a1", 10.0)
    assert not fleet.ready_holders("lm", "oak", "a1", ends_at - 0.01)
    assert fleet.ready_holders("lm", "oak", "a1", ends_at) == [ENTRY]


def test_an_entry_that_changes_nothing_is_not_announced():
    """Engines write entries all the time; each would wake all waiting requests."""
    fleet, announced = fleet_of(ENTRY), []
    fleet.on_change = lambda *change: announced.append(change)
    fleet.put(replace(ENTRY, report_count=2))
    fleet.set_held(ENTRY.incarnation, {"oak": {"a1"}})
    assert announced == []
    fleet.set_held(ENTRY.incarnation, {"oak": {"a1"}, "elm": set()})
    assert announced == [("lm", {"elm"})]


@pytest.mark.parametrize(
    ("complete_until", "started_ms", "is_doubted"),
    [(4.9, 1, True), (5.0, 1, False), (5.0, 2, True)],
)
def test_a_process_that_writes_an_entry_has_not_restarted(
    complete_until, started_ms, is_doubted
):
    """An entry may have been under way as the process ended."""
    entry = replace(ENTRY, started_ms=1)
    fleet = fleet_of(entry)
    fleet.confirm(4.0)
    fleet.note_ended(entry.incarnation, 5.0)
    assert not fleet.may_have_restarted(entry.incarnation, 4.9)
    assert fleet.may_have_restarted(entry.incarnation, 5.1)
    fleet.confirm(complete_until)
    fleet.put(replace(entry, started_ms=started_ms))
    assert fleet.may_have_restarted(entry.incarnation, 5.1) is is_doubted


def test_the_processes_that_may_have_restarted_are_limited():
    fleet = Fleet()
    for number in range(MAX_FORMER + 1):
        fleet.note_ended((f"s-{number}", 1), 5.0)
    assert not fleet.may_have_restarted(("s-0", 1), 6.0)
    assert fleet.may_have_restarted(("s-1", 1), 6.0)
