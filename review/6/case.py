"""A worker runs orders and then fails some of them with a 503 that doesn't say Not-Executed."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import deployment as d  # noqa: E402

WORKERS = 8        # one of them is faulty: 0.125 of the service
FAILED_EVERY = 2   # it fails every second request: 0.5
ORDERS = 600
CLIENTS = 24
PROMISES = (408, 421, 429, 503)


async def case(work, record, nodes):
    store = d.Store()
    await store.start()
    store.put("keyed.op", "config", d.config(1, ["orders"], [d.route("r-o", "/orders/", "unsafe", "orders")]))
    workers = [d.Worker(store, record, "w-%d" % n, "orders", work=0.1) for n in range(WORKERS)]
    for it in workers:
        await it.start()
    chance = random.Random(34)
    served = []

    def faulty(request):
        served.append(request)
        if len(served) % FAILED_EVERY == 1:
            return 503, [("Server-Signature", "w-0." + request)], b"the ledger did not answer"
        return None

    if d.TROUBLE:
        workers[0].answer = faulty
    for n in range(2):
        nodes.append(d.Node(work, store, record, n, 2))
        await nodes[n].start()
    for it in nodes:
        await it.wait_ready()
    await asyncio.sleep(3.5)  # stable-window-s

    bookings = {}  # order -> ids of its client attempts
    answers = {}

    async def client(first):
        """Sends orders as PROTOCOL.md says: a refused order is sent again on a new connection, twice at most."""
        for order in range(first, ORDERS, CLIENTS):
            bookings[order] = []
            for attempt in range(3):
                name = "order%d-%d" % (order, attempt)
                bookings[order].append(name)
                record.line("client sends %s" % name)
                answer = await d.call(chance.choice(nodes).front, "POST", "/orders/a",
                                      {"Request-Id": name, "Request-Timeout-Ms": 3000}, b"order %d" % order)
                answers[name] = answer.status
                record.line("client gets %d for %s, Not-Executed %s, signature %s" % (
                    answer.status, name, d.header(answer.headers, "not-executed"), answer.signature))
                if answer.status not in PROMISES:
                    break
                await asyncio.sleep(min(float(d.header(answer.headers, "retry-after") or 0.1), 0.8))

    await asyncio.gather(*[client(n) for n in range(CLIENTS)])
    runs = {}
    for it in workers:
        for name, count in it.runs.items():
            runs[name] = runs.get(name, 0) + count
    broken = [name for name, status in answers.items() if status in PROMISES and runs.get(name, 0) > 0]
    twice = [order for order, names in bookings.items() if sum(runs.get(name, 0) for name in names) > 1]
    record.line("orders: %d; answered with a promise: %d" % (
        ORDERS, sum(1 for status in answers.values() if status in PROMISES)))
    record.line("answered with 408, 421, 429 or 503 though they had run: %d %s" % (len(broken), broken))
    record.line("orders that the workers ran twice, because the client believed the promise: %d" % len(twice))
    return not broken


d.run_case(__file__, case)
