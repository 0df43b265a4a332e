"""Power fails for all hosts and two of three instances: is a commit lost?"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import (  # noqa: E402
    Client,
    Deployment,
    Gone,
    has_trouble,
    route,
    run_case,
)

ZONES = ["dalton", "gainesville", "rome"]
# The limits of the site files: deaf 6.5 s, dark primary 7.0 s, dark replica 5.37 s.
DEAF_S = 6.5
POWER_AT_S = 3.5
DARK_PRIMARY_S = 7.0
DARK_REPLICA_S = 5.3
RESTART_S = 0.5


def make(record):
    return Deployment(
        record,
        hosts=3,
        zones=ZONES,
        routes=[route("bookings", "primary")],
        max_conns=28,
        work_s=0.004,
    )


async def book(host, acknowledged, record):
    """Write all the time; remember what was answered with success."""
    number = 0
    while True:
        client = Client(f"client-{host.name}", record)
        try:
            await client.open(host.front, "bookings")
            while True:
                number += 1
                data = f"{host.name}-{number}"
                reply = await client.query(f"WRITE press-{number % 9} {data}")
                if reply.ok:
                    acknowledged.add(data)
                await asyncio.sleep(0.05)
        except Gone:
            await asyncio.sleep(0.2)
        finally:
            client.close()


async def play(deployment, record):
    await deployment.start_hosts()
    service, acknowledged = deployment.service, set()
    writers = [
        asyncio.ensure_future(book(host, acknowledged, record))
        for host in deployment.hosts
    ]
    await asyncio.sleep(5)
    behind, other = (i for i in service.instances.values() if not i.is_primary)
    primary = service.primary
    if has_trouble():
        record(f"DEAF {behind.name}")
        behind.deaf = True
    await asyncio.sleep(POWER_AT_S)
    if has_trouble():
        record(f"POWER fails for {primary.name}, {other.name} and all hosts")
        primary.go_dark()
        other.go_dark()
        for host in deployment.hosts:
            await host.kill()
        await asyncio.sleep(RESTART_S)
        for host in deployment.hosts:
            await host.start()
        record("BACK: all hosts")
    deaf_left_s = DEAF_S - POWER_AT_S
    await asyncio.sleep(deaf_left_s - RESTART_S)
    if has_trouble():
        behind.deaf = False
        record(f"HEARS again: {behind.name}")
    await asyncio.sleep(DARK_REPLICA_S - deaf_left_s)
    if has_trouble():
        await other.wake()
        record(f"BACK: {other.name}")
    await asyncio.sleep(DARK_PRIMARY_S - DARK_REPLICA_S)
    if has_trouble():
        await primary.wake()
        record(f"BACK: {primary.name}")
    await asyncio.sleep(8)
    for task in writers:
        task.cancel()
    await asyncio.gather(*writers, return_exceptions=True)
    kept = {data for c in service.committed() for _, data in c.writes}
    record(f"{len(acknowledged)} acknowledged, {len(kept)} in the primary's log")
    breaks = [
        f"LOST: {data} was acknowledged and is not in the log of {service.primary.name}"
        for data in sorted(acknowledged - kept)
    ]
    if len(acknowledged) < 100:
        breaks.append("fewer than 100 writes were served")
    return breaks


run_case(FOLDER, make, play)
