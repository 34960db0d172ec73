"""Validity of the status of a response.

Answers a faulty server that sends a number which HTTP does not define: parsers accept
any three digits.  Such a response is malformed, and is not passed on.
"""

import http

_FINAL = range(http.HTTPStatus.OK, 600)
_INFORMATIONAL = range(http.HTTPStatus.CONTINUE, http.HTTPStatus.OK)


def is_final(status: int) -> bool:
    """Tell whether a response with a status is the last one to its request."""
    return status in _FINAL


def is_informational(status: int) -> bool:
    """Tell whether a response with a status precedes the last one.

    No request of this system asks to switch protocols.
    """
    return status in _INFORMATIONAL and status != http.HTTPStatus.SWITCHING_PROTOCOLS
