"""The operator takes a service out of a traffic split, and writes the weights on another scale than before."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import deployment as d  # noqa: E402

BEFORE = (500, 500)                           # version 1: half to "blue", half to "green"
AFTER = (1, 0) if d.TROUBLE else (1000, 0)    # version 2: everything to "blue", nothing to "green"
NODES = 13
CONFIG_APPLY = 2.0
REQUESTS = 260


async def case(work, record, nodes):
    store = d.Store()
    await store.start()

    def configuration(version, weights):
        split = [("blue", weights[0]), ("green", weights[1])]
        return d.config(version, ["blue", "green"], [d.route("r-m", "/m/", "unsafe", split=split)])

    store.put("keyed.op", "config", configuration(1, BEFORE))
    workers = [d.Worker(store, record, "%s-%d" % (service, n), service, work=0.01)
               for service in ("blue", "green") for n in range(3)]
    for it in workers:
        await it.start()
    for n in range(NODES):
        nodes.append(d.Node(work, store, record, n, NODES))
        await nodes[n].start()
    for it in nodes:
        await it.wait_ready()
    await asyncio.sleep(3.5)

    async def send(version, count):
        """Returns how many requests each service ran."""
        ran = {"blue": 0, "green": 0, "none": 0}

        async def client(node, first):
            link = await d.Connection.open(node.front)
            for k in range(first, count, NODES):
                link.write("POST", "/m/%d" % k, {"Request-Id": "v%d-%d" % (version, k), "Request-Timeout-Ms": 3000},
                           b"order")
                answer = await link.read()
                ran[(answer.signature or "none").split("-")[0]] += 1
            link.close()

        await asyncio.gather(*[client(nodes[n], n) for n in range(NODES)])
        return ran

    ran = await send(1, REQUESTS)
    record.line("version 1, weights %s: run by %s" % (BEFORE, ran))
    store.put("keyed.op", "config", configuration(2, AFTER))
    record.line("the store has acknowledged version 2, weights %s" % (AFTER,))
    await asyncio.sleep(CONFIG_APPLY + 4)
    ran = await send(2, REQUESTS)
    record.line("version 2, weights %s, sent later than %.0f s after the ack: run by %s" % (
        AFTER, CONFIG_APPLY + 4, ran))
    share = ran["green"] / REQUESTS
    record.line("share of green: %.2f; its weight's: 0.00; the rule allows 0.20 more" % share)
    return share <= 0.2


d.run_case(__file__, case)
