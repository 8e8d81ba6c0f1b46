"""The frontend machine of a zone freezes and wakes again. Flows whose opening
packets it had not read were opened through other machines meanwhile. Some of
them are sent to endpoints that don't hold them from then on."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from corrib_wicker import (  # noqa: E402
    ENDPOINTS,
    FRONTENDS,
    STOCK_CHECK,
    STOCK_CHECK_LIMIT_S,
    ZONE_C,
    manifest,
)
from deployment import Deployment, run_case  # noqa: E402

FREEZE_S = 4.0
FLOWS = 24
FLOWS_PER_S = 12
PAUSE_S = 9.6


async def main(trouble, folder):
    deployment = Deployment(folder, FRONTENDS, ENDPOINTS)
    loop = asyncio.get_running_loop()
    try:
        await deployment.start(manifest())
        consumer = deployment.consumers[ZONE_C]
        frozen = next(entry for entry in deployment.entries if entry.zone == ZONE_C)
        if trouble:
            frozen.process.send_signal(signal.SIGSTOP)
            deployment.record.write(frozen.name, "freezes")
        wake_at = loop.time() + FREEZE_S
        flows = []
        first = []
        for _ in range(FLOWS):
            flow = consumer.flow(STOCK_CHECK)
            flows.append(flow)
            first.append(deployment.spawn(flow.request(STOCK_CHECK_LIMIT_S)))
            await asyncio.sleep(1 / FLOWS_PER_S)
        await asyncio.sleep(wake_at - loop.time())
        if trouble:
            frozen.process.send_signal(signal.SIGCONT)
            deployment.record.write(frozen.name, "wakes")
        await asyncio.sleep(PAUSE_S)
        opened = [flow for flow in flows if flow.state == "open"]
        judged_from = loop.time()
        answers = await asyncio.gather(*(flow.request(STOCK_CHECK_LIMIT_S) for flow in opened))
        await asyncio.sleep(1.0)
        deployment.check_deliveries(judged_from)
        outcomes = [answer.outcome for answer in answers]
        print(f"{len(opened)} of {FLOWS} flows were opened")
        for outcome in sorted(set(outcomes)):
            print(f"{outcomes.count(outcome)} of {len(outcomes)} second requests: {outcome}")
    finally:
        deployment.close()
    return deployment


run_case(HERE, "FLOW", main)
