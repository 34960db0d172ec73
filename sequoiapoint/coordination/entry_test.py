"""Which requests are admitted, and for which organisation."""

import math
from dataclasses import replace

import pytest

from sequoiapoint.coordination import entry
from sequoiapoint.coordination.entry import Admitted
from sequoiapoint.protocol.api_keys import key_digest
from sequoiapoint.protocol.gateway import (
    CallerLimits,
    CallerRequest,
    GatewayConfiguration,
    Organisation,
    Repeatability,
    Route,
)

ROUTE = Route(
    "r", "h", "/r/", (("web", 1.0),), Repeatability.IDEMPOTENT, False, False, 4.0, 0.3,
    0.0, 2, 0,
)  # fmt: skip
PUBLIC = replace(ROUTE, is_public=True)
ASPEN = Organisation("aspen")
KEY, UNKNOWN, NO_KEY = key_digest(b"k1"), key_digest(b"k2"), b""
WITH_KEYS = GatewayConfiguration(1, (), {}, CallerLimits(), {KEY: ASPEN})
WITHOUT_KEYS = GatewayConfiguration(1, (), {}, CallerLimits())
NO_ORGANISATIONS = GatewayConfiguration(1, (), {}, CallerLimits(), {})
BOUND_S = 5.0
FRESH_S, OLD_S = 0.6 * BOUND_S, BOUND_S
"""Ages of the configuration: one at which nothing is rejected for it, as hosts with a
path to the store may be that far behind, and the bound, at which everything is."""
ADMITTED = Admitted(ASPEN)
OUTSIDE = Admitted()
UNCHECKED = Admitted(are_keys_in_force=False)


def decide(route, digest, configuration, age_s, bound_s):
    request = CallerRequest("id", "GET", "h", "/r/x", (), b"", key_digest=digest)
    return entry.decide(request, route, configuration, age_s, bound_s)


@pytest.mark.parametrize(
    ("route", "digest", "configuration", "age_s", "bound_s", "expected"),
    [
        (ROUTE, KEY, None, 0.0, BOUND_S, entry.NO_CONFIGURATION),
        (PUBLIC, KEY, None, 0.0, None, entry.NO_CONFIGURATION),
        (ROUTE, KEY, WITHOUT_KEYS, math.inf, BOUND_S, UNCHECKED),
        (ROUTE, NO_KEY, WITHOUT_KEYS, 0.0, None, UNCHECKED),
        (PUBLIC, KEY, WITH_KEYS, math.inf, BOUND_S, OUTSIDE),
        (PUBLIC, UNKNOWN, WITH_KEYS, 0.0, None, OUTSIDE),
        (PUBLIC, NO_KEY, WITH_KEYS, 0.0, None, OUTSIDE),
        (ROUTE, NO_KEY, WITH_KEYS, 0.0, BOUND_S, entry.NO_KEY),
        (ROUTE, NO_KEY, WITH_KEYS, math.inf, BOUND_S, entry.NO_KEY),
        (ROUTE, KEY, WITH_KEYS, FRESH_S, BOUND_S, ADMITTED),
        (ROUTE, KEY, WITH_KEYS, OLD_S, BOUND_S, entry.CONFIGURATION_TOO_OLD),
        (ROUTE, KEY, WITH_KEYS, math.inf, BOUND_S, entry.CONFIGURATION_TOO_OLD),
        (ROUTE, KEY, WITH_KEYS, math.nan, BOUND_S, entry.CONFIGURATION_TOO_OLD),
        (ROUTE, KEY, WITH_KEYS, math.inf, None, ADMITTED),
        (ROUTE, UNKNOWN, WITH_KEYS, FRESH_S, BOUND_S, entry.UNKNOWN_KEY),
        (ROUTE, UNKNOWN, WITH_KEYS, OLD_S, BOUND_S, entry.CONFIGURATION_TOO_OLD),
        (ROUTE, UNKNOWN, WITH_KEYS, math.inf, None, entry.UNKNOWN_KEY),
        (ROUTE, KEY, NO_ORGANISATIONS, 0.0, BOUND_S, entry.UNKNOWN_KEY),
    ],
)
def test_the_decision(route, digest, configuration, age_s, bound_s, expected):
    """Guards against revoked keys that are accepted, and valid ones that are not."""
    assert decide(route, digest, configuration, age_s, bound_s) == expected


@pytest.mark.parametrize(
    ("admitted", "name"), [(ADMITTED, "aspen"), (OUTSIDE, ""), (UNCHECKED, None)]
)
def test_the_name_tells_no_organisation_from_no_organisations(admitted, name):
    """Callers' own headers must be forwarded only without organisations."""
    assert admitted.name == name


@pytest.mark.parametrize(
    ("rejected", "status", "may_retry"),
    [
        (entry.NO_CONFIGURATION, 503, True),
        (entry.CONFIGURATION_TOO_OLD, 503, True),
        (entry.NO_KEY, 401, False),
        (entry.UNKNOWN_KEY, 401, False),
    ],
)
def test_only_what_may_change_is_to_be_retried(rejected, status, may_retry):
    assert (rejected.status, rejected.may_retry) == (status, may_retry)
