"""The chat-completions API: requests and server-sent events."""

import json
from dataclasses import dataclass
from typing import Any

import pydantic

from sequoiapoint.protocol.event_stream import MAX_EVENT_BYTES

DONE_EVENT = b"data: [DONE]"
EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "


class Message(pydantic.BaseModel):
    """A message of a conversation."""

    model_config = pydantic.ConfigDict(extra="allow")

    role: str
    content: Any


class ChatRequest(pydantic.BaseModel):
    """A chat request; unknown fields are forwarded to the engine."""

    model_config = pydantic.ConfigDict(extra="allow")

    model: str
    messages: list[Message] = pydantic.Field(min_length=1)
    stream: bool = False
    max_tokens: int = pydantic.Field(default=32, ge=1, le=8192)


@dataclass(frozen=True)
class ChatEvent:
    """One event of a streamed response.

    :param raw: The event as received, without the blank line that ends it.
    :param request_id: The id that the engine assigned to the request.
    :param position: The index of the token in the response, from 0.
    :param finish_reason: Set only in the last event.
    """

    raw: bytes
    request_id: str
    position: int
    text: str
    finish_reason: str | None


class EventSplitter:
    """Splits a byte stream into events, at a cost proportional to their size."""

    def __init__(self) -> None:
        self._partial = bytearray()

    @property
    def is_too_large(self) -> bool:
        """Tell whether the incomplete event exceeds ``MAX_EVENT_BYTES``."""
        return len(self._partial) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the events that are now complete."""
        # The end of an event may lie across the new and the buffered bytes.
        unsearched = max(0, len(self._partial) + 1 - len(EVENT_END))
        self._partial += data
        if self._partial.find(EVENT_END, unsearched) < 0:
            return []
        *events, partial = bytes(self._partial).split(EVENT_END)
        self._partial = bytearray(partial)
        return events


def parse_event(raw: bytes) -> ChatEvent | None:
    """Parse an event; return None if it is not a valid chat event."""
    try:
        value = json.loads(raw.removeprefix(DATA_PREFIX))
        choice = value["choices"][0]
        return ChatEvent(
            raw=raw,
            request_id=value["id"],
            position=value["position"],
            text=choice["delta"].get("content", ""),
            finish_reason=choice.get("finish_reason"),
        )
    except (ValueError, KeyError, IndexError, TypeError):
        return None


def describe_errors(error: pydantic.ValidationError) -> str:
    """Return all validation errors of a request on one line."""
    return "; ".join(
        f"{'.'.join(str(part) for part in detail['loc']) or 'body'}: {detail['msg']}"
        for detail in error.errors()
    )
