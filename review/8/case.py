"""After all processes were killed at once, no stream goes on while two software versions serve."""

import asyncio
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common-2"))

import site_of as system  # noqa: E402
from streams import Stream, StreamReplica  # noqa: E402

CONTACT_S = 3.0
STREAMS = 24
DOWN_S = 0.8
# The waits of a client before each take-up. The last one comes when all machines have been in touch for long.
WAITS_S = [0.7, 2.0, 5.2]


async def case(has_trouble, folder):
    site = system.Site(folder, routers=3, controls=3)
    for idx in range(4):
        StreamReplica(site, f"i-{idx}", f"v{idx // 2 + 1}")
    draft = system.route("draft", "/draft/", "drafts", kind="stream", resumable=True, timeout_ms=12000)
    try:
        await site.start()
        await site.put(system.config(3, [draft], ["drafts"]))
        await site.until_ready()
        await asyncio.sleep(5.0)
        streams = [Stream(site, f"s{idx}", idx % 3, WAITS_S) for idx in range(STREAMS)]
        running = [asyncio.create_task(it.run()) for it in streams]
        await asyncio.sleep(1.0)
        if has_trouble:
            for process in site.routers + site.controls:
                process.end()
            site.record.add("all processes of the system are killed at once")
            await asyncio.sleep(DOWN_S)
            for process in site.routers + site.controls:
                process.start()
        await asyncio.sleep(2 * CONTACT_S)
        in_touch = site.record.now()
        site.record.add("all machines are in touch")
        new = [Stream(site, f"n{idx}", idx % 3, []) for idx in range(STREAMS)]
        await asyncio.gather(*running, *(it.run() for it in new))
        taken_up = [it for it in streams if it.sent_at[-1] >= in_touch]
        went_on = sum(it.brought_at >= in_touch for it in taken_up)
        began = sum(it.last > 0 for it in new)
        site.record.add(f"{len(taken_up)} streams were taken up at machines in touch, {went_on} of them went on")
        site.record.add(f"{len(new)} new streams were asked for, {began} of them began")
        if not has_trouble:
            return system.HELD if all(it.is_whole for it in streams + new) else system.BROKEN
        if len(taken_up) < 12:
            raise system.CouldNotRun("too few streams were taken up")
        return system.BROKEN if went_on / len(taken_up) < began / len(new) / 2 else system.HELD
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(system.main(case, CASE))
