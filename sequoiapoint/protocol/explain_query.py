"""The question where a host would route a request now, as operators ask it.

It names an organisation or the label of a key.  An operator may send a key in place of
either by mistake, so that no message about a parameter repeats its value.
"""

import re
import urllib.parse
from dataclasses import dataclass
from typing import Self

import pydantic

from sequoiapoint.protocol.api_keys import LABEL_CHARACTERS

MAX_NAME_CHARACTERS = 256
MAX_TARGET_CHARACTERS = 2_048
MAX_PROMPT_TOKENS = 100_000_000
_PARAMETER_NAME = re.compile(r"[a-z][a-z_]{0,31}")
"""Form of the names that are repeated in an error: a key may be sent without a name."""

_Name = pydantic.constr(max_length=MAX_NAME_CHARACTERS, pattern=r"^[^\x00-\x1f]*$")


class ExplainQuery(pydantic.BaseModel):
    """A request that is not sent.

    :param host: The host name, in lower case and without a port.
    :param path: The path; a query after it is ignored.
    :param route: The name of a route, in place of host and path.
    :param organisation: The organisation of the key; "" for none.
    :param key_label: The label of the key, in place of the organisation.
    :param prompt_tokens: The size of the prompt; None if the request states no tokens.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    host: _Name = ""
    path: str = pydantic.Field(
        default="", max_length=MAX_TARGET_CHARACTERS, pattern=r"^(/[^\x00-\x1f]*)?$"
    )
    route: _Name = ""
    model: _Name = ""
    adapter: _Name = ""
    organisation: _Name = ""
    key_label: str = pydantic.Field(
        default="", pattern=rf"^([0-9a-f]{{{LABEL_CHARACTERS}}})?$"
    )
    prompt_tokens: int | None = pydantic.Field(default=None, ge=0, le=MAX_PROMPT_TOKENS)

    @pydantic.field_validator("host")
    @classmethod
    def _normalise_host(cls, host: str) -> str:
        return host.partition(":")[0].lower()

    @pydantic.model_validator(mode="after")
    def _check_combination(self) -> Self:
        if self.route and (self.host or self.path):
            raise ValueError("route: cannot be combined with host and path")
        if not self.route and not self.host:
            raise ValueError("host: missing")
        if not self.route and not self.path:
            raise ValueError("path: missing")
        if self.organisation and self.key_label:
            raise ValueError("key_label: cannot be combined with organisation")
        if self.adapter and not self.model:
            raise ValueError("model: missing, but there is an adapter")
        return self


@dataclass(frozen=True)
class InvalidParameter:
    """A parameter that cannot be used.

    :param name: Its name, "" if that has the form of a value.
    """

    name: str
    detail: str


def parse_explain_query(query: str) -> ExplainQuery | InvalidParameter:
    """Parse the query of a request's target."""
    try:
        pairs = urllib.parse.parse_qsl(
            query, keep_blank_values=True, errors="strict", max_num_fields=32
        )
    except ValueError:
        return InvalidParameter("", "the query cannot be read")
    values: dict[str, str] = {}
    for name, value in pairs:
        if name in values:
            return InvalidParameter(_shown(name), "given twice")
        values[name] = value
    try:
        return ExplainQuery.model_validate(values)
    except pydantic.ValidationError as error:
        return _invalid(error)


def _invalid(error: pydantic.ValidationError) -> InvalidParameter:
    """Return the first error, without the value."""
    first = error.errors(include_input=False, include_url=False)[0]
    if first["loc"]:
        return InvalidParameter(_shown(str(first["loc"][0])), first["msg"])
    name, _, detail = str(first["ctx"]["error"]).partition(": ")
    return InvalidParameter(name, detail)


def _shown(name: str) -> str:
    return name if _PARAMETER_NAME.fullmatch(name) else ""
