"""An entry of another writer lacks fields; see claim.txt."""
import asyncio
import os
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-2"))
from standins import Client, Gateway, Record, Runner, Store, configuration, route

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WRITE_S, END_S = 2.0, 6.0


async def traffic(record, gateway, path):
    client = Client(record, gateway)
    while record.now() < END_S:
        await client.call("POST", path, b"{}", 2000)
        await asyncio.sleep(0.05)
    client.close()


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        store = Store(record)
        await store.open()
        leases = asyncio.ensure_future(store.expire_leases())
        desk = [Runner(record, store, f"i-desk-{n}", "clubdesk") for n in range(2)]
        archive = Runner(record, store, "i-archive-0", "archive")
        for it in [*desk, archive]:
            await it.open()
            await it.register()
        await store.put("op/config", configuration(
            1, [route("post", "/post/", "non_idempotent", "clubdesk", 1),
                route("file", "/file/", "non_idempotent", "archive", 1)],
            ["clubdesk", "archive"]))
        gateway = Gateway(record, "edge-0", store.address, folder)
        try:
            await gateway.start()
            if not await gateway.await_ready():
                print("could not run: the gateway is not ready")
                return 2
            record.start = time.monotonic()
            clients = [asyncio.ensure_future(traffic(record, gateway, it))
                       for it in ("/post/1", "/post/2", "/post/3")]
            await asyncio.sleep(WRITE_S)
            if TROUBLE:
                # Another writer: `coldRemainingMs` is missing, `sequenceNumber` is a
                # text. The service isn't the runner's.
                await store.put("servers/i-archive-0", {
                    "service": "clubdesk", "address": archive.address, "zone": "zone-1",
                    "version": "v1", "slots": 64, "state": "available",
                    "sequenceNumber": "7"})
                record.add("entry of another writer", key="servers/i-archive-0")
            await asyncio.gather(*clients)
            return judge(record)
        finally:
            await gateway.stop()
            leases.cancel()


def judge(record):
    runs = [it for it in record.all("run") if it["target"].startswith("/post/")]
    wrong = [it for it in runs if it["runner"] == "i-archive-0"]
    print(f"{len(record.all('answered'))} requests answered, {len(runs)} run")
    print(f"ROUTE: {len(wrong)} requests of the route to clubdesk were run by the archive's "
          "runner, to which no configuration allows them to go")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
