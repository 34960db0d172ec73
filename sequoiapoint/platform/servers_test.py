import json
from dataclasses import replace

import pytest

from sequoiapoint.platform.callers import PlatformCallerCodec
from sequoiapoint.platform.servers import PlatformServerCodec
from sequoiapoint.protocol.gateway import (
    LoadReport,
    Order,
    OrderAction,
    OrderResult,
    ServerEntry,
    ServerState,
    Unreadable,
)

CODEC = PlatformServerCodec()
ENTRY = ServerEntry("s-1", "lm", "10.0.0.1:80", "north", ServerState.READY, 5, 8)
REQUEST = PlatformCallerCodec().decode_request(
    "POST",
    "/a",
    [(b"host", b"h"), (b"request-id", b"r1"), (b"deadline-ms", b"9000")],
    b"xyz",
)


def lines(head):
    return head.decode().split("\r\n")


def test_a_request_contains_its_server_and_the_remaining_time():
    head = lines(CODEC.request_head(REQUEST, ENTRY, 1.25, 3, "12"))
    assert head[0] == "POST /a HTTP/1.1"
    for line in (
        "request-id: r1",
        "host: h",
        "deadline-ms: 1250",
        "expect-worker: s-1",
        "request-prio: 3",
        "last-event-id: 12",
        "content-length: 3",
    ):
        assert head.count(line) == 1
    assert head[-2:] == ["", ""]


CREDENTIALS = ((b"authorization", b"Bearer k"), (b"tenant", b"forged"))


@pytest.mark.parametrize(
    ("organisation", "expected"),
    [
        (None, ["authorization: Bearer k", "tenant: forged"]),
        ("", []),
        ("aspen", ["tenant: aspen"]),
    ],
)
def test_a_server_gets_the_organisation_and_no_key(organisation, expected):
    """With organisations, nothing that the caller has sent may name one."""
    headers = REQUEST.headers + CREDENTIALS
    request = replace(REQUEST, headers=headers, organisation=organisation)
    head = lines(CODEC.request_head(request, ENTRY, 1.0, None, ""))
    names = ("authorization", "tenant")
    assert [line for line in head if line.startswith(names)] == expected


def test_a_priority_beyond_the_engines_range_is_sent_as_their_least_urgent():
    assert "request-prio: 9" in lines(CODEC.request_head(REQUEST, ENTRY, 1.0, 12, ""))


@pytest.mark.parametrize(
    ("priority", "last_event_id", "absent"),
    [(None, "1", "request-prio"), (1, "", "last-event-id")],
)
def test_headers_without_a_value_are_not_sent(priority, last_event_id, absent):
    head = CODEC.request_head(REQUEST, ENTRY, 1.0, priority, last_event_id)
    assert absent not in head.decode()


@pytest.mark.parametrize(
    ("status", "headers", "not_run", "wrong_server"),
    [
        (200, [], False, False),
        (503, [(b"not-run", b"1")], True, False),
        (503, [], False, False),
        (421, [], True, True),
        (500, [], False, False),
    ],
)
def test_a_request_counts_as_not_run_only_if_the_server_states_it(
    status, headers, not_run, wrong_server
):
    head = CODEC.decode_head(status, headers)
    assert (head.was_not_run, head.is_wrong_server) == (not_run, wrong_server)


def test_a_response_head_keeps_only_headers_for_the_caller():
    head = CODEC.decode_head(
        200,
        [
            (b"request-id", b"r1"),
            (b"server-seal", b"zz"),
            (b"worker-load", b"3,1,8"),
            (b"content-length", b"5"),
            (b"connection", b"close"),
            (b"weight-versions", b"2"),
        ],
    )
    assert head.is_signed
    assert head.request_id == "r1"
    assert head.load == LoadReport(3, 1, 8)
    assert [name for name, _ in head.headers] == [
        b"request-id",
        b"server-seal",
        b"weight-versions",
    ]


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3", LoadReport(3)),
        (b"3,1", LoadReport(3, 1)),
        (b"3, 1 ,8", LoadReport(3, 1, 8)),
        (b"3,1,8,250", LoadReport(3, 1, 8, 2.5)),
        (b"3,1,8,37.5,x,-1", LoadReport(3, 1, 8, 0.375)),
    ],
)
def test_a_load_header_has_one_to_four_figures_and_ignores_more(value, load):
    head = CODEC.decode_head(200, [(b"worker-load", value)])
    assert (head.load, head.unreadable) == (load, ())


@pytest.mark.parametrize(
    "value", [b"", b",", b"a,b,c", b"-1,0,0", b"1,x", b"1,-2,3,4", b"1,2e3", b"9" * 8]
)
def test_an_invalid_load_header_is_dropped_and_named(value):
    head = CODEC.decode_head(200, [(b"worker-load", value)])
    assert (head.load, head.unreadable) == (None, ("worker-load",))


@pytest.mark.parametrize(
    "slowness",
    [b"", b"0", b"0.0", b"-100", b"nan", b"inf", b"1e2", b"1" * 40, b"10001", b"\xff"],
)
def test_an_invalid_slowness_is_dropped_and_the_counts_are_kept(slowness):
    """A slowness of 0 or of any size would give one server all requests, or none."""
    head = CODEC.decode_head(200, [(b"worker-load", b"3,1,8," + slowness)])
    assert (head.load, head.unreadable) == (LoadReport(3, 1, 8), ("worker-load",))


def test_an_invalid_number_of_slots_is_dropped_and_the_rest_is_kept():
    head = CODEC.decode_head(200, [(b"worker-load", b"3,1,x,50")])
    assert head.load == LoadReport(3, 1, None, 0.5)
    assert head.unreadable == ("worker-load",)


@pytest.mark.parametrize(
    ("value", "encoded"), [(b"gzip", True), (b"identity", False), (None, False)]
)
def test_a_content_coding_is_detected(value, encoded):
    headers = [] if value is None else [(b"content-encoding", value)]
    assert CODEC.decode_head(200, headers).is_encoded is encoded


@pytest.mark.parametrize(
    ("action", "adapter", "expected"),
    [
        (OrderAction.LOAD, "", {"op": "load", "model": "oak"}),
        (OrderAction.LOAD, "a1", {"op": "load", "model": "oak", "adapter": "a1"}),
        (OrderAction.EVICT, "", {"op": "evict", "model": "oak"}),
    ],
)
def test_an_order_contains_its_server_leader_and_expected_order_count(
    action, adapter, expected
):
    call = CODEC.order_call(ENTRY, Order(action, "oak", adapter, 7, "host-1", 41))
    assert (call.method, call.target) == ("POST", "/sequoiapoint/order")
    assert (b"Expect-Worker", b"s-1") in call.headers
    assert json.loads(call.body) == expected | {
        "expect": 7,
        "holder": "host-1",
        "fence": 41,
    }


@pytest.mark.parametrize(
    ("status", "result"),
    [
        (200, OrderResult.ALREADY_DONE),
        (202, OrderResult.STARTED),
        (400, OrderResult.INVALID),
        (409, OrderResult.CONFLICT),
        (412, OrderResult.FENCED),
        (421, OrderResult.WRONG_SERVER),
        (500, OrderResult.UNANSWERED),
    ],
)
def test_the_status_of_an_order_response_is_decoded(status, result):
    assert CODEC.order_result(status) is result


def test_a_report_is_decoded():
    report = CODEC.decode_report(
        json.dumps(
            {
                "models": [{"name": "oak", "version": 1, "adapters": ["a1"]}],
                "busy": True,
                "seq": 4,
                "queued": 2,
                "inflight": 9,
                "coming": ["oak/a2@1"],
                "at-hand": {"in-memory": ["elm"], "on-disk": ["ash"]},
            }
        ).encode()
    )
    assert report.order_count == 4
    assert report.is_busy
    assert (report.running, report.waiting) == (9, 2)
    assert report.models[0].adapters == {"a1"}
    assert report.loading_adapters == (("oak", "a2"),)
    assert (report.in_host_memory, report.on_disk) == ({"elm"}, {"ash"})


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", b'{"busy":1,"seq":2}', b'{"busy":true,"seq":"2"}', b"\xff"],
)
def test_an_invalid_report_is_unreadable(body):
    assert isinstance(CODEC.decode_report(body), Unreadable)


@pytest.mark.parametrize(
    ("value", "is_leaving", "unreadable"),
    [
        (None, False, ()),
        (b"1", True, ()),
        (b"0", False, ("server-leaving",)),
        (b"yes", False, ("server-leaving",)),
        (b"", False, ("server-leaving",)),
    ],
)
def test_a_server_announces_in_its_responses_that_it_leaves(
    value, is_leaving, unreadable
):
    headers = [] if value is None else [(b"server-leaving", value)]
    head = CODEC.decode_head(200, headers)
    assert (head.is_leaving, head.unreadable) == (is_leaving, unreadable)
    assert head.headers == ()
    assert CODEC.is_leaving(headers) is is_leaving


@pytest.mark.parametrize(
    ("value", "seconds", "is_valid"),
    [
        (None, None, True),
        (b"0", 0.0, True),
        (b"1.25", 1.25, True),
        (b"3600", 3600.0, True),
        (b"7200", 3600.0, False),
        (b"-1", None, False),
        (b"1e9", None, False),
        (b"nan", None, False),
        (b"soon", None, False),
        (b"Fri, 04 Dec 2026 08:00:00 GMT", None, False),
        (b"", None, False),
    ],
)
def test_a_server_names_the_time_for_which_it_wants_no_requests(
    value, seconds, is_valid
):
    head = CODEC.decode_head(503, [] if value is None else [(b"retry-after", value)])
    assert head.retry_after_s == seconds
    assert (head.unreadable == ()) is is_valid


@pytest.mark.parametrize(
    ("value", "limit_per_s"),
    [
        (None, None),
        (b"3.3", 3.3),
        (b"12", 12.0),
        (b"0.05", 0.05),
        (b" 7.0 ", 7.0),
        (b".5", 0.5),
        (b"0", 0.0),
        *((text, Unreadable) for text in (b"", b"-1", b"1e3", b"nan", b"3,3", b"lots")),
    ],
)
def test_a_limit_is_decoded_and_not_returned_to_the_caller(value, limit_per_s):
    headers = [] if value is None else [(b"server-limit", value)]
    head = CODEC.decode_head(200, headers)
    assert head.headers == ()
    if limit_per_s is Unreadable:
        assert isinstance(head.limit_per_s, Unreadable)
        assert head.unreadable == ("server-limit",)
    else:
        assert head.limit_per_s == CODEC.limit_per_s(headers) == limit_per_s
        assert head.unreadable == ()


@pytest.mark.parametrize(
    ("value", "brittle_per_s"),
    [
        (None, None),
        (b"3", 3.0),
        (b" 0 ", 0.0),
        *((text, Unreadable) for text in (b"", b"-1", b"yes", b"3;4")),
    ],
)
def test_brittleness_is_decoded_and_not_returned_to_the_caller(value, brittle_per_s):
    headers = [] if value is None else [(b"server-brittle", value)]
    head = CODEC.decode_head(503, headers)
    assert head.headers == ()
    if brittle_per_s is Unreadable:
        assert isinstance(head.brittle_per_s, Unreadable)
        assert head.unreadable == ("server-brittle",)
    else:
        assert head.brittle_per_s == CODEC.brittle_per_s(headers) == brittle_per_s
        assert head.unreadable == ()
