import copy
import json

import pytest

from sequoiapoint.protocol.document import Document
from sequoiapoint.protocol.jsonc import load_text
from standins import deployments


def load(document):
    return load_text(json.dumps(document, indent=1), "d", Document)


@pytest.mark.parametrize(
    "build", [deployments.tollcross, deployments.crannog, deployments.small]
)
def test_the_sample_deployments_are_valid(build):
    assert load(build()).errors == ()


def change(path, value):
    def apply(document):
        *parents, last = path
        target = document
        for part in parents:
            target = target[part]
        target[last] = value

    return apply


@pytest.mark.parametrize(
    ("edit", "message"),
    [
        (change(["models", 0, "home_zone"], "mars"), "unknown home_zone 'mars'"),
        (change(["adapters", 0, "model"], "none"), "unknown model 'none'"),
        (change(["services", 0, "servers"], ["engine-0"]), "no service server"),
        (change(["services", 0, "promise"], "x"), "unknown promise 'x'"),
        (change(["models", 1, "name"], "m-model-0"), "stands twice"),
        (change(["models", 0, "memory_mb"], 900_000), "memory overcommitted"),
        (change(["older_system"], {"memory_mb_per_server": 150_000}), "overcommitted"),
        (change(["weight_store", "concurrent"], 0), "greater than 0"),
        (change(["modells"], []), "did you mean 'models'"),
    ],
)
def test_an_invalid_part_is_reported_with_its_line(edit, message):
    document = copy.deepcopy(deployments.small())
    edit(document)
    loaded = load(document)
    assert loaded.value is None
    assert any(message in e.message and e.line > 1 for e in loaded.errors)
