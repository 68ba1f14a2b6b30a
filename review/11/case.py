"""A deregistration that is stored late, while all entries are down, hides a guard whose worker runs a job."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))
sys.dont_write_bytecode = True

from stand_ins import Channel, CannotRun, Worker, job, new_id, now, route, run_case  # noqa: E402

CAPACITY = {"Cpu": 64000, "MemMb": 262144, "Gpu": 8}
ENTRIES = ("entry-a", "entry-b", "entry-c")
DRAIN_S = 2.7  # DrainTimeoutMs and a little longer
LATE_S = 6.0  # platform_lost: "done 1 to 6 s later"
KILL_AT_S = 4.5  # after the write that is lost
DARK_S = 1.6  # herd_kill: for_s
WORK_S = 14.0
# For trials with one of the two faults only.
LOSES = os.environ.get("LOSES", "1") != "0"
KILLS = os.environ.get("KILLS", "1") != "0"


async def play(deployment, record, is_disturbed):
    await deployment.start_store([route("sims", 1)])
    ips = [await deployment.add_node(name, "entry") for name in ENTRIES]
    leaving = await deployment.add_guard("guard-0", "r1-0", CAPACITY)
    other = await deployment.add_guard("guard-1", "r1-0", CAPACITY)
    await deployment.wait_until_ready(ENTRIES)
    await asyncio.sleep(7.0)

    async def submit(work_s, what):
        ident = new_id()
        body = job(f"work_ms={int(work_s * 1000)}", Cpu=26000, MemMb=1000, Gpu=8, EstRuntimeMs=7000)
        status, _ = await Channel((ips[0], 8521)).call("POST", f"/sims/{ident}", body)
        record.say(f"client: POST {ident} ({what}): {status}")
        if status != 200:
            raise CannotRun("a job was not accepted")
        return ident

    lost_at = asyncio.get_running_loop().create_future()

    def lose(topic, keys):
        """The deregistration of the guard: its record twice, the second time without a value."""
        if keys != ["member/guard-0"] * 2 or lost_at.done():
            return None
        lost_at.set_result(now())
        is_lost = is_disturbed and LOSES
        record.say(f"store: the deregistration of guard-0 arrives; {'not answered, done %.1f s later' % LATE_S if is_lost else 'stored'}")
        return LATE_S if is_lost else None

    deployment.store.lose = lose
    await leaving.leave(DRAIN_S)
    filler = await submit(9.0, "fills the other worker")
    try:
        begun = await asyncio.wait_for(lost_at, 20)
    except asyncio.TimeoutError:
        raise CannotRun("the guard has not deregistered") from None
    await asyncio.sleep(0.3)
    # A new worker starts on the machine.
    successor = Worker(record, "i-guard-0-next", "r1-0", CAPACITY, leaving.guard, leaving.address)
    await successor.start()
    deployment.workers.append(successor)
    await asyncio.sleep(max(0.0, begun + 1.4 - now()))
    ident = await submit(WORK_S, "the job that is watched")
    while now() < begun + KILL_AT_S:
        await asyncio.sleep(0.02)
    if not any(s[1].startswith(ident) for s in successor.starts):
        raise CannotRun("the job does not run on the new worker")
    if is_disturbed and KILLS:
        for name in ENTRIES:
            deployment.signal(name, signal.SIGKILL)
        await asyncio.sleep(DARK_S)
        for name in ENTRIES:
            deployment.processes[name].wait()
            deployment.start_process(name)

    end = now() + WORK_S + 6.0
    while now() < end:
        await asyncio.sleep(0.1)
    runs = []
    for worker in deployment.workers:
        for at, task, run, _ in worker.starts:
            if task.startswith(ident):
                ends = [e for e in worker.ends if e[1:3] == (task, run)]
                runs.append((at, ends[0][0] if ends else now(), task, run, worker.ident, ends[0][3] if ends else "runs"))
    runs.sort()
    for at, until, task, run, where, how in runs:
        record.say(f"{task} run {run} on {where}: {at - begun:.2f} to {until - begun:.2f} s after the deregistration was sent, {how}")
    broken = False
    for first, second in zip(runs, runs[1:]):
        overlap = min(first[1], second[1]) - second[0]
        if overlap > 0:
            record.say(f"run {first[3]} on {first[4]} and run {second[3]} on {second[4]} at the same time for {overlap:.2f} s")
            broken = True
    return broken


run_case(FOLDER, play)
