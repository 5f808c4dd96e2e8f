"""A replica that starts again under its id with another software version goes on with streams of the old one."""

import asyncio
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common-2"))

import site_of as system  # noqa: E402
from streams import Stream, StreamReplica  # noqa: E402

MAX_LAG_S = 0.8
STREAMS = 12
DOWN_S = 0.2
# A client takes a broken stream up after so long.
WAITS_S = [0.75, 1.5, 3.0]


async def case(has_trouble, folder):
    site = system.Site(folder, routers=2, controls=3)
    upgraded = StreamReplica(site, "i-1", "v1", 1_760_000_000_000)
    StreamReplica(site, "i-2", "v2", 1_760_000_100_000)
    draft = system.route("draft", "/draft/", "drafts", kind="stream", resumable=True, timeout_ms=12000)
    try:
        await site.start()
        await site.put(system.config(3, [draft], ["drafts"]))
        await site.until_ready()
        await asyncio.sleep(3.0)
        streams = [Stream(site, f"s{idx}", idx % 2, WAITS_S) for idx in range(STREAMS)]
        running = [asyncio.create_task(it.run()) for it in streams]
        await asyncio.sleep(1.5)
        if has_trouble:
            await upgraded.restart("v2", DOWN_S, MAX_LAG_S)
        await asyncio.gather(*running)
        mixed = [it.name for it in streams if len(set(it.versions)) > 1]
        whole = sum(it.is_whole for it in streams)
        site.record.add(f"{whole} of {STREAMS} streams are whole; {len(mixed)} hold events of two versions: {mixed}")
        if not has_trouble and whole < STREAMS:
            return system.BROKEN
        return system.BROKEN if len(mixed) > 2 else system.HELD
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(system.main(case, CASE))
