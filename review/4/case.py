"""A zone is evacuated while consumers hold flows open at one of its endpoints.
A flow that pauses, and whose next request follows during the evacuation, is
reset by the system, though its endpoint is running."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from corrib_wicker import (  # noqa: E402
    ENDPOINTS,
    FRONTENDS,
    PATTERN_SHEET,
    PATTERN_SHEET_LIMIT_S,
    ZONE_A,
    manifest,
)
from deployment import Deployment, run_case  # noqa: E402

EVACUATION_S = 8.0
PAUSING_FLOWS = 8
BUSY_FLOWS = 6
BUSY_PAUSE_S = 0.3
PAUSE_BEFORE_EVACUATION_S = 8.8
REQUEST_AFTER_EVACUATION_S = 2.8


async def busy_consumer(consumer):
    """Sends one request after another on a flow, and opens another flow when a
    request isn't answered."""
    flow = consumer.flow(PATTERN_SHEET)
    while True:
        answer = await flow.request(PATTERN_SHEET_LIMIT_S)
        if answer.outcome != "served":
            flow.give_up()
            flow = consumer.flow(PATTERN_SHEET)
        await asyncio.sleep(BUSY_PAUSE_S)


async def evacuate(deployment):
    await deployment.store.put("evacuations", ZONE_A, {})
    await asyncio.sleep(EVACUATION_S)
    await deployment.store.remove("evacuations", ZONE_A)


async def main(trouble, folder):
    deployment = Deployment(folder, FRONTENDS, ENDPOINTS)
    try:
        await deployment.start(manifest())
        consumer = deployment.consumers[ZONE_A]
        for _ in range(BUSY_FLOWS):
            deployment.spawn(busy_consumer(consumer))
        pausing = [consumer.flow(PATTERN_SHEET) for _ in range(PAUSING_FLOWS)]
        for flow in pausing:
            await flow.request(PATTERN_SHEET_LIMIT_S)
        await asyncio.sleep(PAUSE_BEFORE_EVACUATION_S)
        if trouble:
            deployment.spawn(evacuate(deployment))
        await asyncio.sleep(REQUEST_AFTER_EVACUATION_S)
        answers = await asyncio.gather(
            *(flow.request(PATTERN_SHEET_LIMIT_S) for flow in pausing)
        )
        outcomes = [answer.outcome for answer in answers]
        for outcome in sorted(set(outcomes)):
            print(f"{outcomes.count(outcome)} of {len(outcomes)} second requests: {outcome}")
    finally:
        deployment.close()
    return deployment


run_case(HERE, "FLOW", main)
