"""Checks the layering: each layer imports only itself and the layers below it."""

import ast
import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "sequoiapoint"
LOWER_LAYERS = {
    "protocol": set(),
    "state": {"protocol"},
    "coordination": {"protocol", "state"},
    "transport": {"protocol"},
    "node": {"protocol", "state", "coordination", "transport"},
    "platform": {"protocol"},
    "cli": {"protocol", "transport", "node", "platform"},
}
PURE_LAYERS = ("protocol", "state", "coordination")
IO_MODULES = {"socket", "threading", "time", "pycurl", "cheroot", "random", "select"}
ALLOWED_IO = {("coordination/routing.py", "random")}
PLATFORM_WIRE_NAMES = re.compile(
    r"server-seal|expect-worker|not-run|worker-load|worker-id|prompt-prefix|token-count"
    r"|request-prio|(?<!x-)deadline-ms|keyed\.(op|servers|status)|log-(append|read|newest|join)"
    r"|/sequoiapoint/|cold-ms|kv-(cap|used|total)|at-hand|max-conns|adapter-slots",
    re.IGNORECASE,
)
FORBIDDEN_MODULES = {"subprocess", "multiprocessing", "mmap"}


def imported_modules(path: Path) -> set[str]:
    tree = ast.parse(path.read_text())
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


def product_modules():
    for path in sorted(PACKAGE.rglob("*.py")):
        if not path.name.endswith("_test.py") and path.parent != PACKAGE:
            yield path


@pytest.mark.parametrize("path", list(product_modules()), ids=lambda p: p.name)
def test_a_layer_imports_only_itself_and_lower_layers(path):
    layer = path.relative_to(PACKAGE).parts[0]
    allowed = LOWER_LAYERS[layer] | {layer}
    for name in imported_modules(path):
        parts = name.split(".")
        if parts[0] == "sequoiapoint" and len(parts) > 1:
            assert parts[1] in allowed, f"{path.name} imports {name}"
        assert parts[0] not in FORBIDDEN_MODULES
        assert parts[0] != "standins"


@pytest.mark.parametrize("layer", PURE_LAYERS)
def test_pure_layers_do_no_io(layer):
    for path in (PACKAGE / layer).glob("*.py"):
        if path.name.endswith("_test.py"):
            continue
        relative = f"{layer}/{path.name}"
        for name in imported_modules(path) & IO_MODULES:
            assert (relative, name) in ALLOWED_IO, f"{relative} imports {name}"


@pytest.mark.parametrize(
    "path",
    [p for p in product_modules() if p.parent.name != "platform"],
    ids=lambda p: p.name,
)
def test_platform_wire_names_appear_only_in_the_platform_adapter(path):
    assert not PLATFORM_WIRE_NAMES.search(path.read_text())


def test_the_platform_adapter_imports_neither_coordination_nor_io():
    for path in (PACKAGE / "platform").glob("*.py"):
        imported = imported_modules(path)
        assert not any("coordination" in name for name in imported), path.name
        assert not imported & (IO_MODULES | {"asyncio"}), path.name
