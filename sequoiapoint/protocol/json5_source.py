"""Parsing of JSON5 texts, of which each part has a line, into validated models.

The standard library tells no lines and accepts no comments.  This module is imported
only for texts that need it.
"""

import difflib
import re
import typing
from typing import Any

import json5
import pydantic
from json5 import model as json5_model
from json5.loader import ModelLoader
from json5.utils import JSON5DecodeError

from sequoiapoint.protocol.jsonc import LoadResult, Location, ModelT, SourceError

_SYNTAX_ERROR_INDEX = re.compile(r"at index (\d+)")
_SYNTAX_ERROR_LINE = re.compile(r"^(.*?)\s*at: line (\d+) column (\d+)(.*)$")


def load(text: str, file: str, model: type[ModelT]) -> LoadResult:
    """Load and validate a text.

    :param text: JSON, with comments allowed.
    :param file: The file name to use in errors.
    :param model: The pydantic model to validate the text against.
    :return: The model, or all errors.
    """
    try:
        tree = json5.loads(text, loader=ModelLoader())
    except JSON5DecodeError as error:
        return LoadResult(None, tuple(_syntax_errors(str(error), text, file)))
    lines: dict[Location, int] = {}
    duplicates: list[SourceError] = []
    value = _read_node(tree.value, (), lines, duplicates, file)
    errors = duplicates
    validated = None
    try:
        validated = model.model_validate(value)
    except pydantic.ValidationError as error:
        errors = duplicates + _model_errors(error, file, lines, model)
    if errors:
        return LoadResult(None, tuple(sorted(errors, key=lambda e: e.line)))
    return LoadResult(validated, ())


def _syntax_errors(message: str, text: str, file: str) -> list[SourceError]:
    """Split the parser's message into errors.

    :return: One error for each line of the message that names a position.  If none
        does, one error with the complete message, on the line of the index that it
        names or else on the last line, as the text ends too early.
    """
    errors = []
    for line in message.splitlines():
        match = _SYNTAX_ERROR_LINE.match(line.strip())
        if match:
            description = f"{match[1]} at column {match[3]}"
            errors.append(SourceError(file, int(match[2]), description))
    if errors:
        return errors
    index = _SYNTAX_ERROR_INDEX.search(message)
    end = int(index[1]) if index else len(text.rstrip())
    return [SourceError(file, text.count("\n", 0, end) + 1, message.strip())]


def _read_node(
    node: Any,
    location: Location,
    lines: dict[Location, int],
    duplicates: list[SourceError],
    file: str,
) -> Any:
    """Convert a syntax node to a plain value and record the line of each part."""
    lines.setdefault(location, getattr(node, "lineno", None) or 1)
    if isinstance(node, json5_model.JSONObject):
        result: dict[str, Any] = {}
        for key_node, value_node in zip(node.keys, node.values, strict=True):
            key = getattr(key_node, "characters", None) or key_node.name
            line = key_node.lineno or 1
            if key in result:
                duplicates.append(SourceError(file, line, f"key {key!r} stands twice"))
            lines[(*location, key)] = line
            result[key] = _read_node(
                value_node, (*location, key), lines, duplicates, file
            )
        return result
    if isinstance(node, json5_model.JSONArray):
        return [
            _read_node(item, (*location, index), lines, duplicates, file)
            for index, item in enumerate(node.values)
        ]
    if isinstance(node, json5_model.UnaryOp):
        value = _read_node(node.value, location, lines, duplicates, file)
        return -value if node.op == "-" else value
    if isinstance(node, json5_model.NullLiteral):
        return None
    if hasattr(node, "characters"):
        return node.characters
    return node.value


def _model_errors(
    error: pydantic.ValidationError,
    file: str,
    lines: dict[Location, int],
    model: type[pydantic.BaseModel],
) -> list[SourceError]:
    """Convert the errors of a model to errors with a line."""
    errors = []
    for detail in error.errors():
        location = tuple(detail["loc"])
        nested = detail.get("ctx", {}).get("error")
        problems = getattr(nested, "problems", None)
        if problems:
            for problem_location, message in problems:
                line = _line_of((*location, *problem_location), lines)
                errors.append(SourceError(file, line, message))
            continue
        name = ".".join(str(part) for part in location) or "document"
        message = f"{name}: {detail['msg']}"
        if detail["type"] == "extra_forbidden":
            message = f"{name}: unknown key{_suggestion(location, model)}"
        errors.append(SourceError(file, _line_of(location, lines), message))
    return errors


def _line_of(location: Location, lines: dict[Location, int]) -> int:
    """Return the line of the nearest enclosing part that exists in the source."""
    while location and location not in lines:
        location = location[:-1]
    return lines.get(location, 1)


def _suggestion(location: Location, model: type[pydantic.BaseModel]) -> str:
    """Return a hint at the known key that is most similar to an unknown one."""
    known = _known_keys(location[:-1], model)
    close = difflib.get_close_matches(str(location[-1]), known, n=1, cutoff=0.5)
    return f"; did you mean {close[0]!r}?" if close else ""


def _known_keys(location: Location, model: type[pydantic.BaseModel]) -> list[str]:
    """Return the keys that a model accepts at a location."""
    current: Any = model
    for part in location:
        if isinstance(part, int):
            continue
        field = current.model_fields.get(part)
        if field is None:
            return []
        current = _inner_model(field.annotation)
        if current is None:
            return []
    return list(current.model_fields)


def _inner_model(annotation: Any) -> Any:
    """Return the model inside an annotation such as a list of models."""
    if isinstance(annotation, type) and issubclass(annotation, pydantic.BaseModel):
        return annotation
    for argument in typing.get_args(annotation):
        found = _inner_model(argument)
        if found is not None:
            return found
    return None
