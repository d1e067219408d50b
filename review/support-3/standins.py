"""Stand-ins for the review cases: the platform's store, runners, clients.

Only the standard library is used. Everything listens on 127.0.0.1. A stand-in
behaves like a sound one unless a case tells it otherwise.
"""
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
GATEWAY = "target/programs/cowslipridge-gateway/cowslipridge-gateway"
HOST = "wheels.example"


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (self.now(), text))
            self.file.flush()


def free_port():
    """Returns a port that is free for TCP and UDP."""
    while True:
        tcp = socket.socket()
        tcp.bind(("127.0.0.1", 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue
        finally:
            tcp.close()
            udp.close()


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""
        self.ended = None  # "end" or the name of an error

    def fill(self):
        try:
            data = self.sock.recv(65536)
        except OSError as error:
            self.ended = type(error).__name__
            return False
        if not data:
            self.ended = "end"
            return False
        self.buffer += data
        return True

    def line(self):
        while b"\r\n" not in self.buffer:
            if not self.fill():
                return None
        text, self.buffer = self.buffer.split(b"\r\n", 1)
        return text.decode("latin-1")

    def exactly(self, count):
        while len(self.buffer) < count:
            if not self.fill():
                return None
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        first = self.line()
        if first is None:
            return None, {}
        fields = {}
        while True:
            text = self.line()
            if text is None:
                return None, {}
            if not text:
                return first, fields
            name, _, value = text.partition(":")
            fields[name.strip().lower()] = value.strip()

    def chunks(self, on_data):
        """Reads a chunked body; returns whether it is complete."""
        while True:
            size = self.line()
            if size is None:
                return False
            count = int(size.split(";")[0], 16)
            if count == 0:
                while True:
                    text = self.line()
                    if text is None:
                        return False
                    if not text:
                        return True
            data = self.exactly(count)
            if data is None:
                return False
            on_data(data)
            if self.exactly(2) is None:
                return False

    def body(self, fields):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            return b"".join(parts) if self.chunks(parts.append) else None
        return self.exactly(int(fields.get("content-length", "0")))


def write_head(status, reason, fields):
    text = "HTTP/1.1 %d %s\r\n" % (status, reason)
    for name, value in fields.items():
        text += "%s: %s\r\n" % (name, value)
    return (text + "\r\n").encode()


class Server:
    """Accepts connections; a thread serves each one."""

    def __init__(self, port=None):
        self.port = port or free_port()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(512)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.guard, args=(sock,),
                             daemon=True).start()

    def guard(self, sock):
        try:
            self.serve(sock)
        except OSError:
            pass
        finally:
            sock.close()

    def serve(self, sock):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.cond = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 10
        self.leases = {}
        self.next_lease = 100
        # The machines that get no response at present. What is due to them
        # meanwhile is lost: that connection returns nothing further.
        self.silent_to = set()
        # Called with the name of a machine when its lease was renewed.
        self.on_renewed = None
        super().__init__()
        threading.Thread(target=self.expire, daemon=True).start()

    # What the operator and the runners write.
    def put(self, key, value, lease=0):
        with self.cond:
            self.write(key, json.dumps(value).encode(), lease)
            self.record("store: %s = %s" % (key, json.dumps(value)[:160]))
            self.cond.notify_all()

    def delete(self, key):
        with self.cond:
            self.erase(key)
            self.record("store: %s removed" % key)
            self.cond.notify_all()

    def write(self, key, value, lease):
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease}
        self.items[key] = item
        self.events.append(item)

    def erase(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision,
                                "deleted": True})

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.cond:
                now = time.monotonic()
                for lease in [x for x, (_, at) in self.leases.items()
                              if at <= now]:
                    self.end_lease(lease)
                self.cond.notify_all()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [x for x, it in self.items.items()
                    if it["lease"] == lease]:
            self.erase(key)

    def door(self, name):
        """Returns a port at which the machine of this name calls the store."""
        store = self

        class Door(Server):
            def serve(self, sock):
                store.serve(sock, name)

        return Door().port

    def serve(self, sock, name=""):
        reader = Reader(sock)
        while True:
            first, fields = reader.head()
            if first is None:
                return
            body = reader.body(fields)
            if body is None:
                return
            method, target, _ = first.split(" ")
            path, _, query = target.partition("?")
            args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            status, reply = self.handle(method, path, args, body)
            if name in self.silent_to:
                self.record("store: no response to %s for %s %s" % (
                    name, method, path))
                while reader.fill():
                    pass
                return
            data = json.dumps(reply).encode()
            sock.sendall(write_head(status, "x", {
                "Content-Type": "application/json",
                "Content-Length": len(data)}) + data)
            if path.startswith("/v1/kv-keep/") and self.on_renewed:
                self.on_renewed(name)

    def handle(self, method, path, args, body):
        if path == "/v1/kv-watch":
            return self.watch(args)
        with self.cond:
            if path == "/v1/kv-range":
                return self.range(args)
            if path == "/v1/kv-key":
                item = self.items.get(args["key"])
                return (200, dict(item, at=self.revision)) if item else (404, {})
            if path == "/v1/kv-txn":
                return self.transact(json.loads(body))
            if path == "/v1/kv-lease":
                ttl = json.loads(body)["ttlMs"]
                self.next_lease += 1
                self.leases[self.next_lease] = (
                    ttl, time.monotonic() + ttl / 1000)
                return 200, {"lease": self.next_lease, "ttlMs": ttl}
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            if path.startswith("/v1/kv-keep/"):
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"lease": lease, "ttlMs": ttl}
            self.end_lease(lease)
            self.cond.notify_all()
            return 200, {}

    def range(self, args):
        keys = sorted(k for k in self.items
                      if k.startswith(args.get("pathPrefix", "")) and
                      k > args.get("after", ""))
        return 200, {"entries": [self.items[k] for k in keys[:500]],
                     "hasMore": len(keys) > 500, "at": self.revision}

    def watch(self, args):
        after = int(args["after"])
        until = time.monotonic() + int(args["waitMs"]) / 1000
        with self.cond:
            while True:
                events = [it for it in self.events if it["revision"] > after and
                          it["key"].startswith(args.get("pathPrefix", ""))]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                self.cond.wait(left)

    def transact(self, call):
        failed = [self.items.get(it["key"]) for it in call["expectedRevision"]
                  if self.items.get(it["key"], {"revision": 0})["revision"] !=
                  it["revision"]]
        if failed:
            return 412, {"entries": [it for it in failed if it]}
        if any(it.get("lease", 0) and it["lease"] not in self.leases
               for it in call["write"]):
            return 404, {}
        for it in call["write"]:
            self.write(it["key"], base64.b64decode(it["value"]),
                       it.get("lease", 0))
        for key in call["remove"]:
            self.erase(key)
        self.cond.notify_all()
        return 200, {"revision": self.revision}


class Call:
    """One request at a runner."""

    def __init__(self, runner, sock, first, fields, body):
        self.runner, self.sock = runner, sock
        self.method, self.target, _ = first.split(" ")
        self.fields, self.body = fields, body
        self.id = fields.get("attempt-id", "")

    def fields_out(self, more):
        out = {"Attempt-Id": self.id}
        out.update(more)
        return out

    def send(self, data):
        self.sock.sendall(data)

    def answer(self, status, body, more=None):
        more = dict(more or {})
        more["Content-Length"] = len(body)
        self.send(write_head(status, "x", self.fields_out(more)) + body)

    def refuse(self, status=503):
        self.runner.record("%s: refuses %s with %d, not executed" %
                           (self.runner.id, self.id, status))
        self.answer(status, b"", {"Not-Executed": "1"})

    def run(self):
        self.runner.runs.append((self.runner.record.now(), self.id))
        self.runner.record("%s: runs %s" % (self.runner.id, self.id))

    def closed(self):
        """Returns whether the caller has closed the connection."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True


class Runner(Server):
    """A runner; `handler(call)` answers each request that is meant for it."""

    def __init__(self, record, id, service, handler, version="v1",
                 zone="accra-airport", slots=64):
        self.record, self.id, self.service = record, id, service
        self.handler, self.version, self.zone = handler, version, zone
        self.slots = slots
        self.runs = []
        self.arrivals = []
        self.born = int(time.time() * 1000)
        self.sequence = 0
        super().__init__()

    def entry(self, state="available"):
        self.sequence += 1
        return {"service": self.service, "address": "127.0.0.1:%d" % self.port,
                "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": state, "coldRemainingMs": 0,
                "sequenceNumber": self.sequence, "born": self.born}

    def register(self, store, state="available"):
        store.put("servers/" + self.id, self.entry(state))

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            first, fields = reader.head()
            if first is None:
                return
            body = reader.body(fields)
            if body is None:
                return
            call = Call(self, sock, first, fields, body)
            if call.target == "/health":
                call.answer(200, b"", {"Instance-Id": self.id})
                continue
            if fields.get("expected-instance", self.id) != self.id:
                call.refuse(421)
                continue
            self.arrivals.append((self.record.now(), call.id))
            self.record("%s: %s %s arrives, %s ms left" % (
                self.id, call.method, call.id,
                fields.get("deadline-remaining")))
            if self.handler(call) == "close":
                return


def event(number, text="x"):
    return b"id: %d\ndata: %s\n\n" % (number, text.encode())


def stream_head(call, more=None):
    fields = {"Content-Type": "text/event-stream",
              "Response-Signature": "sig." + call.id}
    fields.update(more or {"Transfer-Encoding": "chunked"})
    return write_head(200, "OK", call.fields_out(fields))


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def plain_answer(call, work_s=0.02, size=800):
    """Runs the request and answers it as a sound runner does."""
    call.run()
    time.sleep(work_s)
    call.answer(200, b"a" * size, {"Response-Signature": "sig." + call.id})


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, record, name, store, folder, zone="accra-airport"):
        self.record, self.name = record, name
        self.port, self.ready_port = free_port(), free_port()
        self.peer_port = free_port()
        self.file = os.path.join(folder, name + ".ini")
        with open(self.file, "w") as out:
            out.write(SETTINGS % {
                "name": name, "zone": zone, "callers": self.port,
                "ready": self.ready_port, "peers": self.peer_port,
                "metrics": free_port(), "store": store.door(name)})
        self.log = open(os.path.join(folder, name + ".log"), "w")
        self.process = None

    def start(self):
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
               if key in os.environ}
        env["COWSLIPRIDGE_NODE_FILE"] = self.file
        self.process = subprocess.Popen([GATEWAY], cwd=ROOT, env=env,
                                        stdout=self.log, stderr=self.log)
        self.record("%s: started" % self.name)

    def is_ready(self):
        try:
            return request(self.ready_port, "GET", "/v1/readiness",
                           {}).status == 200
        except OSError:
            return False

    def wait_ready(self, limit=10):
        until = time.monotonic() + limit
        while not self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise Unusable("%s does not become ready" % self.name)
            time.sleep(0.05)
        self.record("%s: ready" % self.name)

    def signal(self, number):
        self.record("%s: signal %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


SETTINGS = """[process]
instance = %(name)s
failure_domain = %(zone)s
grace_period = 8s
memory = 110MiB
descriptors = 4100
[listen]
callers = 127.0.0.1:%(callers)d
readiness = 127.0.0.1:%(ready)d
peers = 127.0.0.1:%(peers)d
metrics = 127.0.0.1:%(metrics)d
[regions]
accra-airport = gh-south
accra-osu = gh-south
[store]
address = 127.0.0.1:%(store)d
[admission]
order = off
[promises]
retry_ratio = 0.9
retry_window = 10s
retry_allowance = 56
exposure_fraction = 0.15
exposure_allowance = 30
session_lifetime = 5s
configuration_deadline = 2000ms
drain_deadline = 2000ms
"""


class Unusable(Exception):
    """The case could not run."""


class Answer:
    def __init__(self):
        self.status = None
        self.fields = {}
        self.body = b""
        self.complete = False
        self.ended = None


class Connection:
    """A client's connection."""

    def __init__(self, port, timeout=20):
        self.sock = socket.create_connection(("127.0.0.1", port), 1)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(timeout)
        self.reader = Reader(self.sock)

    def send(self, method, path, fields, body=b""):
        text = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, HOST)
        for name, value in fields.items():
            text += "%s: %s\r\n" % (name, value)
        if body or method == "POST":
            text += "Content-Length: %d\r\n" % len(body)
        self.sock.sendall(text.encode() + b"\r\n" + body)

    def receive(self, on_data=None):
        answer = Answer()
        parts = []

        def take(data):
            parts.append(data)
            if on_data:
                on_data(data)

        first, answer.fields = self.reader.head()
        if first is not None:
            answer.status = int(first.split(" ")[1])
            if answer.fields.get("transfer-encoding", "") == "chunked":
                answer.complete = self.reader.chunks(take)
            else:
                data = self.reader.exactly(
                    int(answer.fields.get("content-length", "0")))
                answer.complete = data is not None
                take(data or b"")
        answer.body = b"".join(parts)
        answer.ended = self.reader.ended
        return answer

    def close(self):
        self.sock.close()


def request(port, method, path, fields, body=b"", timeout=20):
    connection = Connection(port, timeout)
    try:
        connection.send(method, path, fields, body)
        return connection.receive()
    finally:
        connection.close()


def numbers_of(body):
    """Returns the ids of the events in the body of a stream."""
    return [int(line[3:]) for line in body.decode().split("\n")
            if line.startswith("id:")]


def route(name, kind, service, **more):
    out = {"name": name, "host": HOST, "pathPrefix": "/%s/" % name,
           "routeKind": kind, "timeoutMs": 12000, "targetLatencyMs": 4000,
           "priority": 1, "service": service, "maxAttempts": 1,
           "public": False}
    out.update(more)
    return out


def configuration(version, routes, services, keys=("key-1",)):
    return {"version": version, "routes": routes,
            "services": [dict({"healthCheckPath": "/health",
                               "connectionLimit": 370, "protocol": "h1",
                               "transportSecurity": False}, **it)
                         for it in services],
            "tenants": [{"name": "tenant-1", "apiKeys": list(keys)}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def headers(id, remaining, key="key-1", **more):
    out = {"Attempt-Id": id, "Deadline-Remaining": str(remaining),
           "Authorization": "Token " + key}
    out.update({name.replace("_", "-"): value for name, value in more.items()})
    return out


class Bench:
    """What a case consists of; ends all its processes."""

    def __init__(self, folder):
        # The case's run.sh passes "yes", or "no" with TROUBLE=0.
        self.trouble = sys.argv[1] == "yes"
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temp = tempfile.TemporaryDirectory()
        self.store = Store(self.record)
        self.processes = []

    def gateway(self, name, zone="accra-airport"):
        gateway = Gateway(self.record, name, self.store, self.temp.name, zone)
        self.processes.append(gateway)
        gateway.start()
        return gateway

    def close(self):
        for it in self.processes:
            it.stop()
        self.temp.cleanup()


def main(folder, case):
    """Runs `case(bench)`, which returns whether the rule held."""
    if sys.argv[1:] not in (["yes"], ["no"]):
        print("usage: case.py yes|no; run.sh starts it", file=sys.stderr)
        sys.exit(2)
    if not os.path.exists(os.path.join(ROOT, GATEWAY)):
        print("the gateway is not built", file=sys.stderr)
        sys.exit(2)
    bench = Bench(folder)
    code = 2
    try:
        held = case(bench)
        code = 0 if held else 1
        bench.record("the rule %s, %s the disruption" % (
            "held" if held else "was broken",
            "with" if bench.trouble else "without"))
    except (Unusable, OSError) as error:
        bench.record("the case could not run: %r" % error)
    finally:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for it in bench.processes:
                it.log.flush()
                os.system("cp %s %s" % (it.log.name, keep))
        bench.close()
    sys.stdout.flush()
    os._exit(code)
