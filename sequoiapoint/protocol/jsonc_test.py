import json

import pytest

from sequoiapoint.protocol.jsonc import load_file, load_text
from sequoiapoint.protocol.settings import Settings

VALID = """{
  // where this host is
  "host": "a-0", "site": "s", "zone": "a",
  "address": "127.0.0.1:80", "peer_address": "127.0.0.1:81",
  "platform": "127.0.0.1:82" /* the log */
}
"""


def test_comments_are_allowed():
    loaded = load_text(VALID, "f", Settings)
    assert loaded.errors == ()
    assert loaded.value.host == "a-0"


@pytest.mark.parametrize(
    ("old", "new", "line", "message"),
    [
        ('"zone": "a"', '"zone": 3', 3, "zone: "),
        ('"zone": "a"', '"zonne": "a"', 3, "did you mean 'zone'"),
        ('"platform"', '"limits": {"thread": 3}, "platform"', 5, "'threads'"),
        ('"site": "s"', '"site": "s", "site": "t"', 3, "stands twice"),
        ('"127.0.0.1:80"', '"example.org:80"', 4, "address: "),
        ('"site": "s",', '"site" "s",', 3, "Syntax Error"),
        ('"platform": "127.0.0.1:82"', "", 1, "platform: Field required"),
        ('"platform"', '"limits": {"threads": -1}, "platform"', 5, "threads: "),
    ],
)
def test_errors_contain_the_line_number(old, new, line, message):
    loaded = load_text(VALID.replace(old, new), "f", Settings)
    assert loaded.value is None
    assert any(e.line == line and message in e.message for e in loaded.errors)


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ('{\n // comment\n "a": @\n}', 3),
        ('{\n\n"a": 1', 3),
        ('{\n/* open\n "a": 1}', 2),
        ("", 1),
    ],
)
def test_syntax_errors_contain_the_line_number(text, line):
    loaded = load_text(text, "f", Settings)
    assert [error.line for error in loaded.errors] == [line]


def test_all_errors_are_reported():
    text = VALID.replace('"zone": "a"', '"zone": 1').replace('"site"', '"sight"')
    lines = [str(e) for e in load_text(text, "f", Settings).errors]
    assert len(lines) == 3
    assert all(line.startswith("f:") for line in lines)


def test_a_missing_file_is_reported_as_an_error():
    loaded = load_file("/nonexistent/settings.json", Settings)
    assert "cannot be read" in loaded.errors[0].message


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"limits": {"body_timeout_s": "BODY"}},
        {"zone": "é\u00fc\n\U0001f600"},
        {"unknown": None, "seeds": ["1.2.3.4:5", 6]},
        {"limits": {"threads": 2**70}},
    ],
)
@pytest.mark.parametrize("number", ["2000e-3", "-1.5E+2", "NaN", "true", "1"])
def test_plain_json_is_read_as_with_comments(fields, number):
    """Guards against differences between the two parsers."""
    document = {
        "host": "a-0", "site": "s", "zone": "a", "address": "127.0.0.1:80",
        "peer_address": "127.0.0.1:81", "platform": "127.0.0.1:82",
    }  # fmt: skip
    text = json.dumps(document | fields, indent=1, ensure_ascii=False)
    text = text.replace('"BODY"', number)
    plain, commented = (load_text(text + c, "f", Settings) for c in ("", "// remark"))
    assert plain == commented
