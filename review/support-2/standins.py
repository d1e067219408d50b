"""Stand-ins for the platform's store, runners and clients, for the cases of the
second review. Python's standard library only; loopback addresses only.

They follow PROTOCOL.md: the store is linearizable, a watch is answered as soon
as there is an event, a runner checks Expected-Instance and echoes Attempt-Id.
"""
import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATEWAY = "target/programs/cowslipridge-gateway/cowslipridge-gateway"
TEMPLATE = "deploy/gateway.ini"


# A loopback address of this run's own: outgoing connections of other processes,
# which come from 127.0.0.1, take no port that was found free here.
HOST = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1"


def free_port(host=HOST):
    """Returns a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp:
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind((host, port))
                    return port
                except OSError:
                    continue


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, what, **fields):
        it = {"t": round(self.now(), 4), "what": what, **fields}
        self.lines.append(it)
        self.file.write(json.dumps(it) + "\n")
        self.file.flush()
        return it

    def all(self, what):
        return [it for it in self.lines if it["what"] == what]


async def read_head(reader):
    """Returns (first line, [(name, value)]) or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return lines[0], fields


def field(fields, name, default=None):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return default


async def read_body(reader, fields):
    if (field(fields, "Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(field(fields, "Content-Length", "0")))


REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable"}


def message(status, body=b"", fields=()):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
    """An HTTP/1.1 server that serves one request at a time on a connection."""

    def __init__(self, host=HOST, port=0):
        self.host = host
        self.port = port
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                if not await self.handle(method, target, head[1], body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError,
                ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, fields, body, reader, writer):
        raise NotImplementedError

    def crash(self):
        """Ends as a killed process does: nothing listens, connections break."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            try:
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
            except (AttributeError, OSError):
                pass  # closed already
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, record, host=HOST):
        super().__init__(host)
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()
        # Returns True for a call whose answer is lost: (kind, target) -> bool.
        self.loses = lambda kind, target: False

    async def put(self, key, value, lease=0):
        self._write(key, value if isinstance(value, bytes) else json.dumps(value).encode(), lease)
        await self._notify()
        return self.revision

    async def remove(self, key):
        self._remove(key)
        await self._notify()

    def _write(self, key, value, lease):
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision, "lease": lease,
                "created": old["created"] if old else self.revision}
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.history.append({"key": key, "revision": self.revision, "deleted": True})

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, until) in list(self.leases.items()):
                if until <= now:
                    await self._end_lease(lease)

    async def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, it in self.items.items() if it["lease"] == lease]:
            self._remove(key)
        await self._notify()
        return True

    async def handle(self, method, target, fields, body, reader, writer):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        kind = path.split("/")[2]
        status, answer = await self._call(kind, path, query, body, reader, writer)
        if status is None:
            return False
        if self.loses(kind, target):
            self.record.add("answer of the store lost", call=kind, status=status)
            # "A connection on which a response is lost returns nothing further."
            while await reader.read(65536):
                pass
            return False
        writer.write(message(status, json.dumps(answer).encode(),
                             [("Content-Type", "application/json")]))
        await writer.drain()
        return True

    async def _call(self, kind, path, query, body, reader, writer):
        await asyncio.sleep(0.004)
        if kind == "kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if kind == "kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"entries": [self.items[k] for k in keys[:500]],
                         "hasMore": len(keys) > 500, "at": self.revision}
        if kind == "kv-watch":
            return await self._watch(query, reader)
        data = json.loads(body) if body else {}
        if kind == "kv-txn":
            return await self._transact(data)
        if kind == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = max(1000, min(600_000, data["ttlMs"])) / 1000
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": lease, "ttlMs": int(ttl * 1000)}
        lease = int(path.rsplit("/", 1)[1])
        if kind == "kv-keep":
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttlMs": int(ttl * 1000)}
        if kind == "kv-lease-end":
            return (200, {}) if await self._end_lease(lease) else (404, {})
        return 404, {}

    async def _watch(self, query, reader):
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        until = time.monotonic() + min(30_000, int(query["waitMs"])) / 1000

        def events():
            return [it for it in self.history
                    if it["revision"] > after and it["key"].startswith(prefix)]
        while not events() and time.monotonic() < until and not reader.at_eof():
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           min(0.5, max(0.01, until - time.monotonic())))
                except asyncio.TimeoutError:
                    pass
        return 200, {"events": events(), "at": self.revision}

    async def _transact(self, data):
        for it in data.get("expectedRevision", []):
            have = self.items.get(it["key"], {}).get("revision", 0)
            if have != it["revision"]:
                return 412, {"entries": [self.items[i["key"]] for i in data["expectedRevision"]
                                         if i["key"] in self.items]}
        for it in data.get("write", []):
            if it.get("lease", 0) and it["lease"] not in self.leases:
                return 404, {}
        for it in data.get("write", []):
            self._write(it["key"], base64.b64decode(it["value"]), it.get("lease", 0))
        for key in data.get("remove", []):
            self._remove(key)
        await self._notify()
        return 200, {"revision": self.revision}


class Runner(Server):
    """A runner. Answers plain requests after `work_s`; streams `events` events,
    one each `gap_s`, to requests whose path contains `/stream`."""

    def __init__(self, record, store, name, service, work_s=0.03, slots=64, events=20,
                 gap_s=0.1, version="v1", zone="zone-1", host=HOST):
        super().__init__(host)
        self.record, self.store, self.name, self.service = record, store, name, service
        self.work_s, self.slots, self.version, self.zone = work_s, slots, version, zone
        self.events, self.gap_s = events, gap_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.active = 0
        self.runs = {}

    def entry(self, state):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": state,
                "coldRemainingMs": 0, "sequenceNumber": self.sequence, "born": self.born}

    async def register(self, state="available"):
        await self.store.put("servers/" + self.name, self.entry(state))
        return self.record.add("runner entry acknowledged", runner=self.name, state=state)["t"]

    async def handle(self, method, target, fields, body, reader, writer):
        attempt = field(fields, "Attempt-Id", "")
        expected = field(fields, "Expected-Instance")
        if target == "/health":
            writer.write(message(200, b"", [("Instance-Id", self.name)]))
            return True
        if expected not in (None, self.name):
            writer.write(message(421, b"", [("Attempt-Id", attempt), ("Not-Executed", "1")]))
            self.record.add("421", runner=self.name, id=attempt)
            return True
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record.add("run", runner=self.name, id=attempt, target=target,
                        tenant=field(fields, "Tenant-Name"),
                        after=field(fields, "Last-Event-Id"))
        self.active += 1
        try:
            return await self.answer(method, target, fields, body, reader, writer, attempt)
        finally:
            self.active -= 1

    def signature(self, attempt):
        return [("Attempt-Id", attempt), ("Response-Signature", f"sig.{self.name}.{attempt}")]

    async def answer(self, method, target, fields, body, reader, writer, attempt):
        if "/stream" in target:
            return await self.stream(fields, reader, writer, attempt)
        await asyncio.sleep(self.work_s)
        text = f"{self.service} {self.name} {attempt}".encode()
        writer.write(message(200, text, self.signature(attempt)))
        await writer.drain()
        return True

    async def stream(self, fields, reader, writer, attempt):
        head = "HTTP/1.1 200 OK\r\n"
        for name, value in self.signature(attempt):
            head += f"{name}: {value}\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        first = int(field(fields, "Last-Event-Id", "0")) + 1
        for n in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {n}\ndata: piece {n} of {attempt}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Gateway:
    """A gateway as a process of its own, with the command of the deploy file."""

    def __init__(self, record, name, store_address, folder, zone="zone-1", bounds=None,
                 memory_mb=260, descriptors=1024, host=HOST):
        self.record, self.name, self.folder, self.host = record, name, folder, host
        self.callers, self.ready, self.peers = (free_port(host) for _ in range(3))
        self.metrics = free_port(host)
        self.store_address = store_address
        self.zone = zone
        self.memory_mb, self.descriptors = memory_mb, descriptors
        self.bounds = {"gracePeriodS": 8, "retryBudgetRatio": 0.9, "retryWindowS": 10,
                       "retryAllowance": 54, "exposureFraction": 0.15,
                       "exposureAllowance": 30, "sessionTtlS": 5, "configApplyMs": 2000,
                       "drainMs": 2000, **(bounds or {})}
        self.process = None
        self.log = os.path.join(folder, name + ".log")

    def settings(self):
        """Fills in deploy/gateway.ini as the platform does."""
        with open(os.path.join(ROOT, TEMPLATE), encoding="utf-8") as file:
            text = file.read()
        for key in re.findall(r"\{\{#(bounds\.\w+)\}\}", text):
            value = self.bounds.get(key.split(".")[1])
            body = re.escape("{{#" + key + "}}") + "(.*?)" + re.escape("{{/" + key + "}}")
            text = re.sub(body, lambda m: "" if value is None else m.group(1), text)
            text = text.replace("{{" + key + "}}", str(value))
        text = re.sub(r"\{\{#limits\.\w+\}\}(.*?)\{\{/limits\.\w+\}\}", r"\1", text)
        text = re.sub(r"\{\{#zones\}\}\n.*?\{\{/zones\}\}\n", f"{self.zone} = region-1\n", text,
                      flags=re.S)
        values = {"nodeName": self.name, "zone": self.zone,
                  "limits.memoryMb": self.memory_mb, "limits.fileDescriptors": self.descriptors,
                  "listenAddresses.frontend": f"{self.host}:{self.callers}",
                  "listenAddresses.readyAddress": f"{self.host}:{self.ready}",
                  "ipAddress": self.host, "internalPortRange.0": self.peers,
                  "platform.address": self.store_address}
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", str(value))
        # Several gateways share the loopback address here.
        return text.replace(":9464", f":{self.metrics}")

    async def start(self):
        path = os.path.join(self.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(self.log, "ab")
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": self.folder,
               "LANG": "C.UTF-8", "COWSLIPRIDGE_NODE_FILE": path}
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, GATEWAY), cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        self.record.add("gateway started", gateway=self.name, pid=self.process.pid)

    def signal(self, number):
        self.record.add("signal", gateway=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_ready(self, limit_s=10):
        for _ in range(int(limit_s / 0.05)):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def stop(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


class Client:
    """A client with one kept connection to a gateway."""

    count = 0

    def __init__(self, record, gateway, host_name="desk.example", key="key-1"):
        self.record, self.gateway, self.host_name, self.key = record, gateway, host_name, key
        self.reader = self.writer = None

    @classmethod
    def new_id(cls):
        cls.count += 1
        return f"{os.getpid():08x}{cls.count:08x}"

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, path, body=b"", deadline_ms=2000, fields=(), patience_s=None):
        """Sends one request and returns its outcome, which it records."""
        attempt = self.new_id()
        sent = self.record.add("sent", id=attempt, method=method, path=path,
                               gateway=self.gateway.name)["t"]
        status, text, complete = None, b"", False
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.gateway.host, self.gateway.callers,
                                            limit=1 << 22), 1)
            head = f"{method} {path} HTTP/1.1\r\nHost: {self.host_name}\r\n"
            head += f"Attempt-Id: {attempt}\r\nDeadline-Remaining: {deadline_ms}\r\n"
            head += f"Authorization: Token {self.key}\r\n"
            for name, value in fields:
                head += f"{name}: {value}\r\n"
            if body or method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            self.writer.write(head.encode() + b"\r\n" + body)
            limit = patience_s or deadline_ms / 1000 + 1
            status, text, complete, close = await asyncio.wait_for(self._answer(), limit)
            if close:
                self.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            text = type(error).__name__.encode()
        return self.record.add("answered", id=attempt, sent=sent, status=status,
                               complete=complete, text=text.decode("latin-1")[:200],
                               path=path, gateway=self.gateway.name)

    async def _answer(self):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError("closed")
        status = int(head[0].split(" ")[1])
        close = (field(head[1], "Connection") or "").lower() == "close"
        body = await read_body(self.reader, head[1])
        return status, body, True, close


def run_case(main):
    """Runs a case and ends the process with its code; 2 if it could not run.

    SIGTERM cancels the case, which then ends the processes that it started.
    """
    async def cancellable():
        task = asyncio.ensure_future(main())
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    try:
        code = asyncio.run(cancellable())
    except (Exception, asyncio.CancelledError):  # pylint: disable=broad-except
        traceback.print_exc()
        print("could not run: an unexpected error")
        code = 2
    sys.exit(code)


def route(name, prefix, kind, service, attempts=2, timeout_ms=4000, resume=False, **more):
    it = {"name": name, "host": "desk.example", "pathPrefix": prefix, "routeKind": kind,
          "timeoutMs": timeout_ms, "targetLatencyMs": 500, "priority": 1, "service": service,
          "maxAttempts": attempts, "public": False}
    if kind == "streaming":
        it.update({"targetGapMs": 2500, "streamResumption": resume})
    it.update(more)
    return it


def configuration(version, routes, services, keys=("key-1",), idle_ms=15000):
    return {"version": version, "routes": routes,
            "services": [{"name": it, "connectionLimit": 100, "healthCheckPath": "/health"}
                         for it in services],
            "tenants": [{"name": "tenant-1", "apiKeys": list(keys)}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": idle_ms}}
