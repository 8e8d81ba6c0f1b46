"""A manifest sends the new flows of two routes to another service, while flows
are open at the earlier one. When the frontend machines of the zone are then
stopped and started in turn, the system resets these flows, though their
endpoints are running. One route names its service in the field service, the
other one splits its flows by weights."""

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
    PATTERN_SHEET,
    STOCK_CHECK,
    STOCK_CHECK_LIMIT_S,
    ZONE_B,
    manifest,
    pattern_sheet,
    stock_check,
)
from deployment import Deployment, run_case  # noqa: E402

FLOWS_PER_ROUTE = 8
REQUEST_PAUSE_S = 1.0
CALM_S = 5.0
ROLL_GAP_S = 2.0


def split(order_desk, pattern_library):
    weights = {ORDER_DESK: order_desk, PATTERN_LIBRARY: pattern_library}
    return [{"service": name, "weight": weight} for name, weight in weights.items()]


def before():
    routes = [stock_check(service=ORDER_DESK), pattern_sheet(backends=split(50, 50))]
    return manifest(1, routes)


def after():
    routes = [stock_check(service=PATTERN_LIBRARY), pattern_sheet(backends=split(100, 0))]
    return manifest(2, routes)


class Consumers:
    """Flows that send a request a second until they end."""

    def __init__(self, deployment):
        self._loop = asyncio.get_running_loop()
        self._until = float("inf")
        self.outcomes = {STOCK_CHECK: [], PATTERN_SHEET: []}
        consumer = deployment.consumers[ZONE_B]
        self._tasks = [
            deployment.spawn(self._consume(consumer.flow(route), self.outcomes[route]))
            for route in self.outcomes
            for _ in range(FLOWS_PER_ROUTE)
        ]

    async def _consume(self, flow, outcomes):
        while self._loop.time() < self._until:
            answer = await flow.request(STOCK_CHECK_LIMIT_S)
            outcomes.append(answer.outcome)
            if answer.outcome != "served":
                return
            await asyncio.sleep(REQUEST_PAUSE_S)

    async def finish(self):
        self._until = self._loop.time() + CALM_S
        await asyncio.gather(*self._tasks)


async def main(trouble, folder):
    deployment = Deployment(folder, FRONTENDS, ENDPOINTS)
    try:
        await deployment.start(before())
        consumers = Consumers(deployment)
        await asyncio.sleep(CALM_S)
        if trouble:
            await deployment.store.put("config", "main", after())
        await asyncio.sleep(CALM_S)
        for entry in deployment.entries:
            if entry.zone == ZONE_B:
                await entry.restart()
                await asyncio.sleep(ROLL_GAP_S)
        await consumers.finish()
        for route, outcomes in consumers.outcomes.items():
            for outcome in sorted(set(outcomes)):
                count = f"{outcomes.count(outcome)} of {len(outcomes)}"
                print(f"route {route[0]}: {count} requests {outcome}")
    finally:
        deployment.close()
    return deployment


run_case(HERE, "FLOW", main)
