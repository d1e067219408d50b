"""A configuration raises maxBodyBytes beside kept connections; see claim.txt."""
import asyncio
import os
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-2"))
from standins import Client, Gateway, Record, Runner, Store, configuration, route

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 30
SMALL, LARGE = 100_000, 300_000  # bytes of a body
LIMIT, RAISED = 262_144, 4_194_304
CHANGE_S, APPLY_S = 2.0, 2.0
SECOND_S = 5.0  # when clients use their connections again


def config(version, body_bytes):
    it = configuration(version, [route("post", "/post/", "non_idempotent", "desk", 1)], ["desk"])
    it["limits"]["maxBodyBytes"] = body_bytes
    return it


async def client_of(record, gateway, number):
    """Posts at 0.5 s and again at 5 s, on one kept connection."""
    client = Client(record, gateway)
    for at, size in ((0.5, SMALL), (SECOND_S, LARGE), (SECOND_S + 1, LARGE)):
        await asyncio.sleep(max(0, at + number * 0.01 - record.now()))
        await client.call("POST", f"/post/{size}", b"x" * size, 2000)
    client.close()


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        store = Store(record)
        await store.open()
        leases = asyncio.ensure_future(store.expire_leases())
        runners = [Runner(record, store, f"i-desk-{n}", "desk") for n in range(2)]
        for it in runners:
            await it.open()
            await it.register()
        await store.put("op/config", config(1, LIMIT if TROUBLE else RAISED))
        gateway = Gateway(record, "edge-0", store.address, folder)
        try:
            await gateway.start()
            if not await gateway.await_ready():
                print("could not run: the gateway is not ready")
                return 2
            record.start = time.monotonic()
            clients = [asyncio.ensure_future(client_of(record, gateway, n))
                       for n in range(CLIENTS)]
            await asyncio.sleep(CHANGE_S)
            acked = None
            if TROUBLE:
                await store.put("op/config", config(2, RAISED))
                acked = record.add("configuration acknowledged", version=2)["t"]
            await asyncio.gather(*clients)
            return judge(record, acked)
        finally:
            await gateway.stop()
            leases.cancel()


def judge(record, acked):
    answered = record.all("answered")
    due = [it for it in answered if acked is None or it["sent"] > acked + APPLY_S]
    denied = [it for it in due if it["status"] is not None and 300 <= it["status"] < 500
              and it["status"] not in (408, 421, 429)]
    allowed = 5 + len(answered) / 500
    statuses = {}
    for it in due:
        statuses[it["status"]] = statuses.get(it["status"], 0) + 1
    print(f"{len(answered)} requests answered; of {len(due)} that version 2 is in force for: "
          + ", ".join(f"{n} with {it}" for it, n in sorted(statuses.items(), key=str)))
    print(f"DENIED: {len(denied)} proper requests were ended with a 4xx of the gateway's own "
          f"(allowed are {allowed:.1f})")
    return 1 if len(denied) > allowed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
