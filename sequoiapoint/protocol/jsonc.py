"""Loading of JSON with comments into validated models.

Operators edit settings and documents by hand, so loading reports every error found,
each with file and line, instead of stopping at the first.
"""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import pydantic

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)
Location = tuple[str | int, ...]


@dataclass(frozen=True)
class SourceError:
    """An error in an operator's file.

    :param file: The name of the file.
    :param line: The line number, from 1.
    :param message: A description of the error, with a suggested fix where possible.
    """

    file: str
    line: int
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.message}"


@dataclass(frozen=True)
class LoadResult:
    """The result of loading a file or text.

    :param value: The validated model, or None if there are errors.
    :param errors: All errors, ordered by line.
    """

    value: Any
    errors: tuple[SourceError, ...]


def load_file(path: str, model: type[ModelT]) -> LoadResult:
    """Load and validate a file.

    :param path: The path of the file.
    :param model: The pydantic model to validate the file against.
    :return: The model, or all errors.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return LoadResult(None, (SourceError(path, 1, f"cannot be read: {error}"),))
    return load_text(text, path, model)


def load_text(text: str, file: str, model: type[ModelT]) -> LoadResult:
    """Load and validate a text.

    :param text: JSON, with comments allowed.
    :param file: The file name to use in errors.
    :param model: The pydantic model to validate the text against.
    :return: The model, or all errors.
    """
    try:
        value = json.loads(
            text, object_pairs_hook=_without_duplicates, parse_constant=_reject_constant
        )
        return LoadResult(model.model_validate(value), ())
    except (ValueError, RecursionError):
        # Imported here, as the JSON5 parser takes a tenth of the start of a process.
        from sequoiapoint.protocol import json5_source

        return json5_source.load(text, file, model)


def _without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object; raise a ``ValueError`` if a key stands twice."""
    result = dict(pairs)
    if len(result) < len(pairs):
        raise ValueError("a key stands twice")
    return result


def _reject_constant(name: str) -> NoReturn:
    """Raise a ``ValueError`` for a number that is not finite."""
    raise ValueError(f"{name} is not plain JSON")


class InvalidModelError(ValueError):
    """Several validation errors of one model, each with a location.

    :param problems: Pairs of a location relative to the model and a message.
    """

    def __init__(self, problems: list[tuple[Location, str]]) -> None:
        super().__init__("; ".join(message for _, message in problems))
        self.problems = problems
