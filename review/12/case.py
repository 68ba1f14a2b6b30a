"""A job whose cancelling was acknowledged with 410 runs, because its submission is stored late."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))
sys.dont_write_bytecode = True

from stand_ins import Channel, CannotRun, job, new_id, now, route, run_case  # noqa: E402

CAPACITY = {"Cpu": 64000, "MemMb": 262144, "Gpu": 8}
WORKERS = 3
CANCEL_S = 3.0  # cancel_ms
CONTACT_S = 4.0  # ContactTimeoutMs
LOST_S = 1.5  # for_s of platform_lost; 4.5 at most
LATE_S = 6.0  # "done 1 to 6 s later"
LOST_SHARE = 0.35  # x of platform_lost
BUSY_S = 13.0  # the workers are full for so long


async def play(deployment, record, is_disturbed):
    await deployment.start_store([route("sims", 1), route("batch", 2)])
    ip_a = await deployment.add_node("entry-a", "entry")
    ip_b = await deployment.add_node("entry-b", "entry")
    for i in range(WORKERS):
        await deployment.add_guard(f"guard-{i}", "r1-0", CAPACITY)
    await deployment.wait_until_ready(["entry-a", "entry-b"])
    await asyncio.sleep(6.0)
    at_a, at_b = Channel((ip_a, 8521)), Channel((ip_b, 8521))

    work = job(f"work_ms={int((BUSY_S + 1) * 1000)}", WORKERS, Cpu=1000, MemMb=100, Gpu=8, EstRuntimeMs=9000)
    status, _ = await at_a.call("POST", f"/sims/{new_id()}", work)
    record.say(f"client: POST of a job that fills all workers: {status}")
    await asyncio.sleep(1.0)
    if sum(len(w.runs) for w in deployment.workers) != WORKERS:
        raise CannotRun("the workers are not full")

    ident = new_id()
    begun = now()
    store = deployment.store
    writes, lost = store.writes, store.lost_writes
    if is_disturbed:
        def lose(topic, keys):
            is_lost = now() < begun + LOST_S and any(ident in key for key in keys)
            return LATE_S if is_lost else None
        store.lose = lose
        record.say(f"store: some answers are lost for {LOST_S} s, and these writes are done {LATE_S} s later")

    async def others():
        """Other clients, whose jobs are stored and answered as usual."""
        channel = Channel((ip_b, 8521))
        while now() < begun + LOST_S:
            other = new_id()
            status, _ = await channel.call("POST", f"/batch/{other}", job("work_ms=100", Cpu=100, MemMb=10, EstRuntimeMs=100))
            record.write(f"client: POST {other} at entry-b: {status}")
            await asyncio.sleep(0.15)

    beside = asyncio.create_task(others())
    status, answer = await at_a.call("POST", f"/batch/{ident}", job("work_ms=500 of-the-client-that-left", Cpu=1000, MemMb=100, Gpu=1, EstRuntimeMs=500))
    record.say(f"client: POST {ident} at entry-a: {status} {answer} after {now() - begun:.2f} s")
    await beside
    writes, lost = store.writes - writes, store.lost_writes - lost
    record.say(f"store: {lost} of {writes} writes were not answered")
    if lost > LOST_SHARE * writes:
        raise CannotRun("more writes were lost than the pages say")
    acknowledged = None
    for name, channel in (("entry-a", at_a), ("entry-b", at_b)):
        status, answer = await channel.call("DELETE", f"/batch/{ident}")
        record.say(f"client: DELETE {ident} at {name}: {status} {answer}")
        if status is not None and (200 <= status < 300 or status == 410):
            acknowledged = now()
    if acknowledged is None:
        raise CannotRun("the cancelling was not acknowledged")

    while now() < begun + BUSY_S + 6.0:
        await asyncio.sleep(0.1)
    status, answer = await Channel((ip_a, 8521)).call("GET", f"/batch/{ident}")
    record.say(f"client: GET {ident} at entry-a: {status} {answer}")
    starts = [s for w in deployment.workers for s in w.starts if s[1].startswith(ident)]
    late = [s for s in starts if s[0] > acknowledged + CANCEL_S]
    for at, task, run, spec in late:
        record.say(f"worker: {task} run {run} started {at - acknowledged:.2f} s after the cancelling was acknowledged, {at - begun - LOST_S - CONTACT_S:.2f} s after the machines were in touch again")
    return any(s[0] > begun + LOST_S + LATE_S + CONTACT_S for s in late)


run_case(FOLDER, play)
