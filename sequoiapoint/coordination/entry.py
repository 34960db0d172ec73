"""Decides whether a caller's request is admitted, and for which organisation.

It fails closed: without a configuration, or with one that may lack the removal of a
key, no request that needs a key is admitted.  Answers callers that continue with a
revoked key at hosts that receive no new configurations, and floods of requests without
a valid key, each of which costs one look-up.
"""

import http
from dataclasses import dataclass

from sequoiapoint.protocol.gateway import (
    CallerRequest,
    GatewayConfiguration,
    Organisation,
    Route,
)

AGE_MARGIN_SHARE = 0.05
"""Share of the bound on revoked keys that is kept for the time between a decision and
the moment at which a server has the request, and for the drift of clocks."""


@dataclass(frozen=True)
class Admitted:
    """The request may be forwarded.

    :param organisation: The holder of its key; None if it belongs to none.
    :param are_keys_in_force: Whether the configuration has organisations.
    """

    organisation: Organisation | None = None
    are_keys_in_force: bool = True

    @property
    def name(self) -> str | None:
        """Return the value of ``CallerRequest.organisation``."""
        if not self.are_keys_in_force:
            return None
        return "" if self.organisation is None else self.organisation.name


@dataclass(frozen=True)
class Rejected:
    """The request must not be forwarded.

    :param may_retry: Whether the same request may be admitted later.
    """

    reason: str
    status: http.HTTPStatus
    may_retry: bool = False


NO_CONFIGURATION = Rejected(
    "no_configuration", http.HTTPStatus.SERVICE_UNAVAILABLE, may_retry=True
)
CONFIGURATION_TOO_OLD = Rejected(
    "configuration_too_old", http.HTTPStatus.SERVICE_UNAVAILABLE, may_retry=True
)
NO_KEY = Rejected("no_key", http.HTTPStatus.UNAUTHORIZED)
UNKNOWN_KEY = Rejected("unknown_key", http.HTTPStatus.UNAUTHORIZED)


def decide(
    request: CallerRequest,
    route: Route,
    configuration: GatewayConfiguration | None,
    age_s: float,
    key_revocation_s: float | None,
) -> Admitted | Rejected:
    """Decide whether a request is admitted.

    :param route: The route of the request in that configuration.
    :param configuration: The one in force; None before any is known.
    :param age_s: The time since which the configuration may lack a newer version, in
        seconds.
    :param key_revocation_s: The time within which a removed key must be rejected
        everywhere, in seconds; None without such a bound.
    """
    if configuration is None:
        return NO_CONFIGURATION
    if configuration.organisations is None:
        return Admitted(are_keys_in_force=False)
    if route.is_public:
        return Admitted()
    if not request.key_digest:
        return NO_KEY
    # A key that is not known may have been added by a version that is missing.
    if is_too_old(age_s, key_revocation_s):
        return CONFIGURATION_TOO_OLD
    organisation = configuration.organisations.get(request.key_digest)
    return UNKNOWN_KEY if organisation is None else Admitted(organisation)


def is_too_old(age_s: float, key_revocation_s: float | None) -> bool:
    """Tell whether a configuration may lack the removal of a key for too long.

    An age that is not a number counts as too old.
    """
    if key_revocation_s is None:
        return False
    return not age_s <= key_revocation_s * (1.0 - AGE_MARGIN_SHARE)
