"""A heartbeat of a worker got no response, and the store executes it after the worker's entry has been removed."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import deployment as d  # noqa: E402

NODES = 3
DRAIN = 2.0          # drain-s
STABLE_WINDOW = 3.0  # stable-window-s
LATE = 5.5           # the heartbeat is executed so long after it was sent; at most 6
LEAVES = 4.0         # after the lost response; the store has been without impairment for longer than 3 s
EXITS = 5.0          # after its entry was removed: drain-s and a little longer


async def case(work, record, nodes):
    store = d.Store()
    await store.start()
    store.put("keyed.op", "config", d.config(1, ["orders"], [d.route("r-o", "/orders/", "unsafe", "orders")]))
    workers = [d.Worker(store, record, "w-%d" % n, "orders", work=0.3) for n in range(4)]
    for it in workers:
        await it.start()
    for n in range(NODES):
        nodes.append(d.Node(work, store, record, n, NODES))
        await nodes[n].start()
    for it in nodes:
        await it.wait_ready()
    await asyncio.sleep(3.5)
    leaving = workers[0]
    results = {}
    stop = time.monotonic() + 14

    async def client(number):
        k = 0
        while time.monotonic() < stop:
            name = "c%d-%d" % (number, k)
            k += 1
            answer = await d.call(nodes[(number + k) % NODES].front, "POST", "/orders/c%d" % number,
                                  {"Request-Id": name, "Request-Timeout-Ms": 3000}, name.encode())
            results[name] = answer.status
            if answer.status != 200:
                record.line("%s gets %d" % (name, answer.status))

    tasks = [asyncio.create_task(client(n)) for n in range(12)]
    await asyncio.sleep(1)
    leaving.sequence += 1
    late = leaving.entry()
    record.line("w-0 sends its heartbeat %d; it gets no response" % late["sequence"])
    sent = time.monotonic()
    await asyncio.sleep(LEAVES)
    leaving.unregister()
    acknowledged = time.monotonic()
    record.line("w-0 leaves after heartbeat %d: its entry is removed, the store has acknowledged it" % leaving.sequence)
    await asyncio.sleep(max(0.0, sent + LATE - time.monotonic()))
    if d.TROUBLE:
        store.put("keyed.servers", leaving.id, late)
        record.line("the store executes heartbeat %d of w-0" % late["sequence"])
    await asyncio.sleep(max(0.0, acknowledged + EXITS - time.monotonic()))
    record.line("w-0 exits, %.1f s after its entry was removed; it was running %d orders" % (EXITS, leaving.running))
    leaving.end()
    await asyncio.gather(*tasks)
    after = [name for at, name in leaving.arrived if at > acknowledged + DRAIN]
    lost = [name for name in after if results.get(name) != 200]
    record.line("orders that reached w-0 later than drain-s after that ack: %d, of which it lost %d by its exit" % (
        len(after), len(lost)))
    return not after


d.run_case(__file__, case)
