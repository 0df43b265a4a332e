"""Runs the long-running processes: command line, signals, start and stop."""

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
    """A long-running process of the system, such as an entry or a pool."""

    async def start(self) -> Host:
        """Start serving and return the process's name and address."""

    async def stop(self) -> None:
        """Finish what is in progress, then close."""

    def describe_ready(self) -> dict[str, str]:
        """Return the fields to add to the ready line."""


class ProcessService(Service):
    """Starts and stops a process and announces when it is ready.

    Args:
        process: A process that is not yet started.
    """

    def __init__(self, process: Process) -> None:
        super().__init__()
        self._process = process

    async def start(self) -> None:
        """Start the process and print its ready line, a JSON object."""
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
    """Parse the command line and run a process until SIGTERM or SIGINT.

    Args:
        name: The name of the program.
        kind: The class of its settings.
        make_process: Creates the process from its settings.
    """

    def command(settings: str) -> _StartRequest:
        """Run until SIGTERM, then finish what is in progress and stop.

        Args:
            settings: The YAML file with this process's settings.
        """
        return _StartRequest(settings)

    # ``fire`` calls the command before it rejects unknown flags. The command only
    # returns its arguments, so that a wrong flag is reported before the process runs.
    start = fire.Fire(command, name=name, serialize=lambda _: None)
    if not isinstance(start, _StartRequest):
        return
    cfg = _load_settings(start._settings, kind)
    logs.configure(cfg.host, cfg.logs.level)
    serve(lambda: make_process(cfg))


class _StartRequest:
    """The parsed command line.

    It has no public members, since ``fire`` would offer those as subcommands.
    """

    def __init__(self, settings: str) -> None:
        self._settings = settings


def serve(make_process: Callable[[], Process]) -> None:
    """Run a process in an event loop until SIGTERM or SIGINT.

    Args:
        make_process: Creates the process, once the loop is the current one.
    """
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
