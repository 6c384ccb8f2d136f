"""Case 5: a request that crashes each worker that begins to run it comes again and again, beside ordinary orders."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import kit  # noqa: E402

POISON = "/l/report-all"
WORKERS = 8
BACK = 3.0          # seconds until a crashed worker is back
STABLE = 3.0        # stable-window-s
ALLOWED = 3         # BUDGET: "in more than three retries"
AGAIN, TIMES = 2.0, 8
LIMIT_MS = 1500


class Cluster:
    def __init__(self, deployment, record, trouble):
        self.deployment, self.record, self.trouble = deployment, record, trouble
        self.crashes = []  # (time, request id)
        self.lives = 0
        self.tasks = []

    def new_worker(self):
        self.lives += 1
        return self.deployment.add_worker("shared", "i-shared%d" % self.lives, self.work, kind=FragileWorker)

    def work(self, target, body):
        return (0.02, b"report") if target == POISON else (0.2, b"booked")

    def crash(self, worker, rid):
        self.crashes.append((kit.now(), rid))
        self.record.line("worker %s crashes as it begins to run %s" % (worker.id, rid))
        worker.stop()
        self.tasks.append(asyncio.ensure_future(self.come_back()))

    async def come_back(self):
        await asyncio.sleep(BACK)
        worker = self.new_worker()
        worker.cluster = self
        await worker.start()


class FragileWorker(kit.Worker):
    cluster = None

    async def perform(self, run, target, body, writer, gone, until):
        if target == POISON and self.cluster.trouble:
            run[5] = "crash"
            self.cluster.crash(self, run[0])
            raise ConnectionResetError
        await super().perform(run, target, body, writer, gone, until)


async def orders(deployment, record, until, results):
    """Ordinary orders, one every 30 ms, at the nodes in turn."""
    async def one(rid, node):
        try:
            it = await asyncio.wait_for(kit.call(node.front, "POST", "/o/a", rid, LIMIT_MS, b"a hand-in"), 3)
        except (OSError, asyncio.TimeoutError):
            it = None
        results[rid] = it.status if it is not None and it.body is not None else None
    tasks = []
    while kit.now() < until:
        rid = "order%04d" % len(tasks)
        tasks.append(asyncio.ensure_future(one(rid, deployment.nodes[len(tasks) % 2])))
        await asyncio.sleep(0.03)
    await asyncio.gather(*tasks)


async def case(deployment, record, trouble):
    cluster = Cluster(deployment, record, trouble)
    for _ in range(WORKERS):
        cluster.new_worker().cluster = cluster
    await deployment.start([kit.route("lookups", "/l/", "safe", "shared", 2),
                            kit.route("orders", "/o/", "unsafe", "shared", 2)])
    results = {}
    others = asyncio.ensure_future(orders(deployment, record, kit.now() + AGAIN * TIMES + 1, results))
    sent = {}
    for n in range(TIMES):
        rid = "poison%d" % n
        sent[rid] = kit.now()
        record.line("client sends %s: GET %s to %s" % (rid, POISON, deployment.nodes[n % 2].name))
        it = await kit.call(deployment.nodes[n % 2].front, "GET", POISON, rid, LIMIT_MS)
        record.line("%s ends: %s" % (rid, it.status if it is not None else "no answer"))
        await asyncio.sleep(max(0, sent[rid] + AGAIN - kit.now()))
    await others
    for task in cluster.tasks:
        task.cancel()
    late = set()
    if len(cluster.crashes) >= 3:
        bound = cluster.crashes[2][0] + STABLE
        late = {rid for rid, begun in sent.items() if begun > bound} & {rid for _, rid in cluster.crashes}
        record.line("the third crash was at %.3f, the bound is %.3f" % (cluster.crashes[2][0], bound))
        ended = {run[0]: run for run in deployment.runs() if run[0].startswith("order")}
        lost = [rid for rid, run in ended.items() if results.get(rid) != 200 and run[5] in ("at work", "cut")
                and any(at > bound and run[3] <= at and abs((run[4] or at) - at) < 0.1 for at, _ in cluster.crashes)]
        record.line("orders of others that were at work on a worker crashed later than that, and lost: %d" % len(lost))
    record.line("crashes: %d; retries that reached workers later than the bound: %d" % (len(cluster.crashes), len(late)))
    record.line("orders: %d sent, %d answered with 200" % (len(results), sum(it == 200 for it in results.values())))
    return len(late) <= ALLOWED


kit.main(HERE, case)
