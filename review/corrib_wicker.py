"""Machines, services and manifests of the small deployment corrib-wicker
(SYSTEM.md, Wicker Workshop Hosting on Snipepost)."""

ZONE_A, ZONE_B, ZONE_C = ZONES = ("ie-west-a", "ie-west-b", "ie-west-c")
ORDER_DESK, PATTERN_LIBRARY = SERVICES = ("order-desk", "pattern-library")
FRONTENDS = (ZONE_A,) * 3 + (ZONE_B,) * 2 + (ZONE_C,)
ENDPOINTS = (
    [(ORDER_DESK, ZONE_A)] * 3
    + [(ORDER_DESK, ZONE_B)] * 2
    + [(ORDER_DESK, ZONE_C)] * 2
    + [(PATTERN_LIBRARY, zone) for zone in ZONES]
)
STOCK_CHECK = ("198.18.0.1", 8443)
PATTERN_SHEET = ("198.18.0.2", 8443)
STOCK_CHECK_LIMIT_S = 2.0
PATTERN_SHEET_LIMIT_S = 8.0
IDLE_TIMEOUT_S = 15.0


def route(name, address, kind, limit_s, **target):
    """target: service=NAME, or backends=[...] with weights."""
    return {
        "name": name,
        "host": address[0],
        "path_prefix": f"/{address[1]}/",
        "type": kind,
        "timeout_ms": int(limit_s * 1000),
        "target_latency_ms": 500 if kind == "download" else 150,
        "priority": 2,
        "max_attempts": 2,
        **target,
    }


def stock_check(**target):
    return route("stock-check", STOCK_CHECK, "safe", STOCK_CHECK_LIMIT_S, **target)


def pattern_sheet(**target):
    return route("pattern-sheet", PATTERN_SHEET, "download", PATTERN_SHEET_LIMIT_S, **target)


def manifest(version=1, routes=None):
    return {
        "version": version,
        "routes": routes
        or [stock_check(service=ORDER_DESK), pattern_sheet(service=PATTERN_LIBRARY)],
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "max_connections": 2000,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 2.0,
                "cold_per_s": 44.0,
            }
            for service in SERVICES
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": int(IDLE_TIMEOUT_S * 1000),
        },
    }
