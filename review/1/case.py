"""Two core machines are replaced as planned, one after the other."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import deployment as d  # noqa: E402

SERVICE = "wuno96b"
# How long the operator reads after the time in which all must be well again.
READ_BACK_S = 15.0


def config(version):
    route = d.plain_route("r-yhvz3pf", "/lohu930/", SERVICE, "idempotent", timeout_ms=900 + version)
    return d.config(version, [d.plain_service(SERVICE)], [route])


async def acknowledged(site, version, nodes):
    node = await d.put_config(site, config(version), nodes)
    if node is None:
        raise d.CannotRun(f"version {version} was not acknowledged")
    return node


async def read_back(site, nodes, until):
    """Reads at every node in turn until `until`; returns the versions and the statuses that came."""
    versions, statuses = set(), {}
    while time.monotonic() < until:
        for node in nodes:
            status, version = await d.get_version(site, node)
            if statuses.get(node.name) != status:
                site.note(f"operator: GET at {node.name}: {status or 'no answer'} version {version}")
            statuses[node.name] = status
            if version is not None:
                versions.add(version)
        await asyncio.sleep(0.25)
    return versions, statuses


async def play(site, trouble):
    platform = d.Platform(site)
    await platform.start()
    zones = ["regina-a", "saskatoon-b", "brandon-c"]
    core = [site.add("control", number + 1, zone) for number, zone in enumerate(zones)]
    site.seeds = [it.ip for it in core]
    for machine in core:
        machine.start(bootstrap=True)
    await acknowledged(site, 3, core)
    await asyncio.sleep(2.0)
    nodes = list(core)
    for number, old in enumerate(core[:2]):
        if not trouble:
            await asyncio.sleep(d.CATCH_UP_S + 0.5)
            continue
        # Planned replacement: the new machine comes first, then the old one gets SIGTERM.
        successor = site.add("control", 4 + number, old.zone)
        successor.start(bootstrap=False)
        await asyncio.sleep(d.CATCH_UP_S + 0.5)
        nodes = [it for it in nodes if it is not old] + [successor]
        # A change just before the removal, which the machines that stay on acknowledge.
        newest = 8 + number
        await acknowledged(site, newest, nodes)
        await old.stop()
        site.note(f"{old.name} is gone for good; {successor.name} has had its time")
        site.seeds = [it.ip for it in nodes]
    if not trouble:
        newest = 8
        await acknowledged(site, newest, nodes)
    well_again = time.monotonic() + d.RECOVERY_S
    await read_back(site, nodes, well_again)
    site.note(f"no machine has been lost for {d.RECOVERY_S:.0f} s; what is read now counts")
    versions, statuses = await read_back(site, nodes, well_again + READ_BACK_S)
    site.note(f"read back: versions {sorted(versions)}; last status by node {statuses}")
    late = await d.put_config(site, config(12), nodes, within_s=4.0)
    site.note(f"a further change is {'acknowledged' if late else 'not acknowledged in 4 s'}")
    return versions != {newest}


if __name__ == "__main__":
    sys.exit(d.run(play, FOLDER))
