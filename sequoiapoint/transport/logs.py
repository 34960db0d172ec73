"""Structured logs: one line of key=value pairs per event, on standard error."""

import sys
from collections.abc import Mapping

import logbook

_logger = logbook.Logger("sequoiapoint")


def _has_delimiter(text: str) -> bool:
    return " " in text or "=" in text or '"' in text or "\n" in text


def _quote(value: object) -> str:
    """Quote a value that is empty or contains a delimiter of the line format."""
    text = str(value)
    if not text or _has_delimiter(text):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text


def format_fields(fields: Mapping[str, object]) -> str:
    """Format fields as the pairs of a log line."""
    texts = list(map(str, fields.values()))
    # One search for all values, as few lines have any that needs quotes.
    if "" in texts or _has_delimiter("".join(texts)):
        texts = list(map(_quote, texts))
    return " ".join(map("=".join, zip(fields, texts, strict=True)))


def format_record(record: logbook.LogRecord, _handler: object = None) -> str:
    """Format a record as a log line."""
    fields = {
        "time": record.time.isoformat("T", "milliseconds"),
        "level": record.level_name.lower(),
        # Names of events are no format strings, as which `message` would read them.
        "event": record.msg,
        **record.kwargs.get("fields", {}),
    }
    return format_fields(fields)


def set_up(level: str, **common: object) -> None:
    """Log events of a level and above to standard error.

    :param level: debug, info, warning or error.
    :param common: Fields added to every line.
    """
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())

    def format_line(record: logbook.LogRecord, handler: logbook.Handler) -> str:
        suffix = format_fields(common)
        line = format_record(record, handler)
        return f"{line} {suffix}" if suffix else line

    handler.formatter = format_line
    logbook.set_datetime_format("utc")
    handler.push_application()


def event(name: str, level: str = "info", **fields: object) -> None:
    """Log one event.

    :param name: A short name from a fixed set.
    :param level: debug, info, warning or error.
    :param fields: The details of the event, such as the request id, step and peer.
    """
    _logger.log(level.upper(), name, fields=fields)
