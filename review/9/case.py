"""A router that is cut off from the replicas answers orders with the success of a question between routers."""

import asyncio
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common-2"))

import site_of as system  # noqa: E402

CUT_S = 5.0


async def case(has_trouble, folder):
    site = system.Site(folder, routers=2, controls=3)
    replicas = [system.Replica(site, f"i-{idx}", "orders") for idx in range(3)]
    route = system.route("order", "/forwarding/", "orders", kind="non_idempotent", attempts=1)
    try:
        await site.start()
        await site.put(system.config(3, [route], ["orders"]))
        await site.until_ready()
        await asyncio.sleep(4.0)
        before = await site.request(0, "/forwarding/ping", "before")
        if before.status != 200:
            raise system.CouldNotRun(f"orders are not served: {before}")
        if has_trouble:
            system.cut_all(replicas, site.routers[0].pid)
            site.record.add(f"{site.routers[0].name} is cut off from all replicas for {CUT_S} s")
        end, false_successes, count = site.record.now() + CUT_S, 0, 0
        while site.record.now() < end:
            count += 1
            answer = await site.request(0, "/forwarding/ping", f"order{count}", timeout_ms=1000)
            has_run = any(it["id"] == f"order{count}" for replica in replicas for it in replica.runs)
            if answer.status == 200 and "x-server-stamp" not in answer.fields:
                site.record.add(f"SUCCESS WITHOUT A STAMP for order{count}, which {'has' if has_run else 'has not'} run")
                false_successes += 1
            await asyncio.sleep(0.1)
        site.record.add(f"{false_successes} of {count} orders were answered with a success that no replica gave")
        return system.BROKEN if false_successes else system.HELD
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(system.main(case, CASE))
