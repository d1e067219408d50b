"""A session uses two services while one of them is rolled out; see claim.txt."""
import asyncio
import os
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-2"))
from standins import Client, Gateway, Record, Runner, Store, configuration, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SESSIONS = 120
DURATION_S = 24
SESSION_TTL_S = 5.0
BEGIN_S, END_S = 4.0, 11.0


async def session(record, gateway, name):
    """Drafts with two seconds between them; a booking during each draft."""
    drafts, bookings = Client(record, gateway), Client(record, gateway)
    fields = [("Session", name)]

    async def book():
        await asyncio.sleep(0.2)
        await bookings.call("GET", "/desk/" + name, b"", 2000, fields)
    while record.now() < END_S:
        await asyncio.gather(drafts.call("GET", "/draft/" + name, b"", 4000, fields), book())
        await asyncio.sleep(1.2)
    drafts.close()
    bookings.close()


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        store = Store(record)
        await store.open()
        leases = asyncio.ensure_future(store.expire_leases())
        runners = [Runner(record, store, f"i-draft-{n}", "draftsmen", work_s=0.8, version="v1")
                   for n in range(2)]
        runners += [Runner(record, store, f"i-desk-{n}", "clubdesk", version="v2") for n in range(2)]
        for it in runners:
            await it.open()
            await it.register()
        await store.put("op/config", configuration(
            1, [route("draft", "/draft/", "idempotent", "draftsmen"),
                route("desk", "/desk/", "idempotent", "clubdesk")], ["draftsmen", "clubdesk"]))
        gateway = Gateway(record, "edge-0", store.address, folder)
        try:
            await gateway.start()
            if not await gateway.await_ready():
                print("could not run: the gateway is not ready")
                return 2
            record.start = time.monotonic()
            if TROUBLE:
                # The platform starts the new runners, then the operator orders.
                for n in range(2):
                    it = Runner(record, store, f"i-draft-new-{n}", "draftsmen", work_s=0.8,
                                version="v2")
                    await it.open()
                    await it.register()
                    runners.append(it)
                await store.put("op/rollout/draftsmen", {
                    "service": "draftsmen", "target": "v2", "durationS": DURATION_S})
                record.add("rollout ordered", target="v2")
            await asyncio.sleep(BEGIN_S)
            await asyncio.gather(*[session(record, gateway, f"s{n:04d}")
                                   for n in range(SESSIONS)])
            return judge(record, store, {it.name: it.version for it in runners})
        finally:
            await gateway.stop()
            leases.cancel()


def judge(record, store, versions):
    """Compares each draft with the one before it in its session."""
    ended = {it["id"]: it for it in record.all("answered")}
    last, moved, on_new = {}, [], set()
    for it in record.all("run"):
        if not it["target"].startswith("/draft/"):
            continue
        name, version = it["target"].rsplit("/", 1)[1], versions[it["runner"]]
        before = last.get(name)
        if version == "v2":
            on_new.add(name)
        if before and before[0] != version and it["t"] - ended[before[1]]["t"] < SESSION_TTL_S:
            moved.append((name, before[0], version))
        last[name] = (version, it["id"])
    wrong = [it for it in ended.values() if it["status"] != 200]
    print(f"{len(ended)} requests answered, {len(wrong)} not with 200; "
          f"{len(on_new)} of {SESSIONS} sessions had a draft made by v2")
    print("status in the store:", store.items.get("status/rollout/draftsmen", {}).get("revision"))
    print(f"PINNED: {len(moved)} requests ran on another version than the one before in their "
          f"session (more than three break the rule): "
          + ", ".join(sorted({f"{a} to {b}" for _, a, b in moved})))
    return 1 if len(moved) > 3 else 0


if __name__ == "__main__":
    run_case(main)
