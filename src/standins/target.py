"""Runs one stand-in database instance as a process.

A stand-in instance speaks the MySQL protocol, stores its data in sqlite and
replicates from its leader. Tests use it in place of a MySQL server.
"""

import asyncio
import json
import logging
import signal
from contextlib import AsyncExitStack

from standins.controls import Controls
from standins.directories import private_directory
from standins.instance import Instance, TargetConfig
from standins.replication import Replicator
from standins.server import TargetServer


class Target:
    """Starts and stops one instance, its MySQL server and its replication.

    It is an asynchronous context manager: the instance runs within the block.

    Args:
        cfg: Settings of the instance.

    Attributes:
        address: Address of the MySQL server as `ip:port`; empty until it listens.
        instance: State of the instance; set on entry to the block.
    """

    def __init__(self, cfg: TargetConfig) -> None:
        self.cfg = cfg
        self.address = ""
        self.instance: Instance
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> "Target":
        directory = self._stack.enter_context(private_directory())
        self.instance = Instance(self.cfg, directory)
        self._stack.callback(self.instance.close)
        replicator = Replicator(self.instance)
        self._stack.push_async_callback(replicator.stop)
        server = TargetServer(
            self.instance, Controls(self.instance, replicator.restart)
        )
        self._stack.push_async_callback(server.stop)
        self.address = await server.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()


async def serve(cfg: TargetConfig) -> None:
    """Run an instance until SIGTERM or SIGINT.

    Once the instance accepts connections, one JSON line with its name and address is
    written to standard output.
    """
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    async with Target(cfg) as target:
        ready = {"ready": True, "name": cfg.name, "address": target.address}
        print(json.dumps(ready), flush=True)
        await stop.wait()


if __name__ == "__main__":
    from standins import cli

    cli.target()
