"""A worker is lost for good while jobs wait; what `Pending` says of the jobs that have not begun."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from stand_ins import *  # noqa: E402

WORKERS = 8
CAPACITY = {"Cpu": 128000, "MemMb": 262144, "Gpu": 8}
BIG_STEP = {"Count": 1, "Cpu": 52000, "MemMb": 75000, "Gpu": 8, "EstRuntimeMs": 11000}
SMALL_STEP = {"Count": 1, "Cpu": 11000, "MemMb": 16000, "Gpu": 1, "EstRuntimeMs": 6100}
JOBS = 10
VISIBLE_S = 3
PENDING_AGE_S = 2


async def case(deployment, with_trouble):
    await deployment.start(3, WORKERS, config(), CAPACITY)
    await deployment.wait_until_ready()
    await asyncio.sleep(10)
    client = Client(deployment)
    for _ in range(WORKERS - 1):
        body = {"Spec": "work_ms=25000", "Steps": [BIG_STEP]}
        if not await client.submit("crashdump", job_name(), body):
            raise CannotRun("a large job is not accepted")
    await asyncio.sleep(1.5)
    idle = [w for w in deployment.workers if not w.runs]
    if len(idle) != 1:
        raise CannotRun("%d workers are idle" % len(idle))
    if with_trouble:
        idle[0].crash()
        deployment.record("%s is lost for good" % idle[0].name)
    names = [job_name() for _ in range(JOBS)]
    body = {"Spec": "work_ms=9000", "Steps": [SMALL_STEP]}
    accepted = await asyncio.gather(*[client.submit("dupesweep", n, body) for n in names])
    if not all(accepted):
        raise CannotRun("a small job is not accepted")
    await asyncio.sleep(VISIBLE_S + PENDING_AGE_S + 0.5)
    broken = False
    for i in range(len(deployment.entries)):
        status, answer = await client.call("GET", "dupesweep", entry=i)
        begun = {t.split(".")[0] for w in deployment.workers for _, t, _ in w.start_log}
        waiting = [n for n in names if n not in begun]
        deployment.record(
            "GET dupesweep/ at entry %d -> %s %s; %d accepted jobs have not begun"
            % (i + 1, status, answer, len(waiting))
        )
        if status == 200 and answer["Pending"] * 2 < len(waiting):
            broken = True
    for name in names:
        status, answer = await client.call("GET", "dupesweep", name)
        deployment.record("GET dupesweep/%s -> %s %s" % (name, status, answer))
    return broken


# With TROUBLE=0 the case is played without the disruption, and the rule has to hold.
play(case, os.path.join(HERE, "record.txt"), with_trouble=os.environ.get("TROUBLE", "1") != "0")
