import base64
import contextlib
import ipaddress
import json
import struct

import hypothesis
import hypothesis.strategies as st
import pytest

from sequoiapoint.platform.servers import PlatformServerCodec
from sequoiapoint.platform.store import PlatformStoreCodec
from sequoiapoint.protocol.gateway import (
    GroupMembership,
    Repeatability,
    ServerState,
    StoreRecord,
    Unreadable,
)

CODEC = PlatformStoreCodec()
ENTRY = {
    "service": "lm",
    "addr": "10.0.0.1:8080",
    "zone": "north",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-ms": 0,
    "seq": 3,
    "born": 1_700_000_000_000,
    "models": [{"name": "oak", "version": 1, "adapters": ["a1"]}],
}
CONFIGURATION = {
    "version": 4,
    "routes": [
        {
            "name": "r-1",
            "host": "Trees.example",
            "prefix": "/a/",
            "kind": "stream",
            "timeout-ms": 12_000,
            "goal-ms": 300,
            "priority": 1,
            "service": "lm",
            "attempts": 2,
            "sticky": True,
            "can-resume": True,
            "gap-aim-ms": 150,
        },
        {
            "name": "r-2",
            "host": "trees.example",
            "prefix": "/b/",
            "kind": "mutating",
            "timeout-ms": 800,
            "goal-ms": 200,
            "priority": 2,
            "split": [
                {"service": "web", "weight": 90},
                {"service": "web2", "weight": 10},
            ],
            "attempts": 1,
        },
    ],
    "services": [
        {
            "name": "lm",
            "health-path": "/healthz",
            "max-conns": 360,
            "engine": {
                "slots": 64,
                "kv-cap": 1000,
                "mb": 200.0,
                "adapter-slots": 8,
                "loads-per-s": 1.6,
                "models": [
                    {
                        "name": "oak",
                        "mb": 42.0,
                        "load-s": 2.6,
                        "warm-s": 0.4,
                        "disk-s": 0.5,
                        "adapters": 3,
                        "adapter-mb": 1.0,
                    }
                ],
            },
        },
        {"name": "web", "health-path": "/healthz", "max-conns": 96},
    ],
    "limits": {
        "max-header-bytes": 16_384,
        "max-body-bytes": 1_000_000,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    },
}


def record(value, key="s-1"):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoreRecord(9, key, body)


def configuration(changes=()):
    return CODEC.decode_configuration(
        record(CONFIGURATION | dict(changes), key="config")
    )


def test_a_server_entry_is_decoded():
    entry = CODEC.decode_server(record(ENTRY))
    assert (entry.server, entry.service, entry.address) == (
        "s-1",
        "lm",
        "10.0.0.1:8080",
    )
    assert entry.state is ServerState.READY
    assert entry.incarnation == ("s-1", 1_700_000_000_000)
    assert entry.models[0].adapters == {"a1"}


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (ENTRY, ENTRY | {"seq": 4}),
        (ENTRY, ENTRY | {"seq": 4, "state": "draining"}),
        (ENTRY, ENTRY | {"seq": 1, "born": ENTRY["born"] + 1}),
        (ENTRY, ENTRY | {"seq": 4, "models": []}),
        (ENTRY, ENTRY | {"seq": 4.5}),
        (ENTRY, ENTRY | {"seq": 10**17}),
        (ENTRY, ENTRY | {"seq": -4}),
        (ENTRY, ENTRY | {"seq": "4"}),
        (ENTRY, ENTRY | {"seq": 4, "slots": 0}),
        (ENTRY | {"seq": -3, "x": {"seq": 5}}, ENTRY | {"seq": -3, "x": {"seq": 6}}),
        (ENTRY | {"x": {"seq": 5}}, ENTRY | {"x": {"seq": 6}}),
        (ENTRY | {"zone": '"seq": 5'}, ENTRY | {"zone": '"seq": 6'}),
        (ENTRY | {"zone": "\u00e9"}, ENTRY | {"zone": "\u00e9", "seq": 9}),
    ],
)
def test_an_entry_is_decoded_the_same_whatever_came_before(before, after):
    # Guards against a wrong part of the server's last entry being used again.
    codec = PlatformStoreCodec()
    codec.decode_server(record(before))
    expected = PlatformStoreCodec().decode_server(record(after))
    assert codec.decode_server(record(after)) == expected
    assert codec.decode_server(record(before)) == CODEC.decode_server(record(before))


def test_truncated_entries_are_unreadable_after_a_valid_one():
    codec = PlatformStoreCodec()
    value = record(ENTRY).value
    codec.decode_server(record(ENTRY))
    for length in range(len(value)):
        truncated = StoreRecord(0, "s-1", value[:length] or None)
        assert isinstance(codec.decode_server(truncated), Unreadable)


def test_a_server_about_to_be_reclaimed_is_draining():
    entry = CODEC.decode_server(
        record(ENTRY | {"state": "draining", "remaining-ms": 1500})
    )
    assert entry.state is ServerState.DRAINING


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[1]",
        b"{",
        *({k: v for k, v in ENTRY.items() if k != name} for name in ENTRY if name
          not in ("born", "models", "cold-ms")),
        ENTRY | {"service": 7},
        ENTRY | {"addr": "host:80"},
        ENTRY | {"addr": "10.0.0.1"},
        ENTRY | {"slots": "8"},
        ENTRY | {"slots": 0},
        ENTRY | {"state": "resting"},
        ENTRY | {"born": "yesterday"},
        ENTRY | {"born": 1.5},
        ENTRY | {"born": 10**30},
        ENTRY | {"born": -1},
        ENTRY | {"seq": 10**30},
        ENTRY | {"slots": 10**30},
        ENTRY | {"addr": "10.0.0.1:99999"},
        ENTRY | {"addr": "10.0.0.1:0"},
        ENTRY | {"addr": "10.0.0.999:80"},
        ENTRY | {"models": [{"adapters": []}]},
        ENTRY | {"models": "oak"},
    ],
)  # fmt: skip
def test_an_invalid_server_entry_is_unreadable(value):
    unreadable = CODEC.decode_server(record(value))
    assert isinstance(unreadable, Unreadable)
    assert unreadable.key == "s-1"
    assert unreadable.reason


@pytest.mark.parametrize("key", ["", "s\ufffd", "s 1", "s\r\nx: y", "\xe9"])
def test_a_server_id_that_no_header_can_carry_names_no_server(key):
    """Each request that was sent to such a server failed with an encoding error."""
    assert isinstance(CODEC.decode_server(record(ENTRY, key)), Unreadable)


@hypothesis.given(
    st.sampled_from(sorted(ENTRY)),
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.lists(st.text()),
)
def test_an_entry_with_any_value_names_a_usable_server_or_none(name, value):
    entry = CODEC.decode_server(record(ENTRY | {name: value}))
    if not isinstance(entry, Unreadable):
        host, _, port = entry.address.rpartition(":")
        assert ipaddress.IPv4Address(host)
        assert 0 < int(port) < 2**16
        assert 0 <= entry.started_ms < 2**63
        assert 0 < entry.slots < 2**31


@pytest.mark.parametrize("name", ["", "a\r\nb: c", "a\x00", 7, None])
def test_an_organisation_whose_name_no_header_can_carry_is_unreadable(name):
    tenants = [{"name": name, "api-keys": ["k1"]}]
    assert isinstance(configuration({"tenants": tenants}), Unreadable)


def test_a_configuration_is_decoded():
    decoded = configuration()
    stream, plain = decoded.routes
    assert decoded.version == 4
    assert stream.host == "trees.example"
    assert stream.is_stream
    assert stream.is_resumable
    assert stream.repeatability is Repeatability.IDEMPOTENT
    assert (stream.timeout_s, stream.goal_s, stream.max_event_gap_s) == (
        12.0,
        0.3,
        0.15,
    )
    assert plain.repeatability is Repeatability.AT_MOST_ONCE
    assert plain.targets == (("web", 90.0), ("web2", 10.0))
    engine = decoded.services["lm"].engine
    assert engine.adapter_slots == 8
    assert engine.models["oak"].host_load_s == 0.4
    assert engine.models["oak"].adapters == ("a1", "a2", "a3")
    assert decoded.services["web"].engine is None
    assert decoded.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    ("kind", "can_resume", "may_repeat"),
    [
        ("idempotent", False, True),
        ("mutating", False, False),
        ("keyed", False, False),
        ("stream", False, False),
        ("stream", True, True),
    ],
)
def test_whether_a_request_may_be_repeated_depends_on_the_route_kind(
    kind, can_resume, may_repeat
):
    route = CONFIGURATION["routes"][0] | {"kind": kind, "can-resume": can_resume}
    assert configuration({"routes": [route]}).routes[0].may_repeat is may_repeat


@pytest.mark.parametrize(
    "changes", [{"version": "x"}, {"routes": None}, {"limits": {}}, {"services": 3}]
)
def test_an_invalid_configuration_is_unreadable(changes):
    assert isinstance(configuration(changes), Unreadable)


def test_records_with_other_keys_are_ignored():
    assert CODEC.decode_configuration(record({}, key="notes")) is None


def packed(key, value):
    content = bytes([len(key)]) + key + value
    return struct.pack(">I", len(content)) + content


def test_records_of_a_read_are_numbered_from_the_requested_offset():
    body = struct.pack(">QQ", 12, 0) + packed(b"s-1", b"{}") + packed(b"s-2", b"")
    assert CODEC.decode_read("t", 10, body) == [
        StoreRecord(10, "s-1", b"{}"),
        StoreRecord(11, "s-2", None),
    ]


@pytest.mark.parametrize("body", [b"", b"short"])
def test_a_truncated_read_response_is_an_error(body):
    with pytest.raises(ValueError, match="read of t"):
        CODEC.decode_read("t", 0, body)


def test_a_page_of_latest_records_is_decoded():
    body = json.dumps(
        {
            "items": [
                {
                    "key": "s-1",
                    "value": base64.b64encode(b"{}").decode(),
                    "offset": 4,
                }
            ],
            "has-more": True,
            "end": 6,
        }
    )
    assert CODEC.decode_newest(body.encode(), pytest.fail) == (
        [StoreRecord(4, "s-1", b"{}")],
        6,
        True,
    )


@pytest.mark.parametrize(
    ("call", "method", "target"),
    [
        (
            CODEC.newest_call("t", None),
            "GET",
            "/sequoiapoint/log-newest?topic=t&part=0",
        ),
        (
            CODEC.newest_call("t", "k"),
            "GET",
            "/sequoiapoint/log-newest?topic=t&part=0&after=k",
        ),
        (
            CODEC.read_call("t", 5, 2.5),
            "GET",
            "/sequoiapoint/log-read?topic=t&part=0&from=5&wait-ms=2500",
        ),
        (
            CODEC.put_call("t", "k", b"v"),
            "POST",
            "/sequoiapoint/log-append?topic=t&part=0",
        ),
    ],
)
def test_store_calls_have_the_expected_method_and_target(call, method, target):
    assert (call.method, call.target) == (method, target)


def test_written_record_round_trip():
    call = CODEC.put_call("t", "k", b"v")
    body = struct.pack(">QQ", 1, 0) + call.body
    assert CODEC.decode_read("t", 0, body) == [StoreRecord(0, "k", b"v")]


def test_joining_and_leaving_a_group():
    call = CODEC.join_call("g", "t", "host-1", 1.8, 6)
    assert json.loads(call.body) == {
        "group": "g",
        "member": "host-1",
        "topics": ["t"],
        "ttl-ms": 1800,
        "generation": 6,
    }
    assert CODEC.decode_join(b'{"generation":7,"parts":[["t",0,3]]}', pytest.fail) == (
        GroupMembership(7, frozenset({0}))
    )
    assert json.loads(CODEC.leave_call("g", "host-1").body)["member"] == "host-1"


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=6),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["key", "value", "offset", "items", "parts", "end"])
            | st.text(max_size=4),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
ROWS = st.lists(JSON, max_size=5)


@hypothesis.given(ROWS, ROWS)
def test_rows_of_a_join_that_cannot_be_read_are_skipped_alone(before, after):
    skipped = []
    body = {"generation": 7, "parts": [*before, ["t", 0, 3], *after]}
    membership = CODEC.decode_join(json.dumps(body).encode(), skipped.append)
    assert membership.generation == 7
    assert 0 in membership.partitions
    readable = [r for r in before + after if isinstance(r, list) and len(r) > 1]
    assert len(skipped) >= len(before) + len(after) - len(readable)


@hypothesis.given(ROWS, ROWS)
def test_records_of_a_page_that_cannot_be_read_are_skipped_alone(before, after):
    skipped = []
    good = {"key": "s-1", "value": "e30=", "offset": 4}
    body = {"items": [*before, good, *after], "end": 9}
    records, end, has_more = CODEC.decode_newest(
        json.dumps(body).encode(), skipped.append
    )
    assert StoreRecord(4, "s-1", b"{}") in records
    assert (end, has_more) == (9, False)
    assert len(records) + len(skipped) == len(before) + len(after) + 1


@hypothesis.given(JSON.map(json.dumps).map(str.encode) | st.binary(max_size=40))
def test_any_response_is_decoded_or_unreadable(body):
    for decode in (CODEC.decode_join, CODEC.decode_newest):
        with contextlib.suppress(ValueError):
            decode(body, lambda reason: None)
    with contextlib.suppress(ValueError):
        CODEC.decode_read("t", 0, body)
    for key in ("config", "s-1"):
        CODEC.decode_configuration(StoreRecord(0, key, body))
        CODEC.decode_server(StoreRecord(0, key, body))
    PlatformServerCodec().decode_report(body)
