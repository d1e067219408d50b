"""The store loses one answer to a watch; see claim.txt."""
import asyncio
import os
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-2"))
from standins import Client, Gateway, Record, Runner, Store, configuration, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S, DRAIN_S, CONFIG_S = 3.0, 2.0, 2.0
LOST_AT, LEAVES_AT, CONFIG_AT, END_AT = 4.0, 8.5, 8.5, 25.0


def config(version, service):
    return configuration(version, [route("read", "/read/", "idempotent", service),
                                   route("post", "/post/", "non_idempotent", "desk", 1)],
                         ["desk", "archive"])


async def traffic(record, gateway, path, method, until):
    client = Client(record, gateway)
    while record.now() < until:
        await client.call(method, path, b"{}" if method == "POST" else b"", 1000)
        await asyncio.sleep(0.05)
    client.close()


async def leave(record, runner, acked):
    """The runner goes on for drainMs and a little longer, then exits."""
    acked["drain"] = await runner.register("draining")
    await asyncio.sleep(DRAIN_S + 1.0)
    runner.crash()
    await runner.store.remove("servers/" + runner.name)
    record.add("runner exited", runner=runner.name)


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        store = Store(record)
        await store.open()
        leases = asyncio.ensure_future(store.expire_leases())
        runners = [Runner(record, store, f"i-desk-{n}", "desk", work_s=0.2) for n in range(3)]
        runners.append(Runner(record, store, "i-archive-0", "archive", work_s=0.2))
        for it in runners:
            await it.open()
            await it.register()
        await store.put("op/config", config(1, "desk"))
        gateways = [Gateway(record, f"edge-{n}", store.address, folder) for n in range(2)]
        try:
            for it in gateways:
                await it.start()
            for it in gateways:
                if not await it.await_ready():
                    print("could not run: a gateway is not ready")
                    return 2
            return await play(record, store, runners, gateways)
        finally:
            for it in gateways:
                await it.stop()
            leases.cancel()


async def play(record, store, runners, gateways):
    record.start = time.monotonic()
    clients = [asyncio.ensure_future(traffic(record, it, path, method, END_AT))
               for it in gateways
               for path, method in (("/read/1", "GET"), ("/post/1", "POST")) for _ in range(3)]
    await asyncio.sleep(LOST_AT)
    if TROUBLE:
        store.loses = lambda kind, target: kind == "kv-watch"
    await store.put("op/config", config(2, "desk"))
    record.add("configuration acknowledged", version=2)
    await asyncio.sleep(0.3)
    store.loses = lambda kind, target: False
    await asyncio.sleep(LEAVES_AT - record.now())
    acked = {}
    leaving = asyncio.ensure_future(leave(record, runners[0], acked))
    await asyncio.sleep(0.01)
    await store.put("op/config", config(3, "archive"))
    acked["config"] = record.add("configuration acknowledged", version=3)["t"]
    await asyncio.gather(*clients)
    await leaving
    return judge(record, acked, runners[0].name)


def judge(record, acked, leaver):
    sent = {it["id"]: it["t"] for it in record.all("sent")}
    late = [it for it in record.all("run")
            if it["runner"] == leaver and it["t"] > acked["drain"] + DRAIN_S]
    old = [it for it in record.all("run")
           if it["target"].startswith("/read/") and it["runner"].startswith("i-desk")
           and sent[it["id"]] > acked["config"] + CONFIG_S]
    cut = [it for it in record.all("answered") if it["status"] != 200]
    print(f"{len(record.all('answered'))} requests answered, {len(cut)} not with 200: "
          f"{sorted({str(it['status']) for it in cut})}")
    print(f"DRAIN: {len(late)} requests reached {leaver} later than {DRAIN_S} s after its "
          f"leaving was acknowledged at {acked['drain']:.2f} s"
          + (f", the last at {late[-1]['t']:.2f} s" if late else ""))
    print(f"CONFIG: {len(old)} requests sent later than {CONFIG_S} s after version 3 was "
          f"acknowledged at {acked['config']:.2f} s were run by the old service"
          + (f", the last sent at {sent[old[-1]['id']]:.2f} s" if old else ""))
    return 1 if late or old else 0


if __name__ == "__main__":
    run_case(main)
