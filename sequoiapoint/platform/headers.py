"""Header names of the platform in lower case, and sets of headers not forwarded."""

from sequoiapoint.protocol.ports import Headers

REQUEST_ID = b"request-id"
BUDGET_MS = b"deadline-ms"
MODEL = b"model"
TOKEN_COUNT = b"token-count"
PROMPT_PARTS = b"prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
EXPECTED_SERVER = b"expect-worker"
PRIORITY = b"request-prio"
SEAL = b"server-seal"
NOT_RUN = b"not-run"
SERVER_LOAD = b"worker-load"
SERVER_ID = b"worker-id"
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
SERVER_BRITTLE = b"server-brittle"
STORE_ERA = b"store-era"
RETRY_AFTER = b"retry-after"
CONTENT_ENCODING = b"content-encoding"
AUTHORIZATION = b"authorization"
ORGANISATION = b"tenant"

MAX_DIGITS = 15
"""Maximum number of digits of an integer in a header."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Hop-by-hop headers; they apply to one connection and are never forwarded."""

SET_BY_GATEWAY = frozenset(
    {
        BUDGET_MS,
        EXPECTED_SERVER,
        PRIORITY,
        LAST_EVENT_ID,
        b"expect-version",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-fetch",
        b"kv-from",
    }
)
"""Request headers that only the gateway sets; a caller's are not forwarded as sent."""

CREDENTIALS = frozenset({AUTHORIZATION, ORGANISATION})
"""Request headers that are not forwarded while the configuration has organisations."""

GATEWAY_ONLY = frozenset(
    {SERVER_LOAD, SERVER_ID, NOT_RUN, SERVER_LEAVING, SERVER_LIMIT, SERVER_BRITTLE}
)
"""Response headers meant for the gateway and not forwarded to the caller."""


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None.

    :param headers: Headers with names in lower case.
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def parse_integer(value: bytes | None) -> int | None:
    """Parse a header's value as a non-negative integer; return None if invalid.

    Longer numbers than ``MAX_DIGITS`` are invalid: they do not fit into the integers of
    messages between hosts, and Python converts neither very long ones nor their floats.
    """
    if value is None or len(value) > MAX_DIGITS or not value.isdigit():
        return None
    return int(value)
