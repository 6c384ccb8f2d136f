"""Case 3: orders after a download that was pipelined behind a slower lookup; the node then gets SIGTERM."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import kit  # noqa: E402

import signal  # noqa: E402

DOWNLOAD = 270000   # bytes; at most 540,000 in the site
LIMIT_MS = 10000    # of the orders, and timeout-s of their route
GRACE = 6.0         # grace-s
CLIENTS, ORDERS = 4, 6


def work(target, body):
    if target.startswith("/f/"):
        return 0.05, b"f" * DOWNLOAD
    return (0.6, b"found") if target.startswith("/l/") else (0.25, b"booked")


async def pipeline(deployment, record, n):
    """A client that asks for a file before its lookup has been answered."""
    reader, writer = await kit.connect(deployment.nodes[0].front)
    ids = ["look%d" % n, "file%d" % n]
    writer.write(kit.request("GET", "/l/a", ids[0], 5000) + kit.request("GET", "/f/a", ids[1], 5000))
    for rid in ids:
        it = await kit.read_response(reader)
        record.line("answer to %s: %s" % (rid, it and "%d, %s bytes" % (
            it.status, "incomplete" if it.body is None else len(it.body))))
    writer.close()


async def order(deployment, record, rid, results):
    record.line("client sends %s" % rid)
    sent = kit.now()
    it = await kit.call(deployment.nodes[0].front, "POST", "/o/a", rid, LIMIT_MS, b"one duct segment")
    complete = it is not None and it.body is not None
    results[rid] = (sent, kit.now(), it.status if complete else None)
    record.line("%s ends after %.3f s: %s" % (
        rid, kit.now() - sent, it.status if complete else "the connection ends without a complete answer"))


async def case(deployment, record, trouble):
    deployment.add_worker("lookups", "i-look0", work)
    deployment.add_worker("orders", "i-order0", work)
    deployment.add_worker("orders", "i-order1", work)
    limit = LIMIT_MS / 1000
    await deployment.start([kit.route("lookups", "/l/", "safe", "lookups", 5),
                            kit.route("files", "/f/", "download", "orders", 5),
                            kit.route("orders", "/o/", "unsafe", "orders", limit)])
    await asyncio.gather(*[pipeline(deployment, record, n) for n in range(CLIENTS)])
    await asyncio.sleep(0.3)
    results = {}
    orders = [asyncio.ensure_future(order(deployment, record, "order%d" % n, results)) for n in range(ORDERS)]
    await asyncio.sleep(0.1)
    stopped = kit.now()
    if trouble:
        deployment.nodes[0].signal(signal.SIGTERM)
    await asyncio.gather(*orders)
    runs = {it[0]: it for it in deployment.runs()}
    lost = 0
    for rid, (sent, ended, status) in sorted(results.items()):
        run = runs.get(rid)
        if status is not None or run is None:
            continue  # answered, or not passed on to a worker
        at_work = run[4] is None or run[4] > stopped + GRACE * 5 / 6  # the last sixth of grace-s
        broke_off = not run[5].startswith("200")
        out_of_time = ended - sent >= limit
        around = trouble and ended <= stopped + GRACE + 1
        record.line("%s: worker at work %.3f to %.3f (%s), excused: %s" % (
            rid, run[3], run[4] or -1, run[5], at_work or broke_off or out_of_time or not around))
        lost += not (at_work or broke_off or out_of_time) and around
    record.line("orders that workers ran and answered, and whose clients got no answer around the SIGTERM: %d" % lost)
    return lost == 0


kit.main(HERE, case)
