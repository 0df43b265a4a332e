"""What the programs that run as processes have in common."""

import asyncio
import json
import signal
import sys
from collections.abc import Callable
from typing import Protocol

import fire
from aiomisc import Service, entrypoint

from wasabipitch import logs, settings
from wasabipitch.exceptions import WasabipitchError
from wasabipitch.models import Host
from wasabipitch.settings import ProcessSettings

EXIT_USAGE = 2
EXIT_FAILED = 1


class Process(Protocol):
    """A process of the system."""

    async def start(self) -> Host:
        """Start serving and return the process as others see it."""

    async def stop(self) -> None:
        """Finish what is in progress, then close."""

    def describe_ready(self) -> dict[str, str]:
        """Return what the ready line says besides."""


class ProcessService(Service):
    """Runs a process as a service of the event loop.

    Args:
        process: not yet started.
    """

    def __init__(self, process: Process) -> None:
        super().__init__()
        self._process = process

    async def start(self) -> None:
        """Start the process and print its ready line."""
        host = await self._process.start()
        ready = {"ready": True, "host": host.name, "link": host.address}
        ready.update(self._process.describe_ready())
        print(json.dumps(ready), flush=True)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the process gracefully."""
        await self._process.stop()


def run_process(
    name: str,
    kind: type[ProcessSettings],
    make_process: Callable[[ProcessSettings], Process],
) -> None:
    """Read the command line and run a process until SIGTERM or SIGINT.

    Args:
        name: the program's.
        kind: the class of its settings.
        make_process: builds the process from its settings.
    """

    def command(settings: str) -> _StartRequest:
        """Run until SIGTERM, then finish what is in progress and stop.

        Args:
            settings: the YAML file with this process's settings.
        """
        return _StartRequest(settings)

    # What the command returns runs only here, after fire has seen every flag:
    # it would report a wrong one only when the process has ended.
    start = fire.Fire(command, name=name, serialize=lambda _: None)
    if not isinstance(start, _StartRequest):
        return
    cfg = _load_settings(start._settings, kind)
    logs.configure(cfg.host, cfg.logs.level)
    serve(lambda: make_process(cfg))


class _StartRequest:
    """What the command line asked for; it has nothing that fire could call."""

    def __init__(self, settings: str) -> None:
        self._settings = settings


def serve(make_process: Callable[[], Process]) -> None:
    """Run a process in an event loop until SIGTERM or SIGINT."""
    with entrypoint(log_config=False) as loop:
        loop.run_until_complete(_run_until_signal(make_process()))


async def _run_until_signal(process: Process) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, stop.set)
    service = ProcessService(process)
    try:
        await service.start()
    except (OSError, WasabipitchError) as exc:
        print(f"can't start: {exc}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    await stop.wait()
    await service.stop()


def _load_settings(path: str, kind: type[ProcessSettings]) -> ProcessSettings:
    try:
        return settings.load(str(path), kind)
    except WasabipitchError as exc:
        print(exc.message, file=sys.stderr)
        sys.exit(EXIT_USAGE)
