"""A valid configuration that adds a route and a tenant named `anonymous` is acknowledged and never in force."""

import asyncio
import os
import signal
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common-2"))

import site_of as system  # noqa: E402

CONFIG_APPLY_S, CONTACT_S = 2.0, 3.0
REQUESTS = 30
NORTH = {"name": "north", "api_keys": ["key-north"], "priority": 1}


async def served(site, prefix, key, name):
    """The share of requests on a route that are served, at both routers by turns."""
    count = 0
    for idx in range(REQUESTS):
        answer = await site.request(idx % 2, f"{prefix}7", f"{name}{idx}", key, method="GET", body=b"", timeout_ms=1000)
        count += answer.status == 200
    site.record.add(f"SERVED: {count} of {REQUESTS} requests on {prefix} with {key}")
    return count / REQUESTS


async def case(has_trouble, folder):
    site = system.Site(folder, routers=2, controls=3)
    for idx in range(3):
        system.Replica(site, f"i-{idx}", "books")
    first = system.route("read", "/read/", "books")
    later = system.route("later", "/later/", "books")
    name = {"": "anonymous", "twice": NORTH["name"]}[os.environ.get("VARIANT", "")] if has_trouble else "visitors"
    second = {"name": name, "api_keys": ["key-second"], "priority": 1}
    try:
        await site.start()
        await site.put(system.config(3, [first], ["books"], [NORTH]))
        await site.until_ready()
        if await served(site, "/read/", "key-north", "before") < 1.0:
            raise system.CouldNotRun("the first version is not served")
        await site.put(system.config(7, [first, later], ["books"], [NORTH, second]))
        site.record.add(f"version 7 adds the route /later/ and the tenant {second['name']}")
        await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)
        of_first = await served(site, "/read/", "key-north", "first")
        of_later = await served(site, "/later/", "key-north", "later")
        await served(site, "/later/", "key-second", "second")
        # Not judged: what the same version does to routers that are restarted one after the other.
        for router in site.routers:
            router.send(signal.SIGTERM)
            await asyncio.to_thread(router.child.wait, 10)
            router.start()
            await site.until_ready()
        await asyncio.sleep(CONTACT_S)
        await served(site, "/read/", "key-north", "restarted")
        return system.BROKEN if of_later < of_first / 4 else system.HELD
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(system.main(case, CASE))
