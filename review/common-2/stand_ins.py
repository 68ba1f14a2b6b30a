"""Stand-ins of the platform's store and of workers, and the processes of a small deployment.

The scripts of the cases 6 to 10 use it. Everything listens on loopback addresses of one subnet that
is free at the start.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = [os.path.join(ROOT, "target", "release", "limpetquay"), "platform"]

# The limits of the store, as the settings of a process name them.
RECORD_BYTES = 262144
REQUEST_BYTES = 2097152
READ_BYTES = 1024 * 1024
PAGE_ITEMS = 500

MAX_HOLD_MS = 6000
STOP_MS = 200
HEARTBEAT_MS = 1500

# A case has to end within 120 s, its processes included.
MAX_CASE_S = 110


class CannotRun(Exception):
    """The case cannot be played on this machine."""


def now_ms():
    return time.monotonic() * 1000


# HTTP -------------------------------------------------------------------------------------------


class Request:
    def __init__(self, method, path, query, headers, body):
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body


async def read_message(reader):
    """Reads the first line, the headers and the body of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """An HTTP server. The handler returns a status and a body, or None to give no answer."""

    def __init__(self, ip, port, handler):
        self.ip, self.port, self.handler = ip, port, handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=4 << 20, backlog=512
        )

    def stop(self):
        """Stops listening and resets all channels, as the end of a process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ")
                path, _, text = target.partition("?")
                query = dict(p.partition("=")[::2] for p in text.split("&") if p)
                request = Request(method, path, query, headers, body)
                answer = await self.handler(request)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(content))
                    + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(ip, port, method, path, body=None, headers=None, timeout=3.0, source=None):
    """Makes one HTTP call on a channel of its own; the status is None without an answer."""

    async def exchange():
        local = (source, 0) if source else None
        reader, writer = await asyncio.open_connection(ip, port, limit=4 << 20, local_addr=local)
        try:
            content = b"" if body is None else json.dumps(body).encode()
            lines = ["%s %s HTTP/1.1" % (method, path)]
            lines += ["%s: %s" % h for h in (headers or {}).items()]
            lines += ["Content-Type: application/json", "Content-Length: %d" % len(content)]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            message = await read_message(reader)
            if message is None:
                return None, None
            line, _, text = message
            try:
                return int(line.split(" ")[1]), json.loads(text)
            except ValueError:
                return int(line.split(" ")[1]), text.decode("latin-1")
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None, None


# The store --------------------------------------------------------------------------------------


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.epoch = 0
        self.sequence = 0
        self.answers = {}


class Store:
    """The platform's store as a log. Its answers take 4 ms."""

    def __init__(self, record):
        self.topics = {}
        self.changed = asyncio.Event()
        self.record = record
        self.refused = 0
        self.largest_refused = 0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        """Writes a record as the operator does."""
        self.push(self.topic(name), key.encode(), value)

    def push(self, topic, key, value):
        topic.records.append((key, value))
        if value:
            topic.newest[key] = (value, len(topic.records) - 1)
        else:
            topic.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request):
        await asyncio.sleep(0.004)
        topic = self.topic(request.query["Topic"])
        if request.path == "/log-append":
            return self.append(topic, request)
        if request.path == "/log-read":
            return await self.read(topic, request)
        if request.path == "/log-newest":
            return self.list_newest(topic, request)
        return 404, {}

    def append(self, topic, request):
        body, records, at = request.body, [], 0
        largest = 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            content = body[at + 4 : at + 4 + length]
            largest = max(largest, length)
            key_length = content[0]
            records.append((content[1 : 1 + key_length], content[1 + key_length :]))
            at += 4 + length
        if largest > RECORD_BYTES or len(body) > REQUEST_BYTES:
            self.refused += 1
            self.largest_refused = max(self.largest_refused, largest)
            if self.refused <= 5:
                self.record(
                    "store refused an append: largest record %d of at most %d bytes, call %d of at most %d"
                    % (largest, RECORD_BYTES, len(body), REQUEST_BYTES)
                )
            return 413, {"Error": "above RecordBytes or RequestBytes"}
        query, offset = request.query, len(topic.records)
        if "At" in query and int(query["At"]) != offset:
            return 412, {"EndOffset": offset}
        if "epoch" in query:
            epoch, sequence = int(query["epoch"]), int(query["Sequence"])
            if epoch < topic.epoch:
                return 409, {"Reason": "fenced"}
            if epoch > topic.epoch:
                topic.epoch, topic.answers = epoch, {}
            elif sequence in topic.answers:
                return 200, topic.answers[sequence]
            elif sequence != topic.sequence + 1:
                return 409, {"Reason": "seq", "Sequence": topic.sequence + 1}
            topic.sequence = sequence
        for key, value in records:
            self.push(topic, key, value)
        answer = {"Offset": offset, "EndOffset": len(topic.records)}
        if "epoch" in query:
            topic.answers[topic.sequence] = answer
            for old in sorted(topic.answers)[:-5]:
                del topic.answers[old]
        return 200, answer

    async def read(self, topic, request):
        start = int(request.query["From"])
        until = time.monotonic() + int(request.query.get("WaitMs", "0")) / 1000
        while len(topic.records) <= start and time.monotonic() < until:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key + value
            size += 4 + len(content)
            if size > READ_BYTES and len(parts) > 1:
                break
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)

    def list_newest(self, topic, request):
        after = request.query.get("DependsOn", "").replace("%2F", "/").encode()
        keys = sorted(k for k in topic.newest if k > after)
        items, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            value, offset = topic.newest[key]
            size += len(value)
            if size > READ_BYTES and items:
                break
            items.append(
                {"Key": key.decode(), "Value": base64.b64encode(value).decode(), "Offset": offset}
            )
        return 200, {
            "items": items,
            "HasMore": len(items) < len(keys),
            "EndOffset": len(topic.records),
        }


# Workers ----------------------------------------------------------------------------------------


class Run:
    __slots__ = ("task", "number", "left", "since", "fails", "saves", "saved", "stop_at", "total")

    def __init__(self, task, number, total, done, fails, saves):
        self.task, self.number, self.total = task, number, total
        self.left, self.since = max(total - done, 0), now_ms()
        self.fails, self.saves, self.saved = fails, saves, done
        self.stop_at = None

    def progress(self, at):
        return self.total - self.left + (at - self.since)

    def checkpoint(self, at):
        """The work in steps of half a second, as a text of 16 digits."""
        if not self.saves:
            return ""
        done = int(min(self.progress(at), self.total) // 500 * 500)
        return "%016x" % max(done, self.saved) if max(done, self.saved) else ""


class Worker:
    """A worker of PROTOCOL.md that starts whatever it is told to. The words of `Spec` set its work:
    `work_ms=N`, and `fail` for a run that ends `failed`."""

    def __init__(self, ip, name, guard_ip, record, capacity, labels, guard_port=8526, port=8080):
        self.ip, self.port, self.name, self.record = ip, port, name, record
        self.guard_ip, self.guard_port = guard_ip, guard_port
        self.capacity, self.labels = capacity, labels
        self.born = int(time.time() * 1000)
        self.started = now_ms()
        self.token, self.lease, self.sequence = 0, 0.0, 0
        self.runs, self.ends, self.highest = {}, {}, {}
        self.next_end = 1
        self.changed = asyncio.Event()
        self.server = Server(ip, port, self.handle)
        self.tasks = []
        self.start_log = []
        self.end_log = []
        self.specs = []
        self.quiet = False

    async def start(self):
        await self.server.start()
        self.tasks = [
            asyncio.ensure_future(self.send_heartbeats()),
            asyncio.ensure_future(self.advance_forever()),
        ]

    def crash(self):
        self.server.stop()
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        self.runs = {}

    def clock(self):
        return int(now_ms() - self.started)

    async def send_heartbeats(self):
        while True:
            self.sequence += 1
            body = {
                "Service": "triagehub",
                "Address": "%s:%d" % (self.ip, self.port),
                "Zone": "jozi-north",
                "Version": "v1",
                "Slots": 8,
                "State": "in_service",
                "ColdRemainingMs": 0,
                "Capacity": self.capacity,
                "Labels": self.labels,
                "ClockMs": self.clock(),
                "Sequence": self.sequence,
                "born": self.born,
            }
            path = "/Instances.Heartbeat/%s" % self.name
            status, _ = await call(
                self.guard_ip, self.guard_port, "POST", path, body, timeout=1.0
            )
            await asyncio.sleep(HEARTBEAT_MS / 1000 if status == 200 else 0.3)

    async def advance_forever(self):
        while True:
            self.advance()
            await asyncio.sleep(0.02)

    def advance(self):
        at = now_ms()
        lapsed = self.runs and self.clock() >= self.lease
        for run in list(self.runs.values()):
            if run.progress(at) >= run.total:
                self.end(run, "failed" if run.fails else "done", at)
            elif run.stop_at is not None and at >= run.stop_at:
                self.end(run, "stopped", at)
            elif lapsed:
                self.end(run, "lapsed", at)

    def end(self, run, how, at):
        del self.runs[run.task]
        saved = "" if how == "done" else run.checkpoint(at)
        self.ends[self.next_end] = [self.next_end, run.task, run.number, how, saved]
        self.next_end += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.end_log.append((at, run.task, run.number, how))
        if not self.quiet:
            self.record("%s: %s run %d ended %s" % (self.name, run.task, run.number, how))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request):
        if request.headers.get("target-instance", self.name) != self.name:
            return 421, {}
        body = json.loads(request.body)
        if body.get("FencingToken", 0) < self.token:
            return 409, {"ClockMs": self.clock(), "Reason": "fence"}
        self.token = body.get("FencingToken", 0)
        self.advance()
        if request.path == "/run-start":
            return self.start_run(body)
        if request.path == "/run-stop":
            return self.stop_run(body)
        if request.path == "/hold":
            return await self.hold(body)
        return 404, {}

    def extend(self, deadline):
        if deadline is not None:
            self.lease = max(self.lease, min(deadline, self.clock() + MAX_HOLD_MS))

    def start_run(self, body):
        task, number = body["Task"], body["RunId"]
        if task in self.runs and self.runs[task].number == number:
            self.extend(body["DeadlineMs"])
            return 200, {"ClockMs": self.clock()}
        if body["DeadlineMs"] <= self.clock():
            return 409, {"ClockMs": self.clock(), "Reason": "late"}
        self.extend(body["DeadlineMs"])
        if number <= self.highest.get(task, 0) or task in self.runs:
            return 409, {"ClockMs": self.clock(), "Reason": "old"}
        words = body["Spec"].split()
        work = [int(w[8:]) for w in words if w.startswith("work_ms=")]
        done = int(body["Checkpoint"], 16) if body.get("Checkpoint") else 0
        run = Run(task, number, work[0] if work else 500, done, "fail" in words, "save" in words)
        self.runs[task] = run
        self.start_log.append((now_ms(), task, number))
        self.specs.append(body["Spec"])
        if not self.quiet:
            self.record("%s: %s run %d started" % (self.name, task, number))
        return 200, {"ClockMs": self.clock()}

    def stop_run(self, body):
        task, number = body["Task"], body["RunId"]
        run = self.runs.get(task)
        if run and run.number <= number:
            run.stop_at = run.stop_at or now_ms() + STOP_MS / 2
        else:
            self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, {"ClockMs": self.clock()}

    async def hold(self, body):
        self.extend(body.get("DeadlineMs"))
        for number in [n for n in self.ends if n <= body["LastSeen"]]:
            del self.ends[number]
        until = time.monotonic() + body.get("WaitMs", 0) / 1000
        while not self.ends and time.monotonic() < until:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        self.advance()
        at = now_ms()
        running = [
            [r.task, r.number, r.checkpoint(at), int(min(100, 100 * r.progress(at) / r.total)), 0]
            for r in self.runs.values()
        ]
        ends = [self.ends[n] for n in sorted(self.ends)[:500]]
        return 200, {
            "ClockMs": self.clock(),
            "born": self.born,
            "Running": running,
            "Ended": ends,
        }


# Links -----------------------------------------------------------------------------------------


class Proxy:
    """The link of one process to the store. `silence` makes the channels that are open silent for
    good, without a reset; channels that are opened later work."""

    def __init__(self, ip, port, target):
        self.ip, self.port, self.target = ip, port, target
        self.server = None
        self.links = []
        self.opened = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=512)

    async def serve(self, reader, writer):
        self.opened += 1
        link = {"silent": False}
        self.links.append(link)
        try:
            store_reader, store_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            self.links.remove(link)
            return
        pumps = [
            asyncio.ensure_future(self.pump(link, reader, store_writer)),
            asyncio.ensure_future(self.pump(link, store_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps[:1] if link["silent"] else pumps, return_when=asyncio.FIRST_COMPLETED)
            if link["silent"]:
                # The channel ends when the process closes it.
                await pumps[0]
        except asyncio.CancelledError:
            pass
        finally:
            for pump in pumps:
                pump.cancel()
            self.links.remove(link)
            writer.transport.abort()
            store_writer.transport.abort()

    async def pump(self, link, reader, writer):
        """Forwards bytes in one direction; a silent link swallows them."""
        try:
            while data := await reader.read(65536):
                if not link["silent"]:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass

    def silence(self):
        for link in self.links:
            link["silent"] = True
        return len(self.links)

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None


# The deployment ---------------------------------------------------------------------------------


class Process:
    """A process of the system, started with a command of the deploy file."""

    def __init__(self, deployment, role, name, ip):
        self.deployment, self.role, self.name, self.ip = deployment, role, name, ip
        self.child = None
        self.settings = os.path.join(deployment.folder, name + ".json")
        addresses = (
            {"Frontend": ip + ":8521", "Ready": ip + ":8523"}
            if role == "entry"
            else {"ControlPlane": ip + ":8526"}
        )
        with open(self.settings, "w") as f:
            json.dump(
                {
                    "NodeName": name,
                    "Ip": ip,
                    "Zone": "jozi-north",
                    "ListenAddrs": addresses,
                    "InternalPortRange": [7000, 7015],
                    "HeartbeatMs": HEARTBEAT_MS,
                    "Limits": {"CpuShare": 0.25 if role == "entry" else 0.15, "CpuCores": 1},
                    "Bounds": {
                        "MaxHoldMs": MAX_HOLD_MS,
                        "StopTimeoutMs": STOP_MS,
                        "RemoteFactor": 3,
                        "GracePeriodS": 6,
                        "status_s": 120,
                    },
                    "CommandMode": "call",
                    "platform": {
                        "Address": "%s:9000" % (ip if deployment.links is not None else deployment.store_ip),
                        "form": "log",
                        "RecordBytes": RECORD_BYTES,
                        "RequestBytes": REQUEST_BYTES,
                    },
                },
                f,
            )

    def start(self):
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["LIMPETQUAY_BOOT"] = self.settings
        self.child = subprocess.Popen(
            PROGRAM + [self.role],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def kill(self):
        if self.child:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()
            self.child = None


class Deployment:
    """A store, entries, and guards with a worker each."""

    def __init__(self, record_path):
        if not os.path.exists(PROGRAM[0]):
            raise CannotRun("the program is not built")
        self.began = time.monotonic()
        self.file = open(record_path, "w")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.subnet = free_subnet()
        self.store_ip = self.address(250)
        self.entries, self.guards, self.workers = [], [], []
        # The links of the processes to the store by the name of the process, if they have any.
        self.links = None
        self.store = Store(self.record)
        self.store_server = None

    def address(self, host):
        return "127.%d.%d.%d" % (self.subnet[0], self.subnet[1], host)

    def record(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
        self.file.flush()

    async def start(self, entries, workers, config, capacity, racks=None, with_links=False):
        self.links = {} if with_links else None
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.store_server = Server(self.store_ip, 9000, self.store.handle)
        await self.store_server.start()
        for i in range(entries):
            self.entries.append(Process(self, "entry", "edge-%d" % (i + 1), self.address(1 + i)))
        for i in range(workers):
            ip = self.address(20 + i)
            self.guards.append(Process(self, "guard", "side-%d" % (i + 1), ip))
            rack = racks[i] if racks else "r1-%d" % (i // 3)
            worker = Worker(
                self.address(100 + i), "w-%d" % (i + 1), ip, self.record, capacity, ["a", rack]
            )
            self.workers.append(worker)
        for process in self.entries + self.guards:
            if self.links is not None:
                self.links[process.name] = Proxy(process.ip, 9000, (self.store_ip, 9000))
                await self.links[process.name].start()
            process.start()
        for worker in self.workers:
            await worker.start()

    async def wait_until_ready(self, timeout=15):
        until = time.monotonic() + timeout
        for entry in self.entries:
            while (await call(entry.ip, 8523, "GET", "/readiness", timeout=1.0))[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun("an entry does not become ready")
                await asyncio.sleep(0.1)

    def logs(self, text):
        """Returns the lines with a text in the logs of all processes, as (name, line)."""
        lines = []
        for process in self.entries + self.guards:
            path = os.path.join(self.folder, process.name + ".log")
            if os.path.exists(path):
                with open(path, errors="replace") as f:
                    lines += [(process.name, l.rstrip()) for l in f if text in l]
        return lines

    def stop(self):
        for process in self.entries + self.guards:
            process.kill()
        for worker in self.workers:
            worker.crash()
        for link in (self.links or {}).values():
            link.stop()
        if self.store_server:
            self.store_server.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.file.close()


def free_subnet():
    """Returns a subnet in which none of the ports in use is taken."""
    for _ in range(50):
        subnet = (random.randint(20, 250), random.randint(1, 250))
        try:
            for host, port in [(250, 9000), (1, 8521), (1, 7000), (20, 8526), (20, 7000), (100, 8080)]:
                with socket.socket() as s:
                    s.bind(("127.%d.%d.%d" % (subnet + (host,)), port))
            return subnet
        except OSError:
            continue
    raise CannotRun("no subnet of loopback addresses is free")


HOST = "triage.example"
KEY = "tenant-key-1"


def config(version=1, guaranteed=0):
    route = lambda name, priority, attempts: {
        "Name": name,
        "Host": HOST,
        "PathPrefix": "/%s/" % name,
        "Service": "triagehub",
        "Priority": priority,
        "Attempts": attempts,
        "Stretch": 3.0,
        "TargetLatencyMs": 1200,
    }
    return {
        "Version": version,
        "Routes": [
            route("buildbreak", 0, 4),
            route("crashdump", 1, 4),
            route("dupesweep", 2, 2),
        ],
        "Services": [{"Name": "triagehub", "RejectsOverload": False}],
        "Limits": {"MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "jozi", "ApiKeys": [KEY], "Guaranteed": {"Gpu": guaranteed}}],
    }


class Client:
    """A caller of the system that repeats a call without an answer at the next entry."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.next = 0

    async def call(self, method, queue, name="", body=None, entry=None, timeout=3.0):
        entries = self.deployment.entries
        if entry is None:
            entry = self.next
            self.next += 1
        target = entries[entry % len(entries)]
        headers = {"Host": HOST, "Credential": KEY, "Deadline-Ms": str(int(timeout * 1000))}
        path = "/%s/%s" % (queue, name)
        return await call(target.ip, 8521, method, path, body, headers, timeout)

    async def submit(self, queue, name, body, attempts=5):
        """Submits a job until it is accepted; returns whether it was."""
        for _ in range(attempts):
            status, _ = await self.call("POST", queue, name, body)
            self.deployment.record("POST %s/%s -> %s" % (queue, name, status))
            if status and 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False


def job_name():
    return "%016x" % random.getrandbits(64)


def play(case, record_path, with_trouble):
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def main():
        task = asyncio.current_task()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        deployment = Deployment(record_path)
        try:
            deployment.record("with the disruption" if with_trouble else "without the disruption")
            broken = await asyncio.wait_for(case(deployment, with_trouble), MAX_CASE_S)
            deployment.record("result: the rule %s" % ("is broken" if broken else "held"))
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as e:
            deployment.record("result: cannot run: %r" % e)
            return 2
        finally:
            deployment.stop()

    try:
        code = asyncio.run(main())
    except Exception as e:
        print("cannot run: %r" % e)
        code = 2
    raise SystemExit(code)
