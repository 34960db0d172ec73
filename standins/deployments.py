"""Configuration documents of two deployments and of a small one for tests.

The sizes of the two deployments are those that their users stated.
"""

from typing import Any

MB_PER_GB = 1_000
ENGINE_MEMORY_MB = 160 * MB_PER_GB


def _service_classes() -> list[dict[str, Any]]:
    return [
        {"name": "interactive", "deadline_ms": 10_000, "priority": 1},
        {
            "name": "batch",
            "deadline_ms": 60_000,
            "first_token_ms": 30_000,
            "priority": 7,
        },
        {
            "name": "once",
            "deadline_ms": 8_000,
            "priority": 0,
            "repeatable": False,
        },
    ]


def _document(
    zones: list[str],
    prefix: str,
    models: int,
    adapters: int,
    loads_per_s: float,
    max_concurrent_loads: int,
    services: list[str],
    move_price: float,
) -> dict[str, Any]:
    engine_zones = [zones[i % len(zones)] for i in range(5)]
    servers = [
        {
            "name": f"engine-{i}",
            "address": "127.0.0.1:1",
            "zone": zone,
            "kind": "engine",
            "accelerators": 4,
            "memory_mb": ENGINE_MEMORY_MB,
            "checks_fencing": i % 2 == 0,
        }
        for i, zone in enumerate(engine_zones)
    ]
    servers += [
        {
            "name": f"service-{i}",
            "address": "127.0.0.1:1",
            "zone": zones[i % len(zones)],
            "kind": "service",
        }
        for i in range(4)
    ]
    return {
        "zones": zones,
        "servers": servers,
        "models": [
            {
                "name": f"{prefix}-model-{i}",
                "memory_mb": (12 + 3 * (i % 5)) * MB_PER_GB,
                "home_zone": zones[i % len(zones)],
            }
            for i in range(models)
        ],
        "adapters": [
            {
                "name": f"{prefix}-adapter-{i}",
                "model": f"{prefix}-model-{i % models}",
                "memory_mb": 400,
            }
            for i in range(adapters)
        ],
        "services": [
            {
                "name": name,
                "servers": [f"service-{i}" for i in range(4)],
                "home_zone": zones[0],
                "promise": "once" if name == "key-release" else "interactive",
            }
            for name in services
        ],
        "promises": _service_classes(),
        "weight_store": {
            "loads_per_s": loads_per_s,
            "concurrent": max_concurrent_loads,
        },
        "older_system": {"memory_mb_per_server": 20 * MB_PER_GB},
        "move_price": move_price,
    }


def tollcross() -> dict[str, Any]:
    """Return the document of the Tollcross deployment.

    It has 4 zones, 17 models, 60 adapters, 5 engines and 4 service servers.
    """
    zones = ["leith", "gorgie", "partick", "govan"]
    services = ["key-release", "parcel-tag", "log-lookup"]
    return _document(zones, "desk", 17, 60, 1.0, 7, services, 4.0)


def crannog() -> dict[str, Any]:
    """Return the document of the Crannog deployment.

    It has 4 zones, 13 models, 60 adapters, 5 engines and 4 service servers.
    """
    zones = ["dub-a", "dub-b", "kildare", "wicklow"]
    services = ["map-tiles", "species-lookup"]
    return _document(zones, "canopy", 13, 60, 1.9, 6, services, 0.5)


def small() -> dict[str, Any]:
    """Return a small document for tests: 2 zones, 3 engines, 2 service servers."""
    document = _document(["north", "south"], "m", 3, 2, 8.0, 6, ["key-release"], 1.0)
    engines = [s for s in document["servers"] if s["kind"] == "engine"][:3]
    services = [s for s in document["servers"] if s["kind"] == "service"][:2]
    document["servers"] = engines + services
    document["models"][0]["copies"] = 2
    for service in document["services"]:
        service["servers"] = ["service-0", "service-1"]
    return document
