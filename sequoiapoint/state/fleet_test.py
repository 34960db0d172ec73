from dataclasses import replace

import pytest

from sequoiapoint.protocol.gateway import HeldModel, ServerEntry, ServerState
from sequoiapoint.state.fleet import NOT_HELD_TTL_S, WITHDRAWN_TTL_S, Fleet

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
