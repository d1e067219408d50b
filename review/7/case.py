"""A gateway stands still once, and refuses a service from then on; see claim.txt."""
import asyncio
import os
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-2"))
from standins import (Client, Gateway, Record, Runner, Store, configuration, read_body, read_head,
                      route, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_S, CONTACT_S = 3.5, 3.0
ADDED_S, FREEZE_AT, END_S = 2.0, 12.0, 34.0
JUDGED_FROM = FREEZE_AT + FREEZE_S + CONTACT_S + 1.5
DEADLINE_MS = 5000
TOKENS, FIRST_TOKEN_S = 4000, 1.0
ADVICE_PER_S, DESK_PER_S = 40, 10  # at each gateway


class ModelRunner(Runner):
    """Reads the prompt, then streams its events."""

    async def stream(self, fields, reader, writer, attempt):
        await asyncio.sleep(FIRST_TOKEN_S)
        return await super().stream(fields, reader, writer, attempt)


async def request(record, gateway, kind):
    """Sends one request on a new connection; served: a complete answer with 200."""
    attempt = Client.new_id()
    record.add("sent", id=attempt, kind=kind, gateway=gateway.name)
    status, writer = None, None
    lines = [f"Host: desk.example\r\nAttempt-Id: {attempt}",
             f"Deadline-Remaining: {DEADLINE_MS}\r\nAuthorization: Token key-1"]
    if kind == "advice":
        lines.append(f"Model-Name: m1\r\nToken-Usage: {TOKENS + 300},60\r\n"
                     f"Prompt-Prefix: aa:300,{int(attempt, 16):x}:{TOKENS}")
    path = "/advice/stream" if kind == "advice" else "/desk/1"
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(gateway.host, gateway.callers), 1)
        writer.write((f"POST {path} HTTP/1.1\r\n" + "\r\n".join(lines)
                      + "\r\nContent-Length: 2\r\n\r\n{}").encode())
        head = await asyncio.wait_for(read_head(reader), DEADLINE_MS / 1000 + 1)
        status = int(head[0].split(" ")[1]) if head else None
        if status == 200:
            await asyncio.wait_for(read_body(reader, head[1]), DEADLINE_MS / 1000 + 1)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        status = type(error).__name__
    if writer:
        writer.close()
    record.add("answered", id=attempt, status=status, kind=kind, gateway=gateway.name)


async def traffic(record, gateway, kind, per_s, begin):
    await asyncio.sleep(max(0, begin - record.now()))
    tasks = []
    while record.now() < END_S:
        tasks.append(asyncio.ensure_future(request(record, gateway, kind)))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*tasks)


def config(version):
    routes = [route("desk", "/desk/", "non_idempotent", "clubdesk", 1)]
    if version > 1:
        routes.append(route("advice", "/advice/", "streaming", "draftsmen", 2, DEADLINE_MS,
                            resume=True, sessionAffinity=True))
    it = configuration(version, routes, ["clubdesk", "draftsmen"])
    it["services"][1]["inferenceEngine"] = {
        "slots": 64, "kvCacheTokens": 575237, "stride": 6,
        "models": [{"name": "m1", "cost": 0.056}]}
    it["services"][1]["connectionLimit"] = 360
    return it


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        store = Store(record)
        await store.open()
        leases = asyncio.ensure_future(store.expire_leases())
        runners = [ModelRunner(record, store, f"i-draft-{n}", "draftsmen", events=6, gap_s=0.05)
                   for n in range(2)]
        runners += [Runner(record, store, f"i-desk-{n}", "clubdesk") for n in range(2)]
        for it in runners:
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
            clients = [asyncio.ensure_future(traffic(record, it, kind, per_s, begin))
                       for it in gateways
                       for kind, per_s, begin in (("desk", DESK_PER_S, 0),
                                                  ("advice", ADVICE_PER_S, ADDED_S + 2.5))]
            await asyncio.sleep(ADDED_S)
            await store.put("op/config", config(2))
            record.add("configuration acknowledged", version=2)
            await asyncio.sleep(FREEZE_AT - record.now())
            if TROUBLE:
                gateways[0].signal(signal.SIGSTOP)
                await asyncio.sleep(FREEZE_S)
                gateways[0].signal(signal.SIGCONT)
            await asyncio.gather(*clients)
            return judge(record)
        finally:
            for it in gateways:
                await it.stop()
            leases.cancel()


def judge(record):
    sent = {it["id"]: it["t"] for it in record.all("sent")}
    broken = False
    for name in ("edge-0", "edge-1"):
        shares = {}
        for kind in ("desk", "advice"):
            all_of = [it for it in record.all("answered") if it["gateway"] == name
                      and it["kind"] == kind and sent[it["id"]] >= JUDGED_FROM]
            served = [it for it in all_of if it["status"] == 200]
            statuses = sorted({str(it["status"]) for it in all_of})
            shares[kind] = len(served) / max(1, len(all_of))
            print(f"{name}: of {len(all_of)} requests of {kind} sent later than "
                  f"{JUDGED_FROM:.1f} s, {len(served)} were served ({', '.join(statuses)})")
        broken = broken or shares["advice"] < shares["desk"] / 4
    print("CONFIG: the route that was added later is "
          + ("served less than a quarter as often as the first one at a gateway"
             if broken else "served as it should be"))
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(main)
