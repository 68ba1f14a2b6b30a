"""A gang that waits for one busy worker keeps every other worker idle, and later jobs never start."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))
sys.dont_write_bytecode = True

from stand_ins import Channel, CannotRun, job, new_id, now, route, run_case  # noqa: E402

CAPACITY = {"Cpu": 64000, "MemMb": 262144, "Gpu": 8}
WORKERS = 4
FINISH_S = 14.0  # finish_s
IDLE_S = 3.0  # "for 3 s, a job has nothing running"
LONG_MS = 60000  # the longest work of the sheet's uneven customer is 99,000 ms


async def submit(channel, record, queue, body, what):
    ident = new_id()
    status, _ = await channel.call("POST", f"/{queue}/{ident}", body)
    record.say(f"client: POST {what} {ident} to {queue}: {status}")
    if status != 200:
        raise CannotRun(f"{what} was not accepted")
    return ident


async def play(deployment, record, is_disturbed):
    await deployment.start_store([route("sims", 1), route("batch", 2)])
    ip = await deployment.add_node("entry-a", "entry")
    await deployment.add_node("entry-b", "entry")
    for i in range(WORKERS):
        await deployment.add_guard(f"guard-{i}", f"r1-{i // 3}", CAPACITY)
    await deployment.wait_until_ready(["entry-a", "entry-b"])
    channel = Channel((ip, 8521))
    await asyncio.sleep(6.0)

    long = await submit(channel, record, "sims", job(f"work_ms={LONG_MS}", Cpu=26000, MemMb=1000, Gpu=8, EstRuntimeMs=9400), "long job")
    await asyncio.sleep(2.0)
    if is_disturbed:
        gang = job("work_ms=3000", WORKERS, Cpu=26000, MemMb=1000, Gpu=8, EstRuntimeMs=9400, GangScheduled=True)
        await submit(channel, record, "sims", gang, "large job")
        await asyncio.sleep(1.0)
    small = [
        await submit(channel, record, "batch", job("work_ms=500", Cpu=5600, MemMb=1000, Gpu=1, EstRuntimeMs=500), "small job")
        for _ in range(3)
    ]
    traffic_end = now()

    def starts_of(ident):
        return [s for w in deployment.workers for s in w.starts if s[1].startswith(ident)]

    def used_share():
        return sum(CAPACITY["Gpu"] * 1.0 for w in deployment.workers if w.runs) / (WORKERS * CAPACITY["Gpu"])

    if not starts_of(long):
        raise CannotRun("the long job has not started")
    while now() < traffic_end + FINISH_S:
        await asyncio.sleep(0.1)
    broken = False
    for ident in small:
        status, answer = await channel.call("GET", f"/batch/{ident}")
        record.say(f"client: GET {ident} {FINISH_S:.0f} s after the end of the traffic: {status} {answer}")
    idle_since = now()
    while now() < idle_since + IDLE_S + 0.5:
        waiting = [i for i in small if not starts_of(i)]
        if not waiting or used_share() >= 0.5:
            record.say(f"waiting: {len(waiting)}, used share {used_share():.2f}")
            return False
        await asyncio.sleep(0.05)
    waited = now() - traffic_end
    record.say(f"{len(waiting)} small jobs have nothing running {waited:.1f} s after their confirmation; {used_share():.2f} of the accelerators are in use, {WORKERS - 1} of {WORKERS} workers are empty")
    # What follows is for the record only: how long they wait.
    while now() < traffic_end + LONG_MS / 1000 + 10 and any(not starts_of(i) for i in small):
        await asyncio.sleep(0.2)
    started = [s for i in small for s in starts_of(i)]
    record.say(f"{len(started)} of {len(small)} small jobs have started {now() - traffic_end:.1f} s after their confirmation")
    return True


run_case(FOLDER, play)
