"""All runners of a service crash once while they serve; see claim.txt."""
import asyncio
import os
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-2"))
from standins import Client, Gateway, Record, Runner, Store, configuration, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 6
ADDED_S, CRASH_S, DOWN_S, END_S = 2.0, 10.0, 3.0, 32.0
CONTACT_S = 3.0
JUDGED_FROM = CRASH_S + DOWN_S + CONTACT_S + 2.0


async def traffic(record, gateway, path, begin):
    await asyncio.sleep(max(0, begin - record.now()))
    client = Client(record, gateway)
    while record.now() < END_S:
        await client.call("GET", path, b"", 2000)
        await asyncio.sleep(0.1)
    client.close()


def config(version):
    routes = [route("desk", "/desk/", "idempotent", "clubdesk")]
    if version > 1:
        routes.append(route("ladder", "/ladder/", "idempotent", "ladders"))
    return configuration(version, routes, ["clubdesk", "ladders"])


async def crash(record, store, runners):
    """All runners of the service crash; each starts again as a new incarnation."""
    for it in runners:
        it.crash()
    record.add("all runners of ladders crashed")
    await asyncio.sleep(DOWN_S)
    fresh = []
    for n, it in enumerate(runners):
        await store.remove("servers/" + it.name)
        fresh.append(Runner(record, store, f"i-ladder-new-{n}", "ladders", work_s=it.work_s))
        await fresh[-1].open()
        await fresh[-1].register()
    record.add("all runners of ladders are back")
    return fresh


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        store = Store(record)
        await store.open()
        leases = asyncio.ensure_future(store.expire_leases())
        ladders = [Runner(record, store, f"i-ladder-{n}", "ladders", work_s=0.5)
                   for n in range(RUNNERS)]
        desk = [Runner(record, store, f"i-desk-{n}", "clubdesk") for n in range(2)]
        for it in [*ladders, *desk]:
            await it.open()
            await it.register()
        await store.put("op/config", config(1))
        gateways = [Gateway(record, f"edge-{n}", store.address, folder) for n in range(2)]
        try:
            for it in gateways:
                await it.start()
            for it in gateways:
                if not await it.await_ready():
                    print("could not run: a gateway is not ready")
                    return 2
            record.start = time.monotonic()
            clients = [asyncio.ensure_future(traffic(record, it, path, begin))
                       for it in gateways
                       for path, begin in [("/ladder/saturday", ADDED_S + 2.5)] * 12 +
                       [(f"/desk/{n}", 0) for n in range(4)]]
            await asyncio.sleep(ADDED_S)
            await store.put("op/config", config(2))
            record.add("configuration acknowledged", version=2)
            await asyncio.sleep(CRASH_S - record.now())
            if TROUBLE:
                await crash(record, store, ladders)
            await asyncio.gather(*clients)
            return judge(record)
        finally:
            for it in gateways:
                await it.stop()
            leases.cancel()


def judge(record):
    broken = False
    for name in ("edge-0", "edge-1"):
        shares = {}
        for kind in ("desk", "ladder"):
            all_of = [it for it in record.all("answered") if it["gateway"] == name
                      and it["path"].startswith("/" + kind) and it["sent"] >= JUDGED_FROM]
            served = [it for it in all_of if it["status"] == 200]
            shares[kind] = len(served) / max(1, len(all_of))
            print(f"{name}: of {len(all_of)} requests of {kind} sent later than "
                  f"{JUDGED_FROM:.1f} s, {len(served)} were served "
                  f"({', '.join(sorted({str(it['status']) for it in all_of}))})")
        broken = broken or shares["ladder"] < shares["desk"] / 4
    print("CONFIG: the route that was added later is "
          + ("served less than a quarter as often as the first one at a gateway"
             if broken else "served as it should be"))
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(main)
