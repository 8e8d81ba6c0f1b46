"""A manifest grows by many routes, on links of 10 Mbit/s. Nodes that don't watch
the store keep the manifest of before, and place flows on a route that a later
manifest removed."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from corrib_wicker import (  # noqa: E402
    ENDPOINTS,
    FRONTENDS,
    ORDER_DESK,
    PATTERN_LIBRARY,
    STOCK_CHECK_LIMIT_S,
    ZONES,
    manifest,
    pattern_sheet,
    route,
    stock_check,
)
from deployment import Deployment, run_case  # noqa: E402

# Figures of grown/miara-centrala-grown.toml.
LINK_MBPS = 10
CONFIG_APPLY_S = 5.0
MORE_ROUTES = 1480
PAUSE_S = 6.0
FLOWS_PER_ZONE = 30
DROPPED = ("198.18.0.3", 80)


def version(number, idle_routes, dropped):
    routes = [stock_check(service=ORDER_DESK), pattern_sheet(service=PATTERN_LIBRARY)]
    if not dropped:
        routes.append(route("dropped", DROPPED, "safe", STOCK_CHECK_LIMIT_S, service=ORDER_DESK))
    for index in range(idle_routes):
        address = (f"198.18.{1 + index // 250}.{1 + index % 250}", 8443)
        name = f"r-idle{index:05d}"
        routes.append(route(name, address, "safe", STOCK_CHECK_LIMIT_S, service=ORDER_DESK))
    return manifest(number, routes)


async def main(trouble, folder):
    deployment = Deployment(folder, FRONTENDS, ENDPOINTS, LINK_MBPS)
    loop = asyncio.get_running_loop()
    more = MORE_ROUTES if trouble else 0
    try:
        await deployment.start(version(1, 0, False))
        for number, idle_routes in ((2, more), (3, 2 * more)):
            await deployment.store.put("config", "main", version(number, idle_routes, False))
            await asyncio.sleep(PAUSE_S)
        await deployment.store.put("config", "main", version(4, 2 * more, True))
        acknowledged_at = loop.time()
        await asyncio.sleep(PAUSE_S)
        since = loop.time() - acknowledged_at
        flows = [
            deployment.consumers[zone].flow(DROPPED)
            for zone in ZONES
            for _ in range(FLOWS_PER_ZONE)
        ]
        answers = []
        for flow in flows:
            answers.append(deployment.spawn(flow.request(STOCK_CHECK_LIMIT_S)))
            await asyncio.sleep(0.02)
        outcomes = [answer.outcome for answer in await asyncio.gather(*answers)]
        taken = [key for e in deployment.endpoints for _, key in e.taken if key[1] == DROPPED]
        if taken and since > CONFIG_APPLY_S:
            deployment.violation(
                "CONFIG",
                f"endpoints took {len(taken)} flows on a dropped route, which were opened "
                f"{since:.1f} s or more after the acknowledgement of the manifest",
            )
        for outcome in sorted(set(outcomes)):
            count = f"{outcomes.count(outcome)} of {len(outcomes)}"
            print(f"{count} requests on the dropped route: {outcome}")
    finally:
        deployment.close()
    return deployment


run_case(HERE, "CONFIG", main)
