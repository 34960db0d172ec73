import hypothesis
import hypothesis.strategies as st
import pytest

from sequoiapoint.platform.callers import PlatformCallerCodec
from sequoiapoint.protocol.api_keys import key_digest

CODEC = PlatformCallerCodec()
HEAD = [
    (b"host", b"Trees.example:80"),
    (b"request-id", b"r1"),
    (b"deadline-ms", b"1500"),
    (b"model", b"oak/a3"),
    (b"token-count", b"120,40"),
    (b"prompt-prefix", b"aa:100,bb:20"),
    (b"last-event-id", b"7"),
    (b"resumes", b"r0"),
    (b"length-hint", b"30"),
]


def decode(headers, body=b""):
    return CODEC.decode_request("POST", "/a/b?c=d", headers, body)


def test_a_request_is_decoded_from_its_headers():
    request = decode(HEAD, b"body")
    assert (request.request_id, request.host, request.path) == (
        "r1",
        "trees.example",
        "/a/b",
    )
    assert request.budget_s == 1.5
    assert (request.model, request.adapter) == ("oak", "a3")
    assert request.prompt_tokens == 120
    assert (request.last_event_id, request.resumes) == ("7", "r0")
    assert request.body == b"body"


@pytest.mark.parametrize(
    "name",
    [
        b"expect-worker",
        b"request-prio",
        b"expect-version",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"deadline-ms",
        b"last-event-id",
        b"connection",
        b"transfer-encoding",
        b"content-length",
        b"keep-alive",
        b"te",
        b"upgrade",
    ],
)
def test_gateway_headers_and_hop_by_hop_headers_are_not_forwarded(name):
    request = decode([*HEAD, (name, b"x")])
    assert name not in [key for key, _ in request.headers]


def test_other_headers_are_forwarded_unchanged():
    request = decode([*HEAD, (b"x-colour", b"green")])
    for pair in (
        (b"x-colour", b"green"),
        (b"model", b"oak/a3"),
        (b"length-hint", b"30"),
    ):
        assert pair in request.headers


@pytest.mark.parametrize("missing", [b"request-id", b"host"])
def test_a_request_without_id_or_host_is_not_decoded(missing):
    assert decode([pair for pair in HEAD if pair[0] != missing]) is None


@pytest.mark.parametrize(
    ("name", "value", "field", "expected"),
    [
        (b"deadline-ms", b"soon", "budget_s", None),
        (b"deadline-ms", b"-5", "budget_s", None),
        (b"token-count", b"many", "prompt_tokens", 0),
        (b"token-count", b"12", "prompt_tokens", 12),
        (b"token-count", b",7", "prompt_tokens", 0),
        (b"model", b"oak", "adapter", ""),
        (b"prompt-prefix", b"AB:1, c:2,d:3", "shared_parts", ("ab", "c")),
        (b"prompt-prefix", b"ab:1", "shared_parts", ()),
        (b"prompt-prefix", b"", "shared_parts", ()),
        (b"prompt-prefix", b",,:4,d:3", "shared_parts", ()),
    ],
)
def test_invalid_header_values_are_ignored(name, value, field, expected):
    headers = [(key, value if key == name else known) for key, known in HEAD]
    assert getattr(decode(headers), field) == expected


@pytest.mark.parametrize(
    ("retry_after_s", "expected"), [(None, None), (0.25, b"0.25"), (2.0, b"2.00")]
)
def test_a_refusal_contains_the_retry_delay(retry_after_s, expected):
    headers = dict(CODEC.refusal_headers("r1", retry_after_s))
    assert headers[b"Request-Id"] == b"r1"
    assert headers.get(b"Retry-After") == expected


AUTHORIZATION = b"authorization"
NO_KEY = b""


@pytest.mark.parametrize(
    ("values", "key"),
    [
        ([b"Bearer k1"], b"k1"),
        ([b"bEARER k1"], b"k1"),
        ([b"Bearer   k1 "], b"k1"),
        ([], None),
        ([b""], None),
        ([b"k1"], None),
        ([b"Bearer"], None),
        ([b"Bearer "], None),
        ([b"Bearerk1"], None),
        ([b"Basic k1"], None),
        ([b"Bearer k1 k2"], None),
        ([b"Bearer k1, Bearer k1"], None),
        ([b"Bearer k1", b"Bearer k1"], None),
        ([b"Bearer k1", b""], None),
    ],
)
def test_a_key_is_one_header_of_one_form(values, key):
    """Two parties that read a header differently let a forged key pass."""
    headers = [*HEAD, *((AUTHORIZATION, value) for value in values)]
    expected = NO_KEY if key is None else key_digest(key)
    assert decode(headers).key_digest == expected


@hypothesis.given(st.lists(st.binary(max_size=30), max_size=3))
def test_any_other_headers_are_no_key(values):
    request = decode([*HEAD, *((AUTHORIZATION, value) for value in values)])
    words = values[0].split() if len(values) == 1 else []
    has_key = len(words) == 2 and words[0].lower() == b"bearer"
    assert request.key_digest in (
        NO_KEY,
        key_digest(words[1]) if has_key else NO_KEY,
    )


@hypothesis.given(
    st.sampled_from([b"deadline-ms", b"token-count", b"authorization", b"model"]),
    st.binary(max_size=40) | st.integers(0, 10**400).map(lambda n: b"%d" % n),
)
def test_no_value_of_a_header_is_an_error(name, value):
    """A deadline of 400 digits raised an error, and its caller got no response."""
    headers = [(key, value if key == name else known) for key, known in HEAD]
    assert decode([*headers, (name, value)]).request_id == "r1"


@pytest.mark.parametrize("name", [b"deadline-ms", b"token-count"])
def test_a_number_of_very_many_digits_is_ignored(name):
    headers = [(key, b"9" * 5_000 if key == name else v) for key, v in HEAD]
    request = decode(headers)
    assert (request.budget_s is None) == (name == b"deadline-ms")
    assert (request.tokens is None) == (name == b"token-count")


@pytest.mark.parametrize(
    ("value", "tokens"),
    [
        (b"120,40", 160),
        (b" 120 , 40 ", 160),
        (b"120", 120),
        (b"120,many", 120),
        (b",40", 40),
        (b"0,0", 0),
        (b"120,40,7", 160),
        (b"many", None),
        (b"-120,-40", None),
        (b"", None),
        (None, None),
    ],
)
def test_the_tokens_of_a_request_are_those_of_prompt_and_output(value, tokens):
    headers = [pair for pair in HEAD if pair[0] != b"token-count"]
    if value is not None:
        headers.append((b"token-count", value))
    assert decode(headers).tokens == tokens


def test_credentials_are_left_out_for_other_hosts():
    pairs = ((b"authorization", b"Bearer k"), (b"a", b"b"), (b"tenant", b"x"))
    assert CODEC.without_credentials(pairs) == ((b"a", b"b"),)
